package super_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/super"
)

// Guards against a duty that stays down after an error or a panic.
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
				tree.Sub("sub").Start("duty", func(ctx context.Context) error {
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

// Guards against a shutdown that doesn't wait for running work or lets new work
// begin.
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
