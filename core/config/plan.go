package config

import "time"

const (
	// PullInterval is how often a node that doesn't read the log asks one that does.
	PullInterval = time.Second

	// MaxReadWait is the longest poll time of a read, and the one where no bound on
	// the age of the configuration is known.
	MaxReadWait = 2 * time.Second

	// minReadWait bounds the reads of a node to ten a second, whatever the bound.
	minReadWait = 100 * time.Millisecond
	// readPart is the part of the reads that the log takes which the fleet uses for
	// the configuration. A change makes every reader read at once: with a wait of
	// 2 s, that is a fifth of a second's reads.
	readPart = 0.1
	// smallZone is the number of nodes of a zone up to which all of them read a
	// log of unknown capacity: some tens of reads a second in 15 zones.
	smallZone = 8
	// agePart is the part of the bound that the configuration of a node may be old in
	// the ordinary course. The rest is for a failure.
	agePart = 0.8
	// waitPart bounds the same for a single wait: two reads, and the one that fails
	// between them, stay within the bound.
	waitPart = 0.4
	// answerTime covers the answer of the log to a read, 60 times its usual 4 ms.
	answerTime = 250 * time.Millisecond
)

// ReadPlan says which nodes read the configuration from the log themselves, how
// long their reads wait, and from which age of the configuration a node no longer
// relies on its source. A node that reads the log depends on no other node; the
// others hear of a change by gossip.
type ReadPlan struct {
	ReadsPerSecond int           // reads that the log takes from all nodes; 0 if not known
	MaxAge         time.Duration // from which age the configuration doesn't serve; 0 for no bound
}

// AllNodesRead reports whether all nodes of a zone read the log, given the number of
// its nodes and of those of the fleet.
func (p ReadPlan) AllNodesRead(zone, fleet int) bool {
	if p.ReadsPerSecond == 0 {
		return zone <= smallZone
	}
	return float64(fleet) <= float64(p.ReadsPerSecond)*readPart*p.ReadWait().Seconds()
}

// ReadWait returns the long poll time of a read. The configuration of a node that
// reads is up to twice as old, since an answer is as old as its question.
func (p ReadPlan) ReadWait() time.Duration {
	if p.MaxAge == 0 {
		return MaxReadWait
	}
	within := float64(p.MaxAge)
	wait := time.Duration(min(within*waitPart, (within*agePart-float64(PullInterval))/2))
	return min(max(wait, minReadWait), MaxReadWait)
}

// MaxReaderAge returns the age that the configuration of a node which reads the log
// doesn't exceed while its reads succeed.
func (p ReadPlan) MaxReaderAge() time.Duration {
	return 2*p.ReadWait() + answerTime
}

// MaxNonReaderAge returns the same for a node that asks a reader.
func (p ReadPlan) MaxNonReaderAge() time.Duration {
	return 2*p.ReadWait() + PullInterval
}
