package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
)

// newSession returns the client side of a session whose server side handles
// streams with h.
func newSession(t *testing.T, h frame.Handler) *frame.Session {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	secret := frame.WithSecret([]byte("a secret of this test only"))
	go func() {
		s, err := frame.Server(t.Context(), serverConn, h, frame.WithName("far"), secret)
		if err == nil {
			context.AfterFunc(t.Context(), func() { _ = s.Close() })
		}
	}()
	s, err := frame.Client(t.Context(), clientConn, frame.WithName("near"), secret)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// delayedBody is a body whose second chunk arrives only after the stream has ended.
type delayedBody struct {
	ended <-chan struct{}
	err   error // of the second and later reads
	reads int   // number of reads
}

// Read implements io.Reader.
func (b *delayedBody) Read(p []byte) (int, error) {
	if b.reads++; b.reads == 1 {
		return copy(p, "begin"), nil
	}
	<-b.ended
	return copy(p, "rest"), b.err
}

// TestAnswerBeforeBody guards against losing a response that arrives before the
// end of the request body.
func TestAnswerBeforeBody(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
	}{
		{"rest of the body comes later", nil},
		{"body fails later", errors.New("the caller left")},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := newSession(t, func(s *frame.Stream) {
				if s.SendHead([]byte("head")) == nil {
					_, _ = s.Write([]byte("answer"))
				}
				_ = s.CloseWrite(nil)
			})
			s, err := session.Open(t.Context(), 1, nil)
			assert.NilError(t, err)
			sent := make(chan struct{})
			go func() {
				sendBody(s, &delayedBody{ended: s.Context().Done(), err: test.err}, &Body{trailer: func() http.Header { return nil }})
				close(sent)
			}()
			_, err = s.RecvHead(t.Context())
			assert.NilError(t, err)
			<-sent
			response, err := io.ReadAll(s)
			assert.NilError(t, err)
			assert.Equal(t, string(response), "answer")
		})
	}
}
