package config

import "time"

const (
	// readersPerZone is the number of nodes of a zone that read the log while none
	// fails. The other nodes follow them. Each node that fails is replaced by two, so
	// that a fault of several nodes delays the zone once and not once for each.
	readersPerZone    = 2
	readersPerFailure = 2
	maxReaders        = 8
	// failureTime is how long a node is not relied on after it failed as a source.
	failureTime = 3 * time.Second
	// minReadPause is the pause after a failed read. It doubles with each further one up
	// to maxReaderPause for the zone's first readers and up to maxReadPause for others,
	// so that a log that is away isn't asked by all nodes all the time.
	minReadPause   = 200 * time.Millisecond
	maxReaderPause = time.Second
	maxReadPause   = 4 * time.Second
)

// Sources decides for one node whether it reads the log itself and which nodes of its
// zone it follows otherwise. All nodes of a zone use the same order, so that usually the
// same two read. The number of reads then depends on the number of zones, not on that of
// nodes. The type is not safe for concurrent use.
type Sources struct {
	self     string
	failed   map[string]time.Time // until when a node is not relied on
	failures int                  // consecutive failed reads of this node
	nextRead time.Time
}

// NewSources returns the sources of the node self.
func NewSources(self string) *Sources {
	return &Sources{self: self, failed: map[string]time.Time{}}
}

// Role is what a node does to keep its configuration up to date.
type Role struct {
	Read   bool     // read the log
	First  bool     // it is one of the readers that the zone has while none fails
	Follow []string // follow these nodes
}

// Role returns the role of the node. order holds the alive nodes of the zone in the order
// in which they become readers, this node included. The first ones are followed even if
// they failed, so that their return is noticed at once.
func (s *Sources) Role(order []string, now time.Time) Role {
	need, found := readersPerZone, 0
	var role Role
	for i, name := range order {
		first := i < readersPerZone
		if found == need && !first {
			break
		}
		works := name == s.self || !now.Before(s.failed[name])
		switch {
		case works && found < need:
			found++
			role.Read = role.Read || name == s.self
			role.First = role.First || name == s.self && first
		case !works:
			need = min(need+readersPerFailure-1, maxReaders)
		}
		if name != s.self && (first || works) {
			role.Follow = append(role.Follow, name)
		}
	}
	return role
}

// SourceFailed records that a node didn't respond, or that its own state is too old.
func (s *Sources) SourceFailed(name string, now time.Time) {
	s.failed[name] = now.Add(failureTime)
}

// SourceWorks records that a node responded with a fresh state.
func (s *Sources) SourceWorks(name string) {
	delete(s.failed, name)
}

// ReadDone records the result of a read of this node.
func (s *Sources) ReadDone(ok, first bool, now time.Time) {
	if ok {
		s.failures, s.nextRead = 0, time.Time{}
		return
	}
	longest := maxReadPause
	if first {
		longest = maxReaderPause
	}
	s.nextRead = now.Add(min(minReadPause<<min(s.failures, 8), longest))
	s.failures++
}

// Failing reports whether the last read of this node failed.
func (s *Sources) Failing() bool {
	return s.failures > 0
}

// NextRead returns the earliest time of the next read.
func (s *Sources) NextRead() time.Time {
	return s.nextRead
}
