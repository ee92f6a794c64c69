package speed

// LoadReport is what an upstream reports about its load in a response.
type LoadReport struct {
	Running, Waiting, Slots int // numbers of requests
	// WorkTime is how long work currently takes on the upstream's machine, as a multiple of the
	// usual time; 0 if not reported.
	WorkTime float64
}
