package fakes

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/node/relay"
)

// StateRateLimit makes the upstream state a rate limit in its responses, in requests per
// second. 0 ends that.
func (u *Upstream) StateRateLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = perSecond
}

// StateLeaving makes the upstream state in its responses that it leaves. It goes on to
// announce itself as before.
func (u *Upstream) StateLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// Replace puts a new process in place of the upstream, at the same address.
func (u *Upstream) Replace() error {
	u.mu.Lock()
	u.id, u.rateLimit, u.leaving, u.state = uuid.NewString(), 0, false, relay.Ready
	u.startedMS = max(time.Now().UnixMilli(), u.startedMS+1)
	u.mu.Unlock()
	return u.Announce()
}

// RecordArrivals starts to record the arrivals of requests.
func (u *Upstream) RecordArrivals() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = []time.Time{}
}

// Arrivals returns when requests arrived since RecordArrivals, whether they ran or not.
func (u *Upstream) Arrivals() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]time.Time(nil), u.arrivals...)
}

func (u *Upstream) recordArrival(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.arrivals != nil {
		u.arrivals = append(u.arrivals, now)
	}
}

func (u *Upstream) writeStatement(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rateLimit > 0 {
		h.Set(relay.RateLimitHeader, strconv.FormatFloat(u.rateLimit, 'f', -1, 64))
	}
	if u.leaving {
		h.Set(relay.LeavingHeader, "1")
	}
}
