package admit

import (
	"slices"
	"time"
)

// Parameters of a Level.
const (
	levelInterval = 100 * time.Millisecond
	levelCells    = 10 // the level follows the last second
	// levelSamples bounds the ranks kept. The level lies at a quantile of
	// them, with an error of about 1% of demand.
	levelSamples = 512
	// levelCalm is the number of intervals with spare capacity after which the
	// level opens. Before, it only follows the demand above it that readers let
	// pass (DefaultMargin). Opening a busy target would admit all demand until
	// the next level has reached the entries.
	levelCalm = 5
	// sparePart of the limit in use is the most that counts as spare capacity.
	sparePart = 0.7
)

// Level is the controller of a target's admission level. The level is the rank
// up to which the demand that reached the target in the last second fits its
// throughput. It only informs the readers; the target itself admits by the
// order of its queue.
type Level struct {
	level   uint32
	cells   [levelCells]levelCell
	current int64 // number of the interval of the newest cell
	calm    int   // intervals with spare capacity in a row
	ranks   [levelSamples]rankSample
	next    int
	sorted  []uint32
}

type levelCell struct {
	number                    int64
	arrived, started, refused int
	busy                      bool // less than spare capacity at some time
}

type rankSample struct {
	at   time.Time
	rank uint32
}

// NewLevel returns an open level.
func NewLevel() *Level {
	return &Level{level: Open, sorted: make([]uint32, 0, levelSamples)}
}

// Arrive records a request that reached the target.
func (l *Level) Arrive(now time.Time, rank uint32) {
	l.advance(now).arrived++
	l.ranks[l.next] = rankSample{at: now, rank: rank}
	l.next = (l.next + 1) % levelSamples
}

// Start records a request that was given to the upstream, and the number of
// those running with it.
func (l *Level) Start(now time.Time, running, limit int) {
	c := l.advance(now)
	c.started++
	c.busy = c.busy || float64(running) > sparePart*float64(limit)
}

// Refuse records a request that was refused for lack of capacity.
func (l *Level) Refuse(now time.Time) {
	l.advance(now).refused++
}

// Value returns the highest rank that readers should send.
func (l *Level) Value(now time.Time) uint32 {
	l.advance(now)
	return l.level
}

// Throughput returns the requests per second given to the upstream over the
// last second.
func (l *Level) Throughput(now time.Time) float64 {
	l.advance(now)
	_, started := l.sums()
	return float64(started) / (levelCells * levelInterval).Seconds()
}

// advance closes the intervals that have ended and returns the current one.
func (l *Level) advance(now time.Time) *levelCell {
	n := now.UnixNano() / int64(levelInterval)
	if l.current == 0 {
		l.current = n
	}
	if n-l.current > levelCells {
		l.level, l.calm = Open, levelCalm
		l.current = n
	}
	for l.current < n {
		l.closeInterval(now)
		l.current++
	}
	c := &l.cells[uint64(l.current)%levelCells]
	if c.number != l.current {
		*c = levelCell{number: l.current}
	}
	return c
}

func (l *Level) closeInterval(now time.Time) {
	c := l.cells[uint64(l.current)%levelCells]
	if c.number != l.current {
		c = levelCell{}
	}
	if c.refused > 0 {
		l.calm = 0
		l.lower(now)
		return
	}
	l.calm++
	if c.busy {
		l.calm = 0
	}
	if l.calm >= levelCalm {
		l.level = Open
		return
	}
	if ranks := l.recent(now); len(ranks) > 0 {
		l.level = max(l.level, ranks[len(ranks)-1])
	}
}

// lower puts the level at the quantile of recent ranks that the throughput of
// the last second covers.
func (l *Level) lower(now time.Time) {
	ranks := l.recent(now)
	arrived, started := l.sums()
	if len(ranks) == 0 || arrived == 0 {
		return
	}
	i := len(ranks) * started / arrived
	if i >= len(ranks) {
		l.level = max(l.level, ranks[len(ranks)-1])
		return
	}
	l.level = ranks[i]
}

// recent returns the ranks of the last second in increasing order.
func (l *Level) recent(now time.Time) []uint32 {
	l.sorted = l.sorted[:0]
	for i := range l.ranks {
		s := &l.ranks[i]
		if !s.at.IsZero() && now.Sub(s.at) <= levelCells*levelInterval {
			l.sorted = append(l.sorted, s.rank)
		}
	}
	slices.Sort(l.sorted)
	return l.sorted
}

func (l *Level) sums() (arrived, started int) {
	for i := range l.cells {
		c := &l.cells[i]
		if c.number > l.current-levelCells && c.number <= l.current {
			arrived += c.arrived
			started += c.started
		}
	}
	return arrived, started
}
