package config

import "time"

const (
	// PullInterval is the interval at which a node that doesn't read the log
	// requests the configuration from one that does.
	PullInterval = time.Second

	// MaxReadWait is the maximum long-poll timeout of a read. It is also used if
	// MaxAge is 0.
	MaxReadWait = 2 * time.Second

	// minReadWait limits a node to ten reads a second, however low MaxAge is, as
	// long as the configuration doesn't change.
	minReadWait = 100 * time.Millisecond
	// readFraction is the fraction of the log's read capacity that the fleet may
	// use for the configuration. All readers read again at once after a change.
	// With a wait of 2 s there are at most 0.1 * 2 s * ReadsPerSecond readers, so
	// this burst is at most a fifth of the reads that the log serves in a second.
	readFraction = 0.1
	// maxNodesAllRead is the maximum number of nodes of a zone in which all
	// nodes read the log if ReadsPerSecond is not known. In 15 zones of this
	// size they send some tens of reads a second, about 60 with a wait of 2 s.
	maxNodesAllRead = 8
	// ageFraction is the maximum age of a node's configuration in normal operation,
	// as a fraction of MaxAge. The rest is left for failures.
	ageFraction = 0.8
	// waitFraction is the maximum wait of one read, as a fraction of MaxAge, so that
	// two reads with a failed one between them stay within MaxAge.
	waitFraction = 0.4
	// responseTime allows for the response time of the log, 60 times its usual 4 ms.
	responseTime = 250 * time.Millisecond
)

// ReadPlan determines which nodes read the configuration from the log
// themselves, how long their reads wait, and how old the configuration of a node
// gets while its requests succeed. Above that age a node no longer relies on its
// source. Readers, which read the log, depend on no
// other node; the other nodes learn of a change by gossip.
type ReadPlan struct {
	ReadsPerSecond int           // reads a second that the log can serve for all nodes; 0 if not known
	MaxAge         time.Duration // age from which the configuration is too old to be used; 0 for no bound
}

// AllNodesRead reports whether all nodes of a zone read the log, given the
// number of nodes in the zone and in the fleet.
func (p ReadPlan) AllNodesRead(zoneNodes, fleetNodes int) bool {
	if p.ReadsPerSecond == 0 {
		return zoneNodes <= maxNodesAllRead
	}
	return float64(fleetNodes) <= float64(p.ReadsPerSecond)*readFraction*p.ReadWait().Seconds()
}

// ReadWait returns the long-poll timeout of a read. The configuration of a
// reader gets up to twice as old, since its age counts from the time at which
// the last completed read was sent.
func (p ReadPlan) ReadWait() time.Duration {
	if p.MaxAge == 0 {
		return MaxReadWait
	}
	maxAge := float64(p.MaxAge)
	wait := time.Duration(min(maxAge*waitFraction, (maxAge*ageFraction-float64(PullInterval))/2))
	return min(max(wait, minReadWait), MaxReadWait)
}

// MaxReaderAge returns the maximum age of the configuration of a reader while
// its reads succeed.
func (p ReadPlan) MaxReaderAge() time.Duration {
	return 2*p.ReadWait() + responseTime
}

// MaxNonReaderAge returns the maximum age of the configuration of a node that
// requests it from a reader, while its requests and the reads succeed.
func (p ReadPlan) MaxNonReaderAge() time.Duration {
	return 2*p.ReadWait() + PullInterval
}
