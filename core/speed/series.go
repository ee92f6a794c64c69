package speed

import (
	"sort"
	"time"
)

// Sizes of a series.
const (
	seriesSteps = 256                  // steps kept
	seriesStep  = 5 * time.Millisecond // shortest step; together with seriesSteps covers calls of 1.3 s
)

// series is a value over time, of which the mean over a recent interval can be computed. A
// value holds until the next one.
type series struct {
	at    [seriesSteps]time.Time
	area  [seriesSteps]float64 // integral of the value up to the step, in seconds
	value [seriesSteps]float64 // value from the step on
	first int                  // index of the oldest step
	n     int                  // number of steps
}

// set records the value from now on.
func (s *series) set(now time.Time, v float64) {
	if s.n == 0 {
		s.at[0], s.value[0], s.n = now, v, 1
		return
	}
	last := s.index(s.n - 1)
	if !now.After(s.at[last]) {
		s.value[last] = v
		return
	}
	area := s.area[last] + s.value[last]*now.Sub(s.at[last]).Seconds()
	if s.n == 1 || now.Sub(s.at[s.index(s.n-2)]) >= seriesStep {
		last = s.addStep()
	}
	s.at[last], s.area[last], s.value[last] = now, area, v
}

// addStep returns the index of a new step, which replaces the oldest one if there is no room.
func (s *series) addStep() int {
	if s.n < seriesSteps {
		s.n++
	} else {
		s.first = s.index(1)
	}
	return s.index(s.n - 1)
}

func (s *series) index(i int) int {
	return (s.first + i) % seriesSteps
}

// current returns the last value, or otherwise if there is none.
func (s *series) current(otherwise float64) float64 {
	if s.n == 0 {
		return otherwise
	}
	return s.value[s.index(s.n-1)]
}

// mean returns the mean value between two times, or otherwise if there is no value. Before
// the oldest step, the value of that step is assumed.
func (s *series) mean(from, to time.Time, otherwise float64) float64 {
	if s.n == 0 {
		return otherwise
	}
	d := to.Sub(from).Seconds()
	if d <= 0 {
		return s.current(otherwise)
	}
	return (s.integral(to) - s.integral(from)) / d
}

// integral returns the integral of the value up to a time, plus a constant.
func (s *series) integral(t time.Time) float64 {
	i := sort.Search(s.n, func(i int) bool { return s.at[s.index(i)].After(t) }) - 1
	k := s.index(max(0, i))
	return s.area[k] + s.value[k]*t.Sub(s.at[k]).Seconds()
}

// each calls f with each value between two times and for how long it held, in seconds. Before
// the oldest step, the value of that step is assumed.
func (s *series) each(from, to time.Time, f func(value, seconds float64)) {
	for i := s.n - 1; i >= 0 && to.After(from); i-- {
		k := s.index(i)
		start := s.at[k]
		if i == 0 || start.Before(from) {
			start = from
		}
		if start.Before(to) {
			f(s.value[k], to.Sub(start).Seconds())
			to = start
		}
	}
}
