package admit

// Feedback is what a target returns with each response.
type Feedback struct {
	Level     uint32  `msgpack:"level"`    // of the target; a higher rank should not be sent to it
	PathLevel uint32  `msgpack:"path"`     // lowest level of the target and of the services that its calls use
	InFlight  int     `msgpack:"inFlight"` // running and waiting
	Limit     int     `msgpack:"limit"`    // concurrency limit
	Demand    float64 `msgpack:"demand"`   // of the calling customer as a multiple of its fair share, highest of the path
}
