package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Simulates a processor that serves one call in 0.8 ms, so that each call that
// the node carries adds 0.8 ms to the scheduling delay, under several offered
// loads.
func TestLag(t *testing.T) {
	const perCall = 800 * time.Microsecond
	for _, test := range []struct {
		name     string
		offered  int // calls that callers keep in flight
		low, top int // bounds of the mean number of calls carried during the last second of 10 s
	}{
		{"idle", 5, 5, 5},
		{"busy", 15, 15, 15},
		{"overloaded", 400, 8, 25},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewSchedulerLimit()
			now := time.Unix(1000, 0)
			sum, n := 0, 0
			for i := range 1000 {
				now = now.Add(10 * time.Millisecond)
				carried := min(test.offered, l.Value())
				l.Observe(now, time.Duration(carried)*perCall, carried)
				if i >= 900 {
					sum, n = sum+carried, n+1
				}
			}
			mean := sum / n
			assert.Assert(t, mean >= test.low && mean <= test.top, "%d calls carried", mean)
		})
	}
}

func TestLagRecovers(t *testing.T) {
	l := NewSchedulerLimit()
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(schedulerWindow)
		l.Observe(now, time.Second, 100)
	}
	assert.Equal(t, l.Value(), minSchedulerLimit)
	for range 100 {
		now = now.Add(schedulerWindow)
		l.Observe(now, 0, 10)
	}
	assert.Assert(t, l.Value() >= 1000, "%d", l.Value())
}
