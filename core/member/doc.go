// Package member is the gossip state machine by which nodes know each other and
// the targets of the fleet.
//
// A Machine decides; it has no network, clock or goroutine. The caller hands it
// the time, delivers its messages and passes on the answers:
//
//   - Tick returns the messages that are due; call it every TickEvery or so.
//   - Receive answers a Packet of another node.
//   - Reply and ProbeAnswer take the answers to messages that were sent.
//   - Probe tells a node how to probe a target on behalf of another one.
//
// Inside an availability zone each node sends a packet to one peer every
// Period. The packet serves as the direct probe and carries the entries that
// changed recently; so does the answer. Every SyncEvery the packet also carries
// digests, by which a node that missed changes catches up. A draining target or
// a leaving instance is passed on at once to several peers, and so is the offset
// of a new configuration: Ahead names a node that has one.
//
// Between zones the Borders instances of each zone, chosen by rendezvous
// hashing over the alive members, send the changed entries of their own zone to
// the border instances of the other zones. Only the members of an entry's own
// zone declare it suspect or dead.
//
// Timers run on the time during which the machine was called. After a pause of
// the process outstanding probes are dropped and suspicions start again, so a
// node that resumes declares nobody dead because of its own pause.
package member
