// Package epoch decides which instances of an availability zone hold its
// shares and claim ranges.
//
// The members of a zone are agreed in epochs: numbered member lists that every
// node folds from log stream "epochs" (State). Owners follow from an epoch by
// rendezvous hashing. An owner acts only under a zone lease (Lease), and a
// successor only after the earlier epochs are retired (Tracker). Propose says
// when to append a new epoch.
//
// Why no two instances hold the same share: a lease under epoch e needs
// confirmations from a majority of the list of e, each sent less than LeaseTime
// ago. A member that adopted a newer epoch refuses. Epoch e is retired once a
// majority of its list has refused in this sense for LeaseTime plus DriftMargin.
// Two majorities of a list share a member, so every lease under e has ended.
//
// A node that adopts an epoch sends its confirm requests at once and passes the
// replies to Tracker.Observe as well, so that retirement starts without waiting
// for gossip.
//
// Times are local readings of a monotonic clock. No clocks are compared between
// nodes; they must run at the same speed within DriftMargin per LeaseTime. The
// clock must not stop while a process is paused.
//
// The types of this package are not safe for concurrent use.
package epoch
