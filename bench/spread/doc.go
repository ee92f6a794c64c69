// Package spread measures how the choice of targets spreads calls.
//
// It plays loads on one service in virtual time: nodes with a picker.Set each,
// and upstreams with slots, a bounded queue and their own speeds. Each load runs
// with service times in the feedback and without. The same seed gives the same
// results.
package spread
