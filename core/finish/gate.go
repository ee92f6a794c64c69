package finish

import (
	"sync"
	"time"
)

const (
	// period is the time over which the longest durations are kept, at least once and at most
	// twice.
	period = 30 * time.Second
	// maxKinds limits the kinds of work whose durations are kept.
	maxKinds = 4096
	// marginDivisor is the divisor of a duration that gives the margin by which work may take
	// longer than before.
	marginDivisor = 8
	// unknownDivisor is the divisor of the time of a shutdown that must be left for work of a
	// kind whose duration is not known.
	unknownDivisor = 2
)

// Gate tells whether a piece of work can end before the process does. It measures how long
// work of each kind takes, so that a shutdown refuses what it could only cut off, and nothing
// else. The zero value is ready to use. It is safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	began, end time.Time // of the shutdown; zero before Begin
	longest    map[string]*longest
	rotated    time.Time
}

// longest is the longest duration of one kind of work in the current and the last period.
type longest struct {
	current, last time.Duration
}

// Begin records that the process shuts down. Work must end by the given time.
func (g *Gate) Begin(now, end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.began, g.end = now, end
}

// Record records how long a piece of work took.
func (g *Gate) Record(kind string, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	l := g.longest[kind]
	if l == nil {
		if len(g.longest) >= maxKinds {
			return
		}
		l = &longest{}
		g.longest[kind] = l
	}
	l.current = max(l.current, took)
}

// rotate begins a new period if the current one is over, and forgets the kinds of work that
// were not seen since the last one. The caller holds mu.
func (g *Gate) rotate(now time.Time) {
	if g.longest == nil || now.Sub(g.rotated) > 2*period {
		g.longest, g.rotated = map[string]*longest{}, now
	}
	if now.Sub(g.rotated) < period {
		return
	}
	g.rotated = now
	for kind, l := range g.longest {
		l.last, l.current = l.current, 0
		if l.last == 0 {
			delete(g.longest, kind)
		}
	}
}

// Fits reports whether work that starts now can end in time: its deadline is early enough, or
// work of its kind took less than the time that is left. Before Begin, everything fits.
func (g *Gate) Fits(kind string, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := g.end.Sub(now)
	if g.end.IsZero() || deadline.Sub(now) <= left {
		return true
	}
	l := g.longest[kind]
	if l == nil {
		return left >= g.end.Sub(g.began)/unknownDivisor
	}
	took := max(l.current, l.last)
	return took+took/marginDivisor <= left
}

// Left returns the time until the shutdown ends, or 0 before Begin and after the end.
func (g *Gate) Left(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end.IsZero() {
		return 0
	}
	return max(0, g.end.Sub(now))
}
