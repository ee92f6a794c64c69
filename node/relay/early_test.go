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

// linked returns the calling side of a session whose other side serves streams
// with h.
func linked(t *testing.T, h frame.Handler) *frame.Session {
	t.Helper()
	near, far := net.Pipe()
	secret := frame.WithSecret([]byte("a secret of this test only"))
	go func() {
		s, err := frame.Server(t.Context(), far, h, frame.WithName("far"), secret)
		if err == nil {
			context.AfterFunc(t.Context(), func() { _ = s.Close() })
		}
	}()
	s, err := frame.Client(t.Context(), near, frame.WithName("near"), secret)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// lateBody is a body of which the rest arrives only after the stream has ended.
type lateBody struct {
	ended <-chan struct{}
	err   error // of the rest
	n     int
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	if b.n++; b.n == 1 {
		return copy(p, "begin"), nil
	}
	<-b.ended
	return copy(p, "rest"), b.err
}

// TestAnswerBeforeBody guards against an answer that is lost because it came
// before the end of the request's body.
func TestAnswerBeforeBody(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
	}{
		{"rest of the body comes later", nil},
		{"body fails later", errors.New("the caller left")},
	} {
		t.Run(test.name, func(t *testing.T) {
			session := linked(t, func(s *frame.Stream) {
				if s.SendHead([]byte("head")) == nil {
					_, _ = s.Write([]byte("answer"))
				}
				_ = s.CloseWrite(nil)
			})
			s, err := session.Open(t.Context(), 1, nil)
			assert.NilError(t, err)
			sent := make(chan struct{})
			go func() {
				send(s, &lateBody{ended: s.Context().Done(), err: test.err}, &Body{trailer: func() http.Header { return nil }})
				close(sent)
			}()
			_, err = s.RecvHead(t.Context())
			assert.NilError(t, err)
			<-sent
			answer, err := io.ReadAll(s)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "answer")
		})
	}
}
