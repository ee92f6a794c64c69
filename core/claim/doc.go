// Package claim decides who may run a non-idempotent request and what a
// repeated request gets.
//
// A request on an at-most-once route carries an idempotency key of one of two
// kinds:
//
//   - An issued key comes from an Issuer. It names the instance and incarnation
//     of the issuer, and only that incarnation dispatches it.
//   - A caller's key is a UUIDv7. It belongs to the node that owns it under the
//     agreed member list; Ownership tells the table what that node knows.
//
// The node that dispatches a key keeps its claim in a Table. Claim answers with
// a Decision: run the request, join the one that is running, give the stored
// response, or refuse. The claim is checked again by Ticket.Dispatch right
// before the request is sent.
//
// # At most once
//
// A caller's key with time k is claimed only while its owner's lease is valid
// and only if k is at most Skew ahead of the owner's clock. A successor runs
// only keys newer, by twice the skew, than the retirement of every earlier epoch
// in which another node owned them. With clocks that differ by at most Skew, the
// sets of keys that two owners run are therefore disjoint, even if an owner
// pauses between its last check and the dispatch. Within one owner's memory the
// table never drops a key before it is too old to run.
//
// An issued key is marked in the issuer's window of sequence numbers when it is
// dispatched. A number below the window is never run.
//
// # Execution state
//
// A refusal says executed "no" only if the key was dispatched neither by this
// request nor by an earlier one. A node that is not the owner of a key can't
// know this; it passes its own refusals through Unproven.
package claim
