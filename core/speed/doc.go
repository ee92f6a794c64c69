// Package speed estimates how fast an upstream is and how many requests it should run at a
// time, from the requests that it finishes and from the load that it reports.
//
// It handles upstreams whose work slows down when more than a share of their slots are in use,
// that differ in speed, and whose machine is slow for a time.
package speed
