package admit

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of a LevelController.
const (
	levelInterval  = 100 * time.Millisecond
	levelIntervals = 10 // the level depends on the last second
	// samplesPerInterval bounds the ranks kept of one interval. The level is a
	// quantile of the ranks of all intervals, with an error of about 1% of the
	// demand.
	samplesPerInterval = 64
	// spareIntervals is the number of consecutive intervals with spare capacity
	// after which the level is set to OpenLevel. Until then it rises only to
	// the highest rank that arrived in the last second, and throttles let some
	// requests above the level pass (DefaultMargin). If the level of a busy
	// target were set to OpenLevel at once, all demand would be admitted until
	// the entries received a lower level.
	spareIntervals = 5
	// spareFraction is the largest fraction of the limit, or of the burst of a
	// rate, in use at which a target has spare capacity.
	spareFraction = 0.7
)

// LevelController computes the admission level of a target: the rank up to
// which the demand that reached the target in the last second fits its
// throughput. The level only informs throttles; the target itself admits
// requests in the order of its queue.
type LevelController struct {
	level           uint32
	intervals       [levelIntervals]intervalStats
	currentInterval int64 // index of the newest interval
	spareCount      int   // consecutive intervals with spare capacity
	sorted          []weightedRank
}

type intervalStats struct {
	index                     int64
	arrived, started, refused int
	busy                      bool // without spare capacity at some time in the interval
	ranks                     [samplesPerInterval]uint32
}

// sample counts an arrival and may keep its rank. The ranks form a reservoir in
// which every arrival of the interval is kept with the same probability.
func (c *intervalStats) sample(rank uint32) {
	i := c.arrived
	if i >= samplesPerInterval {
		i = int(splitMix64(uint64(i)) % uint64(i+1))
	}
	if i < samplesPerInterval {
		c.ranks[i] = rank
	}
	c.arrived++
}

// splitMix64 is the mixing function of the SplitMix64 generator. It serves in
// place of a random source, which suffices because ranks don't depend on the
// order of arrival.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// weightedRank is a sampled rank and the number of arrivals that it represents.
// An interval with many arrivals keeps no more ranks than one with few, so its
// ranks have more weight.
type weightedRank struct {
	rank   uint32
	weight float64
}

// NewLevelController returns a controller whose level is OpenLevel.
func NewLevelController() *LevelController {
	return &LevelController{level: OpenLevel, sorted: make([]weightedRank, 0, levelIntervals*samplesPerInterval)}
}

// RecordArrival records a request that reached the target.
func (l *LevelController) RecordArrival(now time.Time, rank uint32) {
	l.advance(now).sample(rank)
}

// RecordStart records a request that was dispatched to the upstream. busy tells
// whether the target has no spare capacity since.
func (l *LevelController) RecordStart(now time.Time, busy bool) {
	c := l.advance(now)
	c.started++
	c.busy = c.busy || busy
}

// RecordRefusal records a request that was refused for lack of capacity.
func (l *LevelController) RecordRefusal(now time.Time) {
	l.advance(now).refused++
}

// Value returns the highest rank that throttles should let pass.
func (l *LevelController) Value(now time.Time) uint32 {
	l.advance(now)
	return l.level
}

// Throughput returns the rate, in requests per second, at which requests were
// dispatched to the upstream over the last second.
func (l *LevelController) Throughput(now time.Time) float64 {
	l.advance(now)
	_, started := l.totals()
	return float64(started) / (levelIntervals * levelInterval).Seconds()
}

// advance closes the intervals that have ended and returns the current one.
func (l *LevelController) advance(now time.Time) *intervalStats {
	n := now.UnixNano() / int64(levelInterval)
	if l.currentInterval == 0 {
		l.currentInterval = n
	}
	if n-l.currentInterval > levelIntervals {
		l.level, l.spareCount = OpenLevel, spareIntervals
		l.currentInterval = n
	}
	for l.currentInterval < n {
		l.closeInterval()
		l.currentInterval++
	}
	c := &l.intervals[uint64(l.currentInterval)%levelIntervals]
	if c.index != l.currentInterval {
		*c = intervalStats{index: l.currentInterval}
	}
	return c
}

func (l *LevelController) closeInterval() {
	c := l.intervals[uint64(l.currentInterval)%levelIntervals]
	if c.index != l.currentInterval {
		c = intervalStats{}
	}
	if c.refused > 0 {
		l.spareCount = 0
		l.updateLevel()
		return
	}
	l.spareCount++
	if c.busy {
		l.spareCount = 0
	}
	if l.spareCount >= spareIntervals {
		l.level = OpenLevel
		return
	}
	if ranks := l.recentRanks(); len(ranks) > 0 {
		l.level = max(l.level, ranks[len(ranks)-1].rank)
	}
}

// updateLevel sets the level to the rank up to which the requests of the last
// second would have fitted its throughput. If all would have fitted, it doesn't
// lower the level.
func (l *LevelController) updateLevel() {
	ranks := l.recentRanks()
	_, started := l.totals()
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

// recentRanks returns the sampled ranks of the last second in increasing order.
func (l *LevelController) recentRanks() []weightedRank {
	l.sorted = l.sorted[:0]
	for i := range l.intervals {
		c := &l.intervals[i]
		n := min(c.arrived, samplesPerInterval)
		if c.index <= l.currentInterval-levelIntervals || c.index > l.currentInterval {
			continue
		}
		for _, r := range c.ranks[:n] {
			l.sorted = append(l.sorted, weightedRank{rank: r, weight: float64(c.arrived) / float64(n)})
		}
	}
	slices.SortFunc(l.sorted, func(a, b weightedRank) int { return cmp.Compare(a.rank, b.rank) })
	return l.sorted
}

func (l *LevelController) totals() (arrived, started int) {
	for i := range l.intervals {
		c := &l.intervals[i]
		if c.index > l.currentInterval-levelIntervals && c.index <= l.currentInterval {
			arrived += c.arrived
			started += c.started
		}
	}
	return arrived, started
}
