package admit

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a Level.
const (
	levelInterval = 100 * time.Millisecond
	levelCells    = 10 // the level follows the last second
	// cellSamples bounds the ranks kept of one interval. The level lies at a
	// quantile of those of all intervals, with an error of about 1% of demand.
	cellSamples = 64
	// levelCalm is the number of intervals with spare capacity after which the
	// level opens. Before, it only follows the demand above it that readers let
	// pass (DefaultMargin). Opening a busy target would admit all demand until
	// the next level has reached the entries.
	levelCalm = 5
	// sparePart of the limit in use is the most that counts as spare capacity.
	sparePart = 0.7
)

// LevelController is the controller of a target's admission level. The level is the rank
// up to which the demand that reached the target in the last second fits its
// throughput. It only informs the readers; the target itself admits by the
// order of its queue.
type LevelController struct {
	level   uint32
	cells   [levelCells]levelCell
	current int64 // number of the interval of the newest cell
	calm    int   // intervals with spare capacity in a row
	sorted  []weighted
}

type levelCell struct {
	number                    int64
	arrived, started, refused int
	busy                      bool // less than spare capacity at some time
	ranks                     [cellSamples]uint32
}

// sample counts an arrival and keeps its rank in a reservoir, in which every
// arrival of the interval has the same chance to stay.
func (c *levelCell) sample(rank uint32) {
	i := c.arrived
	if i >= cellSamples {
		i = int(mix(uint64(i)) % uint64(i+1))
	}
	if i < cellSamples {
		c.ranks[i] = rank
	}
	c.arrived++
}

// mix is the finalizer of SplitMix64. It replaces a random source: ranks don't
// depend on the order of arrival.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weighted is a rank that stands for a number of arrivals. An interval with
// many arrivals keeps as few ranks as one with few.
type weighted struct {
	rank   uint32
	weight float64
}

// NewLevelController returns an open level.
func NewLevelController() *LevelController {
	return &LevelController{level: OpenLevel, sorted: make([]weighted, 0, levelCells*cellSamples)}
}

// Arrive records a request that reached the target.
func (l *LevelController) Arrive(now time.Time, rank uint32) {
	l.advance(now).sample(rank)
}

// Start records a request that was given to the upstream, and the number of
// those running with it.
func (l *LevelController) Start(now time.Time, running, limit int) {
	c := l.advance(now)
	c.started++
	c.busy = c.busy || float64(running) > sparePart*float64(limit)
}

// Refuse records a request that was refused for lack of capacity.
func (l *LevelController) Refuse(now time.Time) {
	l.advance(now).refused++
}

// Value returns the highest rank that readers should send.
func (l *LevelController) Value(now time.Time) uint32 {
	l.advance(now)
	return l.level
}

// Throughput returns the requests per second given to the upstream over the
// last second.
func (l *LevelController) Throughput(now time.Time) float64 {
	l.advance(now)
	_, started := l.sums()
	return float64(started) / (levelCells * levelInterval).Seconds()
}

// advance closes the intervals that have ended and returns the current one.
func (l *LevelController) advance(now time.Time) *levelCell {
	n := now.UnixNano() / int64(levelInterval)
	if l.current == 0 {
		l.current = n
	}
	if n-l.current > levelCells {
		l.level, l.calm = OpenLevel, levelCalm
		l.current = n
	}
	for l.current < n {
		l.closeInterval()
		l.current++
	}
	c := &l.cells[uint64(l.current)%levelCells]
	if c.number != l.current {
		*c = levelCell{number: l.current}
	}
	return c
}

func (l *LevelController) closeInterval() {
	c := l.cells[uint64(l.current)%levelCells]
	if c.number != l.current {
		c = levelCell{}
	}
	if c.refused > 0 {
		l.calm = 0
		l.lower()
		return
	}
	l.calm++
	if c.busy {
		l.calm = 0
	}
	if l.calm >= levelCalm {
		l.level = OpenLevel
		return
	}
	if ranks := l.recent(); len(ranks) > 0 {
		l.level = max(l.level, ranks[len(ranks)-1].rank)
	}
}

// lower puts the level at the quantile of recent ranks that the throughput of
// the last second covers.
func (l *LevelController) lower() {
	ranks := l.recent()
	_, started := l.sums()
	covered := 0.0
	for _, r := range ranks {
		covered += r.weight
		if covered > float64(started) {
			l.level = r.rank
			return
		}
	}
	if len(ranks) > 0 {
		l.level = max(l.level, ranks[len(ranks)-1].rank)
	}
}

// recent returns the ranks of the last second in increasing order.
func (l *LevelController) recent() []weighted {
	l.sorted = l.sorted[:0]
	for i := range l.cells {
		c := &l.cells[i]
		n := min(c.arrived, cellSamples)
		if c.number <= l.current-levelCells || c.number > l.current {
			continue
		}
		for _, r := range c.ranks[:n] {
			l.sorted = append(l.sorted, weighted{rank: r, weight: float64(c.arrived) / float64(n)})
		}
	}
	slices.SortFunc(l.sorted, func(a, b weighted) int { return cmp.Compare(a.rank, b.rank) })
	return l.sorted
}

func (l *LevelController) sums() (arrived, started int) {
	for i := range l.cells {
		c := &l.cells[i]
		if c.number > l.current-levelCells && c.number <= l.current {
			arrived += c.arrived
			started += c.started
		}
	}
	return arrived, started
}
