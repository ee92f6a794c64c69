package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGraceBound sends each node of a fleet in which all processes were restarted more
// requests than the rate allows. It guards against admissions far above or below the
// rate during the grace period.
func TestGraceBound(t *testing.T) {
	for _, test := range []struct {
		name  string
		rate  float64
		nodes int
		time  time.Duration
	}{
		{"ordinary", 63, 13, 3 * time.Second},
		{"low rate", 5, 13, 6 * time.Second},
		{"large fleet", 400, 75, 2 * time.Second},
		{"one node", 20, 1, 4 * time.Second},
		{"past the end", 63, 13, 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			nodes := make([]*GraceLimiter, test.nodes)
			for i := range nodes {
				nodes[i] = NewGraceLimiter(start)
			}
			admitted := 0
			for at := time.Duration(0); at < test.time; at += 10 * time.Millisecond {
				for _, g := range nodes {
					if g.Take(start.Add(at), "a", test.rate, test.nodes) {
						admitted++
					}
				}
			}
			span := min(test.time, GracePeriod).Seconds()
			assert.Assert(t, float64(admitted) <= test.rate*(span+graceBurst), "%d admitted, above the bound", admitted)
			assert.Assert(t, float64(admitted) >= 0.9*test.rate*span-float64(test.nodes), "%d admitted, too few", admitted)
		})
	}
}

// TestGraceNeedsNodes guards against admissions without a known number of nodes, without
// a rate, or after the grace period.
func TestGraceNeedsNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewGraceLimiter(now)
	assert.Assert(t, !g.Take(now, "a", 100, 0))
	assert.Assert(t, !g.Take(now, "a", 0, 3))
	assert.Assert(t, g.Take(now, "a", 100, 3))
	assert.Assert(t, !g.Take(now.Add(GracePeriod), "a", 100, 3))
}
