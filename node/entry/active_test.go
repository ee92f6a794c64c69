package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestEarlyResponseKeepsConn guards against a request that is cancelled because the body of
// the request before it on the connection was not read to its end.
func TestEarlyResponseKeepsConn(t *testing.T) {
	var sent passedOn
	_, addr := newTestServer(t, func(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
		resp, _, _ := sent.send(ctx, req)
		if ctx.Err() != nil {
			return nil, 0, refuse.New(refuse.Cancelled, "the request was cancelled")
		}
		return resp, 0, nil
	})
	lost, refused := 0, 0
	for range 50 {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		r := bufio.NewReader(conn)
		for keep := true; keep; {
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: press.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				lost++
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			if resp.StatusCode != http.StatusOK {
				refused++
			}
			keep = !resp.Close
		}
		_ = conn.Close()
	}
	assert.Equal(t, lost+refused, 0, "%d connections ended without an answer, %d requests were cancelled", lost, refused)
}

// TestRefusalEndsUploadInOrder guards against a connection that is reset after a refusal
// while the caller still sends the body, so that the caller may lose the refusal.
func TestRefusalEndsUploadInOrder(t *testing.T) {
	_, addr := newTestServer(t, func(_ context.Context, _ *relay.Request) (*relay.Response, int, *refuse.Error) {
		return nil, 0, refuse.New(refuse.Overloaded, "the target is overloaded")
	})
	for range 20 {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: press.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
		assert.NilError(t, err)
		r := bufio.NewReader(conn)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		for _, s := range []string{"4\r\nmore\r\n", "4\r\nbody\r\n", "0\r\n\r\n"} {
			_, err = io.WriteString(conn, s)
			assert.NilError(t, err)
		}
		_, err = r.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		_ = conn.Close()
	}
}
