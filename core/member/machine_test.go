package member

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// complete reports whether every node that is up knows n alive members.
func complete(nodes []*simNode, n int) bool {
	for _, x := range nodes {
		if x.down {
			continue
		}
		sum := 0
		for _, z := range x.Zones() {
			sum += len(x.Alive(z))
		}
		if sum != n {
			return false
		}
	}
	return true
}

// Guards against nodes that start at the same time and never find each other.
func TestFleetForms(t *testing.T) {
	w := newNetwork(1)
	nodes := w.fleet(3, 10)
	took, ok := w.runUntil(60*time.Second, func() bool { return complete(nodes, 30) })
	assert.Assert(t, ok)
	t.Logf("complete after %v", took)
}
