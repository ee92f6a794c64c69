// Package retry decides whether and when a failed call is attempted again.
//
// Three limits apply together. The attempt budget of the root request bounds
// all attempts of its call chain. The ratio of a node bounds its retries to a
// part of its first attempts. The outcome of an attempt says whether another
// one is safe and useful.
package retry
