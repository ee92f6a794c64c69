package member

import "time"

// Timing and fan-out of the protocol.
const (
	// TickInterval is how often the caller should call Tick.
	TickInterval = 100 * time.Millisecond
	// GossipInterval is the time between two packets of a node to peers of its zone.
	GossipInterval = 500 * time.Millisecond
	// ProbeTimeout covers a round trip between regions, and some queueing.
	ProbeTimeout = 250 * time.Millisecond
	// IndirectProbes is the number of peers asked to probe a silent target.
	IndirectProbes = 3
	// indirectRounds is how often the target is probed again, directly and by
	// those peers, before it is suspected, one ProbeTimeout apart. With one
	// message in 5 lost, one round suspects a healthy target in 3 probes of 100,
	// two in 2 of 1,000.
	indirectRounds = 2
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout = 3 * time.Second
	// GoneRetention is how long a dead or left entry is kept, so that a late packet
	// can't bring the instance back.
	GoneRetention = 10 * time.Minute
	// ZoneRetention is how long the entries of a silent zone are kept. Regions lose
	// each other for minutes; an hour covers that, and a lost zone still goes.
	ZoneRetention = time.Hour
	// SyncInterval is the time between two digest exchanges inside a zone.
	SyncInterval = 10 * time.Second
	// ZoneSyncInterval is the time between two digest exchanges of one border
	// instance with one other zone.
	ZoneSyncInterval = 60 * time.Second
	// SeedInterval is how often a seed outside the known members is tried. It joins
	// groups of nodes that have forgotten each other.
	SeedInterval = 30 * time.Second
	// BordersPerZone is the number of border instances of a zone.
	BordersPerZone = 3
	// UrgentFanout is the number of peers that get an urgent entry at once.
	// Passing it on once to 4 peers reaches 98% of a zone; the packets of the
	// next periods reach the others.
	UrgentFanout = 4
	// urgentTries is how often an urgent or cross-zone packet is sent until it is
	// answered, each time to another instance.
	urgentTries = 4
	// pauseGap is the time without a call after which the process counts as
	// paused.
	pauseGap = 2 * time.Second
	// isolatedAfter is the time without any packet after which a node takes
	// itself for cut off, and isolatedFactor by how much its suspicions then
	// slow down.
	isolatedAfter  = 2 * time.Second
	isolatedFactor = 10
	// quietPerNode is the time for each known instance between two spread
	// changes of the load hint, offset or epoch of one instance of a small fleet,
	// of up to quietSmall instances; quietBurst of them are spread at once.
	quietPerNode = 500 * time.Millisecond
	quietBurst   = 4
	quietSmall   = 64
	// quietLarge is the same for a large fleet. Each configuration change there
	// changes the offset of all instances; so many entries can't be spread. One
	// in 4 s is as much as the changes of targets themselves.
	quietLarge = 4 * time.Second
	// rumorExtra is added to the binary logarithm of the zone's size to give the
	// number of times that a change is sent.
	rumorExtra = 2
	// bucketCount is the number of digest buckets of a zone.
	bucketCount = 64
)

// Config describes the local instance.
type Config struct {
	Name        string
	Incarnation uint64 // greater than that of every earlier process of the instance
	Addr        string // peer address
	Zone        string
	Seeds       []string // peer addresses to start from
	RandSeed    uint64   // source of all random choices
}
