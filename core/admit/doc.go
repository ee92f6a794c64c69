// Package admit decides which requests a target runs when it can't run all of
// them, and lets the nodes in front refuse the others early.
//
// Every request has a rank that stays the same over its whole call chain, so
// that the same requests survive at every depth. A target runs requests within
// its concurrency limit and keeps a short queue ordered by rank (Gate). It
// returns its admission level with each response (Feedback). The nodes in front
// keep these levels for a second (Reader) and refuse requests of a higher rank
// before any work is done for them.
//
// Nothing in this package is safe for concurrent use.
package admit
