package agent

import (
	"math"
	"time"
)

// learnedState is what the log reports of the learned capacity of the upstream.
type learnedState struct {
	limit       int
	serviceTime time.Duration
	workTime    float64
}

const (
	// learnedChange is the factor of a change that is logged.
	learnedChange = 1.25
	// learnedWeight is the weight of a new value in the means of the service time and the work
	// time that are logged. The work time changes many times a second; a line for each change
	// would say nothing.
	learnedWeight = 1.0 / 8
)

// add adds a new state to the means of the times. The limit is that of the new state.
func (l *learnedState) add(s learnedState) {
	l.limit = s.limit
	l.serviceTime = time.Duration(meanOf(float64(l.serviceTime), float64(s.serviceTime)))
	l.workTime = meanOf(l.workTime, s.workTime)
}

func meanOf(before, next float64) float64 {
	if before == 0 || next == 0 {
		return next
	}
	return before + (next-before)*learnedWeight
}

// next returns the state that the log reports next: l, unless one value has changed by more
// than learnedChange.
func (l learnedState) next(s learnedState) learnedState {
	if changed(float64(l.limit), float64(s.limit)) || changed(float64(l.serviceTime), float64(s.serviceTime)) || changed(l.workTime, s.workTime) {
		return s
	}
	return l
}

func changed(before, after float64) bool {
	return before != after && (before == 0 || after == 0 || math.Max(after/before, before/after) > learnedChange)
}
