package agent

import (
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// Guards against goroutines that outlive their node.
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
			a, err := New(settings(), WithLog(downLog{}))
			assert.NilError(t, err)
			c.end(t, a)
		})
	}
}
