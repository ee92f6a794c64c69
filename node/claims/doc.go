// Package claims runs requests with an idempotency key at most once: it finds
// the node that owns a key, dispatches the keys that this node owns, and writes
// claims and outcomes to the log stream "claims".
package claims
