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

	RateLimited bool `msgpack:"-"` // the upstream states a rate limit; set by the receiver, which knows it from the reply
}
