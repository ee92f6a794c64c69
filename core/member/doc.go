// Package member is a gossip state machine that tracks the members of the fleet
// and their targets. A member is an instance: a node together with the upstream
// that it serves, which is the target that other nodes send requests to.
//
// A Machine has no network, clock or goroutine. The caller passes it the time,
// sends its messages and passes it the replies:
//
//   - Tick returns the messages that are due; call it every TickInterval.
//   - Receive handles a Packet from another node and returns the reply.
//   - ReceiveReply and ReceiveProbeReply handle the replies to sent messages.
//   - StartProbe returns the packet that probes a target on behalf of another
//     node.
//
// Inside an availability zone each node sends a packet to one peer every
// GossipInterval. The packet is also the direct probe of that peer. The packet
// and its reply carry the entries that changed recently. Every SyncInterval the
// packet also carries digests, through which a node that missed changes catches
// up. Three changes are urgent and are sent to several peers at once: a draining
// target, a leaving instance and the offset of a new configuration.
// NewerConfigPeer returns a node that has a newer configuration.
//
// In each zone, BordersPerZone border instances are selected by rendezvous
// hashing over the alive members. They send the changed entries of their own
// zone to the border instances of the other zones. Only members of its own zone
// declare an instance suspect or dead.
//
// Timers run on machine time, which stops while the process is paused. After a
// pause, pending probes are dropped and suspicions start again, so that a node
// declares no peer dead because of its own pause.
package member
