package model

import "time"

// Call is the context of a request in its whole call chain. Nodes pass it to
// each other; callers and upstreams never see it.
type Call struct {
	Root       string `msgpack:"root"`     // identifier of the root request
	Customer   string `msgpack:"customer"` // empty on an open route without a valid key
	KeyID      string `msgpack:"keyId"`
	Importance int    `msgpack:"importance"`
	Rank       uint32 `msgpack:"rank"` // order of admission: under overload requests with higher ranks are refused first
	// Deadline is the local time at which the response is due. Nodes send each
	// other the remaining time instead, so that their clocks need not agree.
	Deadline time.Time `msgpack:"-"`
	Weight   float64   `msgpack:"weight"`   // number of offered requests that this one represents: itself and refused ones before it; at least 1
	Attempts int       `msgpack:"attempts"` // attempts left to this call and its descendants in the chain
	Depth    int       `msgpack:"depth"`
	Origin   string    `msgpack:"origin"` // service of the instance where the call entered
	// LatencyGoal is the response time, from the arrival, up to which a response
	// has its full value to the caller; 0 if not known.
	LatencyGoal time.Duration `msgpack:"goal"`
}

// MaxDepth is the maximum length of a call chain. At the target size of the
// system chains have up to 13 calls; one of twice that length is taken for a
// loop.
const MaxDepth = 26
