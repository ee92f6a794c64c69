package entry

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleLimitCoversPartialHead guards against callers that keep connections beyond the idle limit
// by sending the first byte of a request.
func TestIdleLimitCoversPartialHead(t *testing.T) {
	var n tallies
	var sent passedOn
	s, addr := newTestServer(t, sent.send, n.listen)
	conn := dial(t, addr)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "G")
	assert.NilError(t, err)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case now := <-tick.C:
				s.CloseIdleConns(500*time.Millisecond, now)
			}
		}
	}()
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
