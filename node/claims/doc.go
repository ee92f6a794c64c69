// Package claims runs requests with an idempotency key at most once. A
// Coordinator finds the node that owns a key, forwards requests to it,
// dispatches the keys that its own node owns, and writes claims and outcomes to
// the log stream "claims".
package claims
