package finish

import (
	"sync"
	"time"
)

const (
	// period is the time over which the longest durations are kept, at least once and at most
	// twice. A kind of work that isn't seen for so long is forgotten.
	period = 30 * time.Second
	// maxKinds limits the kinds of work whose durations are kept.
	maxKinds = 4096
	// marginDivisor is the divisor of a duration that gives the margin by which work may take
	// longer than before.
	marginDivisor = 8
	// earlyDivisor is the divisor of the time of a shutdown after which work must fit even if it
	// takes as long as any before. Until then, the usual duration counts.
	earlyDivisor = 2
	// smoothing is the weight of all earlier durations in the usual one, relative to the last.
	smoothing = 15
	// deviations is the number of mean deviations by which the usual duration exceeds the mean.
	deviations = 2
)

// Gate tells whether a piece of work can end before the process does. It measures how long
// work of each kind takes, so that a shutdown refuses what it could only cut off, and nothing
// else. The zero value is ready to use. It is safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	began, end time.Time // of the shutdown; zero before Begin
	byKind     map[string]*durations
	rotated    time.Time
}

// durations holds the durations of one kind of work.
type durations struct {
	current, last   time.Duration // longest of the current and of the last period
	mean, deviation time.Duration // smoothed
	seen            bool          // in the current period
}

func (d *durations) add(took time.Duration) {
	if d.mean == 0 {
		d.mean = took
	}
	d.deviation = (smoothing*d.deviation + (took - d.mean).Abs()) / (smoothing + 1)
	d.mean = (smoothing*d.mean + took) / (smoothing + 1)
	d.current = max(d.current, took)
	d.seen = true
}

// longest returns the longest duration of the last periods.
func (d *durations) longest() time.Duration {
	return max(d.current, d.last)
}

// usual returns a duration that most of the work doesn't exceed.
func (d *durations) usual() time.Duration {
	return min(d.mean+deviations*d.deviation, d.longest())
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
	d := g.byKind[kind]
	if d == nil {
		if len(g.byKind) >= maxKinds {
			return
		}
		d = &durations{}
		g.byKind[kind] = d
	}
	d.add(took)
}

// rotate begins a new period if the current one is over, and forgets the kinds of work that
// were not seen in it. The caller holds mu.
func (g *Gate) rotate(now time.Time) {
	if g.byKind == nil || now.Sub(g.rotated) > 2*period {
		g.byKind, g.rotated = map[string]*durations{}, now
	}
	if now.Sub(g.rotated) < period {
		return
	}
	g.rotated = now
	for kind, d := range g.byKind {
		if !d.seen {
			delete(g.byKind, kind)
		}
		d.last, d.current, d.seen = d.current, 0, false
	}
}

// Fits reports whether work that starts now can end in time: its deadline is early enough, or
// work of its kind took less than the time that is left. Early in a shutdown the usual duration
// counts, so that a rare slow request doesn't make all others be refused, later the longest.
// Work of an unknown duration fits while the shutdown is early. Before Begin, everything fits.
func (g *Gate) Fits(kind string, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	left := g.end.Sub(now)
	if g.end.IsZero() || deadline.Sub(now) <= left {
		return true
	}
	early := left >= g.end.Sub(g.began)/earlyDivisor
	d := g.byKind[kind]
	if d == nil {
		return early
	}
	took := d.longest()
	if early {
		took = d.usual()
	}
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
