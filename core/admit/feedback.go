package admit

// Feedback is the load information that a target returns with each response.
type Feedback struct {
	Level     uint32  `msgpack:"level"`    // admission level of the target; requests of a higher rank should not be sent to it
	PathLevel uint32  `msgpack:"path"`     // lowest level among the target and the services that its calls use
	InFlight  int     `msgpack:"inFlight"` // requests running and queued
	Limit     int     `msgpack:"limit"`    // concurrency limit
	Demand    float64 `msgpack:"demand"`   // demand of the calling customer as a multiple of its fair share, the highest along the path

	// ServiceTime is the time in microseconds that the upstream currently needs for a typical
	// call, without its child calls; 0 if the target has not learned it.
	ServiceTime int64 `msgpack:"serviceUs"`
	// Chain describes the calls behind one call of the service; empty if they are not known.
	Chain []ChainShare `msgpack:"chain"`

	// Success is the fraction of the calls of the target that it serves at present; set by the
	// target itself, which sends it in Chain.
	Success float64 `msgpack:"-"`

	RateLimited bool `msgpack:"-"` // the upstream states a rate limit; set by the receiver, which knows it from the reply
}

// ChainShare describes the calls of one service behind a call of another one.
type ChainShare struct {
	Service string  `msgpack:"service"`
	Calls   float64 `msgpack:"calls"`   // calls of the service behind one call, at all depths
	Success float64 `msgpack:"success"` // fraction of the calls of the service that succeed at present; 0 if unknown
}
