// Package cost measures what nodes add to a call and what they spend on
// control, on real loopback sockets in one process. docs/CAPACITY.md works out
// the target size from its slopes.
package cost
