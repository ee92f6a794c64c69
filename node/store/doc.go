// Package store holds the configuration that is in effect at a node and keeps it
// up to date.
//
// The configuration is a stream of records in the log service. A node applies the
// records that it reads from the log or receives from a peer, or whole snapshots
// from a [Source]. After a start, the configuration takes effect once it is known
// to be the newest, or unconfirmed if the log is unreachable; see [Store.Ready]. An
// offset is the position of a record in the stream.
package store
