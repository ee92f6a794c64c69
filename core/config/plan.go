package config

import "time"

const (
	// PullInterval is the interval at which a node that doesn't read the log
	// requests the configuration from one that does.
	PullInterval = time.Second

	// MaxReadWait is the maximum long-poll timeout of a read. It is also used if
	// the age of the configuration has no bound.
	MaxReadWait = 2 * time.Second

	// minReadWait limits a node to ten reads a second, however low the bound on
	// the age is.
	minReadWait = 100 * time.Millisecond
	// readFraction is the fraction of the log's read capacity that the fleet may
	// use for the configuration. A change ends the long polls of all readers at
	// once: with a wait of 2 s, they then send a fifth of the reads that the log
	// takes in a second.
	readFraction = 0.1
	// maxSmallZone is the maximum number of nodes of a zone in which all nodes
	// read the log if its capacity is not known. In 15 zones of this size they
	// send some tens of reads a second.
	maxSmallZone = 8
	// ageFraction is the maximum age of a node's configuration in normal operation,
	// as a fraction of the bound. The rest is left for failures.
	ageFraction = 0.8
	// waitFraction is the maximum wait of one read, as a fraction of the bound, so
	// that two reads with a failed one between them stay within the bound.
	waitFraction = 0.4
	// responseTime allows for the response time of the log, 60 times its usual 4 ms.
	responseTime = 250 * time.Millisecond
)

// ReadPlan determines which nodes read the configuration from the log
// themselves, how long their reads wait, and at which age of its configuration
// a node stops relying on its source. Readers, which read the log, depend on no
// other node; the other nodes learn of a change by gossip.
type ReadPlan struct {
	ReadsPerSecond int           // reads a second that the log can serve for all nodes; 0 if not known
	MaxAge         time.Duration // age from which the configuration is too old to be used; 0 for no bound
}

// AllNodesRead reports whether all nodes of a zone read the log, given the
// number of nodes in the zone and in the fleet.
func (p ReadPlan) AllNodesRead(zone, fleet int) bool {
	if p.ReadsPerSecond == 0 {
		return zone <= maxSmallZone
	}
	return float64(fleet) <= float64(p.ReadsPerSecond)*readFraction*p.ReadWait().Seconds()
}

// ReadWait returns the long-poll timeout of a read. The configuration of a
// reader gets up to twice as old, since its age counts from the time at which
// the last completed read was sent.
func (p ReadPlan) ReadWait() time.Duration {
	if p.MaxAge == 0 {
		return MaxReadWait
	}
	within := float64(p.MaxAge)
	wait := time.Duration(min(within*waitFraction, (within*ageFraction-float64(PullInterval))/2))
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
