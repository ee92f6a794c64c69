package super_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/super"
)

// TestRestart guards against a task that isn't restarted after an error or a
// panic.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func() error
	}{
		{"error", func() error { return errors.New("broken") }},
		{"panic", func() error { panic("broken") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs atomic.Int32
				up := make(chan struct{})
				tree := super.New(t.Context(), "root")
				tree.NewSubtree("sub").Start("task", func(ctx context.Context) error {
					if runs.Add(1) < 3 {
						return c.fail()
					}
					close(up)
					<-ctx.Done()
					return nil
				})
				<-up
				assert.Equal(t, tree.Status()[0].Restarts, 2)
				tree.Stop()
				assert.Equal(t, tree.Status()[0].Running, false)
			})
		})
	}
}

// TestDrainer guards against a shutdown that doesn't wait for running work or
// lets new work start.
func TestDrainer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d super.Drainer
		assert.Assert(t, d.Enter())
		done := make(chan error, 1)
		go func() { done <- d.Drain(t.Context()) }()
		synctest.Wait()
		assert.Equal(t, len(done), 0)
		assert.Assert(t, !d.Enter())
		d.Leave()
		assert.NilError(t, <-done)
		assert.NilError(t, d.Drain(t.Context()))
	})
}

// TestRepeat guards against a loop that ends at the first error of its function,
// and against one that reports the end of its context as an error.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		errOnce := errors.New("once")
		began, rounds := time.Now(), 0
		var seen []error
		err := super.Repeat(ctx, time.Second, func(err error) { seen = append(seen, err) }, func(context.Context) error {
			rounds++
			switch rounds {
			case 1:
				return errOnce
			case 3:
				cancel()
				return ctx.Err()
			default:
				return nil
			}
		})
		assert.NilError(t, err)
		assert.Equal(t, rounds, 3)
		assert.Equal(t, len(seen), 1)
		assert.Equal(t, seen[0], errOnce)
		assert.Equal(t, time.Since(began), time.Second)
	})
}
