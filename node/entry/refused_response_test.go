package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestInvalidStatusEndsInRefusal guards against a refusal with headers of an upstream whose
// response can't be passed on.
func TestInvalidStatusEndsInRefusal(t *testing.T) {
	_, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		return &relay.Response{
			Status: 99, Header: http.Header{"Signature": {"s"}}, ContentLength: 5, Body: io.NopCloser(strings.NewReader("hello")),
			Trailer: func() relay.ReplyTrailer { return relay.ReplyTrailer{Complete: true} },
		}, 0, nil
	})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, resp.Header.Get("Signature"), "")
}

// TestStalledUploadIsClosed guards against a connection that stays open, or gets no refusal,
// because a refused caller doesn't send the rest of its body.
func TestStalledUploadIsClosed(t *testing.T) {
	for _, test := range []struct{ name, header string }{
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"},
		{"known length", "Content-Length: 1000\r\n\r\nbody"},
		{"large", "Content-Length: 1000000\r\n\r\nbody"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
				return okResponse(), 0, nil
			})
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: unknown.example\r\n"+test.header)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*lingerTimeout)))
			r := bufio.NewReader(conn)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err, "no refusal")
			assert.Assert(t, resp.ContentLength > 0)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			_, err = r.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
		})
	}
}
