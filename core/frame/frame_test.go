package frame

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

var secret = []byte("0123456789abcdef")

func pair(t testing.TB, a, b net.Conn, h Handler, opts ...Option) (*Session, *Session) {
	t.Helper()
	type result struct {
		s   *Session
		err error
	}
	c := make(chan result, 1)
	go func() {
		s, err := Server(context.Background(), b, h, append([]Option{WithName("b"), WithSecret(secret)}, opts...)...)
		c <- result{s, err}
	}()
	cs, err := Client(context.Background(), a, append([]Option{WithName("a"), WithSecret(secret)}, opts...)...)
	assert.NilError(t, err)
	r := <-c
	assert.NilError(t, r.err)
	return cs, r.s
}

func TestCall(t *testing.T) {
	a, b := net.Pipe()
	cs, ss := pair(t, a, b, func(st *Stream) {
		_ = Answer(st, func(_ context.Context, n int) (int, error) { return n + 1, nil })
	})
	defer ss.Close()
	defer cs.Close()
	for i := range 100 {
		n, err := Call[int, int](context.Background(), cs, 3, i)
		assert.NilError(t, err)
		assert.Equal(t, n, i+1)
	}
	assert.Equal(t, cs.Peer(), "b")
	assert.NilError(t, cs.Shutdown(context.Background()))
}
