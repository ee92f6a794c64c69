package chain

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/retry"
)

// ActiveCall is a call that the local upstream is serving. It is safe for
// concurrent use.
type ActiveCall struct {
	Token string
	Call  model.Call

	table     *Table
	route     string
	requestID string
	ctx       context.Context

	mu              sync.Mutex
	attempts        int
	runningChildren int             // child calls in progress
	maxParallel     int             // largest number of child calls in progress at the same time
	children        map[string]bool // services called
	childrenSince   time.Time       // when runningChildren last became 1
	childTime       time.Duration   // time with at least one child call in progress, up to childrenSince
	childFailed     bool
}

// Context returns the context of the call.
func (a *ActiveCall) Context() context.Context {
	return a.ctx
}

// StartChild begins a child call to a service and lends it some of the
// remaining attempts. It returns their number, 0 if none are left, and whether
// this is the first call to the service.
func (a *ActiveCall) StartChild(service string, now time.Time) (attempts int, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempts = retry.Split(a.attempts, a.table.pendingChildren(a.route, a.runningChildren))
	a.attempts -= attempts
	a.runningChildren++
	a.maxParallel = max(a.maxParallel, a.runningChildren)
	if a.runningChildren == 1 {
		a.childrenSince = now
	}
	first = !a.children[service]
	a.children[service] = true
	return attempts, first
}

// EndChild ends a child call and adds the attempts that it didn't use to the
// remaining attempts.
func (a *ActiveCall) EndChild(unused int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts += unused
	a.runningChildren--
	if a.runningChildren == 0 {
		a.childTime += now.Sub(a.childrenSince)
	}
}

// ChildTime returns the time during which at least one child call was in
// progress.
func (a *ActiveCall) ChildTime(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runningChildren > 0 {
		return a.childTime + now.Sub(a.childrenSince)
	}
	return a.childTime
}

// RemainingAttempts returns the number of attempts that the call has neither
// used nor lent to child calls.
func (a *ActiveCall) RemainingAttempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts
}

// RecordChildFailure records that a child call failed.
func (a *ActiveCall) RecordChildFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.childFailed = true
}

// ChildFailed reports whether a child call failed. If so, a failure of the call
// itself may have its cause further down the call chain.
func (a *ActiveCall) ChildFailed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.childFailed
}
