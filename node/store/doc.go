// Package store holds the configuration that is in effect at a node and keeps it
// up to date.
//
// The configuration is a stream of records in the log service. A node applies the
// records that it reads from the log or receives from a peer, or whole snapshots
// from a [Source]. After a start, the configuration takes effect only once it is
// known to be the newest; see [Store.Ready]. An offset is the position of a record
// in the stream.
package store
