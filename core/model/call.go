package model

import "time"

// Call is the context that a request carries through its whole call chain.
// Nodes exchange it; callers and upstreams never see it.
type Call struct {
	Root       string `msgpack:"root"`     // identifier of the root request
	Customer   string `msgpack:"customer"` // empty on an open route without a valid key
	KeyID      string `msgpack:"keyId"`
	Importance int    `msgpack:"importance"`
	Rank       uint32 `msgpack:"rank"` // admission order; a lower rank is shed later
	// Deadline is the local time at which the answer is due. Between nodes it
	// travels as a remaining duration, so that clocks need not agree.
	Deadline time.Time `msgpack:"-"`
	Weight   float64   `msgpack:"weight"`   // offered requests that this one stands for, at least 1
	Attempts int       `msgpack:"attempts"` // attempts that this call and those below it may still use
	Depth    int       `msgpack:"depth"`
	Origin   string    `msgpack:"origin"` // service of the instance where the call entered
	// LatencyGoal is the time from the arrival within which an answer is useful in full;
	// 0 if unknown.
	LatencyGoal time.Duration `msgpack:"goal"`
}

// MaxDepth bounds the length of a call chain. The target size has chains of 13
// calls; twice that is a loop.
const MaxDepth = 26
