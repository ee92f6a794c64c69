package fakes

import (
	"net/http"
	"strconv"
	"time"

	"dogwoodsill.org/node/relay"
)

// StateRateLimit makes the upstream state a rate limit in its responses, in requests per
// second. 0 ends that.
func (u *Upstream) StateRateLimit(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = perSecond
	u.startRecording()
}

// startRecording starts to record the arrivals of requests. The caller holds mu.
func (u *Upstream) startRecording() {
	if u.arrivals == nil {
		u.arrivals = []time.Time{}
	}
}

// Arrivals returns when requests arrived, whether they ran or not, since the upstream
// first stated something.
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
}
