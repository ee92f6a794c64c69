package entry

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/super"
)

// TestShutdownIsNotHeldUp guards against callers that keep a shutdown waiting with what the handler
// of the server doesn't see.
func TestShutdownIsNotHeldUp(t *testing.T) {
	const limit = 8 * time.Second
	const http2Start = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	for _, test := range []struct{ name, first, then string }{
		{"OPTIONS *", "", "OPTIONS * HTTP/1.1\r\nHost: press.example\r\n\r\n"},
		{"HTTP/2 without a request", http2Start, "\x00\x00\x08\x06\x00\x00\x00\x00\x0012345678"}, // PING
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var sent passedOn
			s, addr := newTestServer(t, sent.send)
			conn := dial(t, addr)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(2*limit)))
			_, err := io.WriteString(conn, test.first+test.then)
			assert.NilError(t, err)
			_, err = io.ReadFull(conn, make([]byte, 1))
			assert.NilError(t, err)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go sendRepeatedly(ctx, conn, test.then)
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			s.StopKeepAlives()
			end, cancelShutdown := context.WithTimeout(t.Context(), limit)
			defer cancelShutdown()
			began := time.Now()
			err = s.Shutdown(end)
			t.Logf("the shutdown took %v", time.Since(began))
			assert.NilError(t, err)
		})
	}
}

// sendRepeatedly writes data in short intervals until ctx ends or the connection is closed.
func sendRepeatedly(ctx context.Context, conn net.Conn, data string) {
	for super.Pause(ctx, 200*time.Millisecond) {
		if _, err := io.WriteString(conn, data); err != nil {
			return
		}
	}
}
