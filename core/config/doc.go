// Package config builds the configuration from the records of the log's
// configuration stream.
//
// Applying a record is deterministic: every node that applies the same records
// holds the same state and accepts or rejects the same changes. A change names
// the revision of the object that it was based on, so that of two concurrent
// changes to an object only the first is accepted.
//
// Sources decides which nodes of a zone read the stream and which follow them, and
// ReadPlan how long a read waits, so that the state of every node stays younger than the
// bound that revoked keys need.
package config
