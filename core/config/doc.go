// Package config builds the configuration from the records of the log's
// configuration stream.
//
// Applying a record is deterministic: every node that applies the same records
// holds the same state and accepts or rejects the same changes. A change names
// the revision of the object that it was based on, so that of two concurrent
// changes to an object only the first is accepted.
package config
