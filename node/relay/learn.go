package relay

import (
	"sync"
	"time"
)

// learnedSpeed is what a target knows of the speed of its upstream. It is safe for concurrent
// use.
type learnedSpeed struct {
	mu         sync.Mutex
	lastReport LoadReport // of the upstream; zero if it has sent none
}

// report records a report of the upstream.
func (l *learnedSpeed) report(r LoadReport, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReport = r
}
