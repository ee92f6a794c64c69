// Package epoch decides which instances of an availability zone hold its shares
// and own its claim ranges. A share is a part of a customer's rate and burst,
// which its holder lends out; a claim range is a set of idempotency keys, whose
// owner records which of them were used.
//
// The members of a zone agree on epochs: numbered member lists that every node
// reads from log stream "epochs" into a State. Owners are computed from an epoch
// by rendezvous hashing. An owner acts only while its zone lease (Lease) is
// valid, and a successor only after the earlier epochs are retired (Tracker).
// An epoch is retired once no lease under it can be valid any more. Propose
// decides when a node appends a new epoch.
//
// No two instances hold the same share at once, for these reasons. A lease under
// epoch e needs confirmations from a majority of the list of e, each to a
// request sent less than LeaseTime ago. A member that adopted a newer epoch
// doesn't confirm e. Epoch e is retired once LeaseTime plus DriftMargin has
// elapsed since a majority of its list was seen to have adopted a newer epoch or
// to have restarted. Any two majorities of a list share a member, so every
// lease under e has expired by then.
//
// A node that adopts an epoch sends its confirm requests at once. It passes the
// replies to Tracker.Observe as well, so that retirement starts without waiting
// for gossip.
//
// Times are readings of the local monotonic clock and are never compared between
// nodes. The clocks of two nodes must not drift apart by more than DriftMargin
// in LeaseTime, and must not stop while a process is paused.
//
// The types of this package are not safe for concurrent use.
package epoch
