package member

import "time"

// Timing and fan-out of the protocol.
const (
	// TickInterval is how often the caller should call Tick.
	TickInterval = 100 * time.Millisecond
	// GossipInterval is the time between two packets of a node to peers of its
	// zone.
	GossipInterval = 500 * time.Millisecond
	// ProbeTimeout covers a round trip between regions and some queueing.
	ProbeTimeout = 250 * time.Millisecond
	// MaxProbeTimeout bounds the timeout where replies are slow. A failed peer is
	// then suspected within three such timeouts.
	MaxProbeTimeout = time.Second
	// lateReplyTime is how long after its timeout a packet is retained for a late
	// reply.
	lateReplyTime = time.Second
	// IndirectProbes is the number of peers asked to probe a target that did not
	// reply.
	IndirectProbes = 3
	// indirectRounds is the number of rounds, one ProbeTimeout apart, in which
	// the target is probed again, directly and by those peers, before it is
	// suspected. With one message in 5 lost, one round suspects a healthy target
	// in 3 probes of 100, two rounds in 2 of 1,000.
	indirectRounds = 2
	// maxHelpedRounds is the number of rounds that may ask other peers although no
	// direct probe was replied to in time; each such reply permits one more.
	maxHelpedRounds = 8
	// SuspicionTimeout is the time in which a suspect can refute the suspicion.
	SuspicionTimeout = 3 * time.Second
	// GoneRetention is how long a dead or left entry is retained, so that a late
	// packet can't bring the instance back.
	GoneRetention = 10 * time.Minute
	// ZoneRetention is how long the entries of an unreachable zone are retained.
	// Regions lose contact with each other for minutes; an hour covers that and
	// still evicts a zone that is lost for good.
	ZoneRetention = time.Hour
	// SyncInterval is the time between two digest exchanges inside a zone.
	SyncInterval = 10 * time.Second
	// ZoneSyncInterval is the time between two digest exchanges of one border
	// instance with one other zone.
	ZoneSyncInterval = 60 * time.Second
	// SeedInterval is how often a seed that is not a known member is tried. It
	// merges groups of nodes that have evicted each other's entries.
	SeedInterval = 30 * time.Second
	// BordersPerZone is the number of border instances of a zone.
	BordersPerZone = 3
	// UrgentFanout is the number of peers that an urgent entry is sent to at
	// once. If each receiver forwards it once to 4 peers, it reaches 98% of a
	// zone; the regular packets of the following gossip intervals reach the rest.
	UrgentFanout = 4
	// maxSendTries is the maximum number of times that an urgent or cross-zone
	// packet is sent until a reply arrives, each time to another instance.
	maxSendTries = 4
	// pauseThreshold is the time between two calls above which the process counts
	// as paused.
	pauseThreshold = 2 * time.Second
	// isolatedAfter is the time without any packet after which a node considers
	// itself isolated. Its suspicions then expire more slowly, by the factor
	// isolatedSlowdown.
	isolatedAfter    = 2 * time.Second
	isolatedSlowdown = 10
	// In a fleet of up to smallFleet instances, an instance spreads one change of
	// its load hint, offset or epoch per deferredPerNode times the number of
	// known instances, with a burst of up to deferredBurst.
	deferredPerNode = 500 * time.Millisecond
	deferredBurst   = 4
	smallFleet      = 64
	// deferredPerNodeLarge replaces deferredPerNode in a larger fleet. There each
	// configuration change alters the offset of all instances, which is too many
	// entries to spread. One change in 4 s across the fleet is as many as the
	// changes of targets themselves.
	deferredPerNodeLarge = 4 * time.Second
	// rumorExtraSends is added to the binary logarithm of the zone's size to give
	// the number of times that a change is sent.
	rumorExtraSends = 2
	// bucketCount is the number of digest buckets of a zone.
	bucketCount = 64
)

// Config describes the local instance.
type Config struct {
	Name        string
	Incarnation uint64 // greater than that of every earlier process of the instance
	Addr        string // peer address
	Zone        string
	Seeds       []string // peer addresses of the first nodes to contact
	RandSeed    uint64   // seed of the random number generator
}
