// Package claim makes requests with an idempotency key run at most once, and
// decides what a repeated request with the same key receives.
//
// A request on an at-most-once route carries an idempotency key of one of two
// kinds:
//
//   - An issued key is created by an Issuer. It names the instance and the
//     incarnation of its issuer, and only that incarnation dispatches it.
//   - A caller's key is a UUIDv7. It belongs to the node that owns it under the
//     agreed member list; Ownership holds what that node knows about its own
//     right to run the key.
//
// The following terms are used throughout:
//
//   - An epoch is a numbered member list of an availability zone. A node acts
//     under an epoch only while it holds a lease of its zone, and the epoch is
//     retired once every lease under it has ended. See package epoch.
//   - A claim is the exclusive right of one request to run its key. The node that
//     dispatches a key keeps the claim in a Table.
//   - Attempts are the dispatches that a request may use. All requests with one
//     key share the attempts of its first request, the root.
//   - A refusal is an error response with a reason and an execution state.
//
// Table.Claim returns a Decision: run the request, join the execution that is in
// progress, replay the stored response, or refuse. Ticket.Dispatch repeats the
// checks immediately before the request is sent.
//
// # At most once
//
// A caller's key with time k is claimed only while its owner's lease is valid
// and only if k is at most MaxClockSkew ahead of the owner's clock. A node that
// takes over a key from another owner runs it only if k is more than twice
// MaxClockSkew later than the retirement of every earlier epoch in which another
// node owned the key. With clocks that differ by at most MaxClockSkew, the sets
// of keys that two owners run are therefore disjoint, even if an owner pauses
// between its last check and the dispatch. Within the memory of one owner, the
// table never removes a key before it is too old to run.
//
// An issued key is marked in the issuer's window of sequence numbers when it is
// dispatched. A sequence number below the window is never run.
//
// # Execution state
//
// A refusal reports executed "no" only if the key was dispatched neither by this
// request nor by an earlier one. A node that is not the owner of a key can't
// know this; it passes its own refusals through WithUnknownExecution.
package claim
