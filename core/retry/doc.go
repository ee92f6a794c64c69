// Package retry decides whether and when a failed call is attempted again.
//
// An attempt is one try to send a call to a target. Three limits apply
// together. The attempt budget of the root request bounds the attempts of all
// calls in its call chain (Budget). The ratio of a node bounds its retries to a
// fraction of its first attempts (RatioLimiter). The outcome of an attempt
// determines whether another one is safe and useful (Outcome).
package retry
