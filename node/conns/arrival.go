package conns

import (
	"context"
	"time"
)

// arrivals determines when the requests of a connection arrived that were sent before the
// response to the one before them.
type arrivals struct {
	last    time.Time // last read that returned data
	ahead   time.Time // first read of the next request before the connection became idle; zero if none
	running bool      // a request is handled
	hasBody bool      // of that request, so that reads may belong to it
	idle    bool      // nothing was read since the connection became idle
	current time.Time // when the current request arrived; zero if it was not sent ahead
}

// read records a read that returned data.
func (a *arrivals) read(now time.Time) {
	a.last, a.idle = now, false
	if a.running && !a.hasBody && a.ahead.IsZero() {
		a.ahead = now
	}
}

// begin records that a request is handled.
func (a *arrivals) begin(hasBody bool) {
	a.current = a.ahead
	if a.idle && a.ahead.IsZero() {
		a.current = a.last
	}
	a.ahead, a.hasBody, a.running = time.Time{}, hasBody, true
}

// becomeIdle records that the response to the current request was sent.
func (a *arrivals) becomeIdle() {
	a.idle, a.running = true, false
}

// Arrival returns when a request of a server arrived, from its context. It is now unless the
// request waited for the response to an earlier one on its connection.
func Arrival(ctx context.Context, now time.Time) time.Time {
	c := connOf(ctx)
	if c == nil {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrivals.current.IsZero() {
		return now
	}
	return c.arrivals.current
}
