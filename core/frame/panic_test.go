package frame

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/super"
)

// TestHandlerPanic guards against one unexpected message that ends the whole process: the
// stream is reset, the error is reported, and other streams of the session continue.
func TestHandlerPanic(t *testing.T) {
	a, b := tcpPair(t)
	reported := make(chan error, 1)
	const bad, good = 1, 2
	cs, _ := newSessionPair(t, a, b, func(s *Stream) {
		if s.Kind() == bad {
			panic("unexpected")
		}
		_ = ServeCall(s, func(_ context.Context, n int) (int, error) { return n + 1, nil })
	}, WithOnPanic(func(err error) { reported <- err }))
	_, err := Call[int, int](bg, cs, bad, 1)
	var reset *ResetError
	assert.Assert(t, errors.As(err, &reset), "%v", err)
	assert.Equal(t, reset.Code, CodeInternal)
	var panicked *super.PanicError
	assert.Assert(t, errors.As(<-reported, &panicked))
	n, err := Call[int, int](bg, cs, good, 1)
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
}
