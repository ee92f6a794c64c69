// Package limit adapts the concurrency limit of one target.
//
// The limit follows two signals that a target can't misreport without harming
// itself: the latency of its answers against a baseline, and its own
// load-shedding responses. Announced slots and the load endpoint only change
// the speed of growth.
package limit
