// Package cost measures the overhead that nodes add to a call and the resources
// that they use for control. All nodes run in one process and communicate over
// loopback sockets. docs/CAPACITY.md extrapolates the results to the target
// fleet size.
package cost
