package config

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SnapshotPolicy says when a snapshot is due. All values are above 0.
type SnapshotPolicy struct {
	Retention time.Duration // time for which the log keeps records
	Changes   int           // changes after which a snapshot is due
	Stagger   time.Duration // time between two nodes that would append one
}

// DefaultSnapshotPolicy returns the policy for a retention time. 2,000 changes
// are less than half a day at 4,500 a day and fold within milliseconds. The
// stagger covers an append, its retries and its way to the other readers.
func DefaultSnapshotPolicy(retention time.Duration) SnapshotPolicy {
	return SnapshotPolicy{
		Retention: retention,
		Changes:   2000,
		Stagger:   min(30*time.Second, retention/128),
	}
}

// Fractions of the retention time after which a snapshot is due. A node that
// saw the last snapshot arrive knows its age. One that found it at its start
// doesn't, and waits for less, so that a fleet that restarts often still
// appends one in time.
const (
	knownFraction   = 4
	unknownFraction = 16
)

// snapshotLog is what a reader knows of the snapshots in the stream.
type snapshotLog struct {
	last    uint64    // offset of the last complete snapshot, plus one; 0 for none
	seen    time.Time // time after which it was appended, or when it was read if that is not known
	fresh   bool      // it was appended after seen
	changes int       // changes folded since
	dueAt   time.Time // when the number of changes was first found above the policy
}

// saw notes a snapshot. It was appended after the time at which the reader was
// last at the end of the log.
func (l *snapshotLog) saw(now time.Time, offset uint64, asOf time.Time) {
	*l = snapshotLog{last: offset + 1, seen: now}
	if !asOf.IsZero() {
		l.seen, l.fresh = asOf, true
	}
}

// SnapshotDue reports whether this node should append a snapshot of the state
// now. The candidates are the instances that may append one, this node among
// them; they act one Stagger after the other in the order of their rendezvous
// rank, so that usually the first does it and the others see its snapshot
// before their turn. Ask again at least once a Stagger.
func (r *Reader) SnapshotDue(now time.Time, p SnapshotPolicy, self string, candidates []string) bool {
	if r.gap != nil || r.asOf.IsZero() || r.state.Next == 0 {
		return false
	}
	due, ok := r.snapshotDueAt(now, p)
	if !ok {
		return false
	}
	wait := time.Duration(snapshotRank(r.snapshots.last, self, candidates)) * p.Stagger
	// A node far down the order must act before the last snapshot expires.
	wait = min(wait, p.Retention/knownFraction)
	return !now.Before(due.Add(wait))
}

// snapshotDueAt returns the time from which a snapshot is due.
func (r *Reader) snapshotDueAt(now time.Time, p SnapshotPolicy) (time.Time, bool) {
	l := &r.snapshots
	seen, fraction := r.started, time.Duration(unknownFraction)
	if l.last > 0 {
		seen = l.seen
	}
	if l.fresh {
		fraction = knownFraction
	}
	due := seen.Add(p.Retention / fraction)
	if l.changes >= p.Changes {
		if l.dueAt.IsZero() {
			l.dueAt = now
		}
		if l.dueAt.Before(due) {
			due = l.dueAt
		}
	}
	return due, !now.Before(due)
}

// snapshotRank returns the number of candidates that come before self.
func snapshotRank(last uint64, self string, candidates []string) int {
	own := snapshotHash(last, self)
	rank := 0
	for _, c := range candidates {
		h := snapshotHash(last, c)
		if h > own || h == own && c < self {
			rank++
		}
	}
	return rank
}

// snapshotHash includes the place of the last snapshot, so that the work moves
// from node to node.
func snapshotHash(last uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(last)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
