package agent

import (
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// TestNodeEndsItsGoroutines guards against goroutines that continue after their
// node has stopped.
func TestNodeEndsItsGoroutines(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(t *testing.T, a *Agent)
	}{
		{"killed", func(_ *testing.T, a *Agent) { a.Kill() }},
		{"shut down", func(t *testing.T, a *Agent) { assert.NilError(t, a.Shutdown(t.Context())) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			a, err := New(testSettings(), WithLog(unavailableLog{}))
			assert.NilError(t, err)
			c.end(t, a)
		})
	}
}
