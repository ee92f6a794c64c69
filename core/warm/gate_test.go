package warm

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const rate = 16 // calls per second of a cold upstream

var start = time.Unix(1_000_000_000, 0)

// maxInWindow returns the largest number of times in any sliding second.
func maxInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a burst of 70 callers that a cold upstream receives in one second, also across the
// border of two seconds, and against a gate that uses only part of the rate.
func TestSlidingWindow(t *testing.T) {
	const callers, duration = 70, 20 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	g := NewGate(start)
	g.Report(start, 0)
	var admitted []time.Time
	next := make([]time.Time, callers)
	for i := range next {
		next[i] = start.Add(time.Duration(rng.Int64N(int64(time.Second))))
	}
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		g.Report(now, time.Second)
		for i := range next {
			if now.Before(next[i]) {
				continue
			}
			next[i] = now.Add(time.Duration(rng.ExpFloat64() * float64(100*time.Millisecond)))
			if g.Take(now, rate) == 0 {
				admitted = append(admitted, now)
			}
		}
	}
	assert.Equal(t, maxInWindow(admitted), rate)
	assert.Assert(t, len(admitted) > 9*rate*int(duration.Seconds())/10, "%d admitted", len(admitted))
}

// Guards against any history of reports, restarts of the upstream and changes of the rate after which
// more calls than permitted are admitted in a second in which the upstream counts as cold.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		g := NewGate(now)
		var cold []time.Time // calls admitted since the upstream counts as cold
		n := rapid.IntRange(1, 20).Draw(t, "rate")
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				g.Report(now, time.Duration(rapid.IntRange(0, 3).Draw(t, "cold"))*time.Second)
			case 1:
				g.Forget(now)
			case 2:
				g.Restart()
			case 3:
				n = rapid.IntRange(1, 20).Draw(t, "rate")
				cold = nil
			default:
				wait := g.Wait(now, n)
				took := g.Take(now, n)
				assert.Equal(t, wait, took)
				assert.Assert(t, wait <= Window)
				if took == 0 && g.Cold(now) {
					cold = append(cold, now)
				}
			}
			if !g.Cold(now) {
				cold = nil
			}
			assert.Assert(t, maxInWindow(cold) <= n)
		}
	})
}

// Guards against single failures after which a cold upstream receives calls as a warm one does: each
// case ends with the number of calls that are admitted at once.
func TestFailures(t *testing.T) {
	const many = 100
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	for _, c := range []struct {
		name  string
		steps func(g *Gate)
		at    time.Time
		want  int
	}{
		{"the node has just started", func(*Gate) {}, ms(0), 0},
		{"the second before the start counts as full", func(g *Gate) { g.Report(ms(10), 2*time.Second) }, ms(999), 0},
		{"and passes", func(*Gate) {}, ms(1000), rate},
		{"a report of before the start", func(g *Gate) { g.Report(ms(-1), 0) }, ms(1500), rate},
		{"warm after the start", func(g *Gate) { g.Report(ms(50), 0) }, ms(60), many},
		{"cold for the stated time", func(g *Gate) { g.Report(ms(0), 3*time.Second) }, ms(2999), rate},
		{"no longer", func(g *Gate) { g.Report(ms(0), 3*time.Second) }, ms(3000), many},
		{"cold while it serves many calls", func(g *Gate) {
			g.Report(ms(0), 0)
			for range many {
				g.Take(ms(10), rate)
			}
			g.Report(ms(20), 3*time.Second)
		}, ms(1009), 0},
		{"a late report of before the cold period", func(g *Gate) {
			g.Report(ms(100), 3*time.Second)
			g.Report(ms(90), 0)
		}, ms(1500), rate},
		{"a heartbeat that was under way when the period began", func(g *Gate) {
			g.Report(ms(100), 3*time.Second)
			g.Report(ms(900), 0)
		}, ms(1500), rate},
		{"a false report is corrected", func(g *Gate) {
			g.Report(ms(100), time.Hour)
			g.Report(ms(1200), 0)
		}, ms(1300), many},
		{"a new process of the upstream is cold", func(g *Gate) {
			g.Report(ms(0), 0)
			g.Restart()
			g.Report(ms(1500), 3*time.Second)
		}, ms(1500), rate},
		{"a new process is warm", func(g *Gate) {
			g.Report(ms(0), 3*time.Second)
			g.Restart()
			g.Report(ms(500), 0)
		}, ms(500), many},
		{"an evacuation was cancelled", func(g *Gate) {
			g.Report(ms(0), 0)
			g.Forget(ms(2000))
			g.Report(ms(1900), 0)
		}, ms(2000), rate},
		{"and the upstream is warm", func(g *Gate) {
			g.Report(ms(0), 0)
			g.Forget(ms(2000))
			g.Report(ms(2001), 0)
		}, ms(2010), many},
		{"the node was suspended", func(g *Gate) {
			g.Report(ms(0), 0)
			g.Forget(ms(9000))
		}, ms(9000), rate},
	} {
		g := NewGate(start)
		c.steps(g)
		got := 0
		for range many {
			if g.Take(c.at, rate) == 0 {
				got++
			}
		}
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against a limit where the configuration has none, and against calls that are admitted on top
// of uncounted ones when it gets one.
func TestRateChanges(t *testing.T) {
	g := NewGate(start)
	now := start.Add(time.Minute)
	for range 1000 {
		assert.Equal(t, g.Take(now, 0), time.Duration(0))
	}
	assert.Equal(t, g.Take(now, rate), Window)
	now = now.Add(Window)
	for range rate {
		assert.Equal(t, g.Take(now, rate), time.Duration(0))
	}
	assert.Equal(t, g.Take(now, 2*rate), Window)
}
