package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGateValue guards against two faults. With an adaptive limit, which already
// includes the delay of a busy processor, the delay must not lower the limit a
// second time. With fixed slots, a busy processor must lower it.
func TestGateValue(t *testing.T) {
	for _, test := range []struct {
		name  string
		up    Upstream
		busy  bool
		below int // exclusive upper bound of the limit
		least int // inclusive lower bound
	}{
		{"fixed slots", Upstream{Slots: 54, FixedSlots: true}, false, 55, 54},
		{"fixed slots, busy processor", Upstream{Slots: 54, FixedSlots: true}, true, 20, 1},
		{"adaptive", Upstream{Slots: 54}, false, 9, 8},
		{"adaptive, busy processor", Upstream{Slots: 54}, true, 9, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newGate()
			now := time.Unix(1000, 0)
			g.applyHints(test.up, true, now)
			for range 30 {
				now = now.Add(200 * time.Millisecond)
				if test.busy {
					g.schedulerLimit.Observe(now, time.Second, 54)
				}
			}
			assert.Assert(t, g.currentLimit() < test.below && g.currentLimit() >= test.least, "%d", g.currentLimit())
		})
	}
}
