package config

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// SnapshotPolicy determines when a snapshot is due. All values must be positive.
type SnapshotPolicy struct {
	Retention time.Duration // time for which the log retains records
	Changes   int           // number of changes after which a snapshot is due
	Stagger   time.Duration // delay between the turns of two candidates to append one
}

// DefaultSnapshotPolicy returns the policy for a retention time. 2,000 changes
// are less than half a day at 4,500 a day and are applied within milliseconds.
// The stagger allows for an append, its retries and the time until the other
// readers have read it.
func DefaultSnapshotPolicy(retention time.Duration) SnapshotPolicy {
	return SnapshotPolicy{
		Retention: retention,
		Changes:   2000,
		Stagger:   min(30*time.Second, retention/128),
	}
}

// Divisors of the retention time that give the age at which a snapshot is due.
// A node that was reading when the last snapshot was appended knows its age. A
// node that started later doesn't and waits for a shorter time, so that a fleet
// that restarts often still appends a snapshot in time.
const (
	knownAgeDivisor   = 4
	unknownAgeDivisor = 16
)

// snapshotHistory holds what a reader knows about the snapshots in the stream.
type snapshotHistory struct {
	last         uint64    // offset of the record that completed the last snapshot, plus one; 0 for none
	notBefore    time.Time // time after which the snapshot was appended if ageKnown; otherwise the time at which it was read
	ageKnown     bool      // whether notBefore is a lower bound of the time of the append
	changes      int       // changes applied since the last snapshot
	changesDueAt time.Time // when changes was first found to be at least SnapshotPolicy.Changes; zero if it wasn't yet
}

// recordSnapshot records a snapshot that was just read. It was appended after
// asOf, the last time at which the reader was at the end of the log. A zero asOf
// means that the reader never was, so the age of the snapshot is not known.
func (l *snapshotHistory) recordSnapshot(now time.Time, offset uint64, asOf time.Time) {
	*l = snapshotHistory{last: offset + 1, notBefore: now}
	if !asOf.IsZero() {
		l.notBefore, l.ageKnown = asOf, true
	}
}

// SnapshotDue reports whether this node should append a snapshot of the state
// now. The candidates are the instances that may append one, including this
// node. Their turns follow each other at intervals of Stagger in the order of
// their rendezvous hashes, so that usually the first one appends a snapshot and
// the others read it before their turn. Call SnapshotDue at least once every
// Stagger.
func (r *Reader) SnapshotDue(now time.Time, p SnapshotPolicy, self string, candidates []string) bool {
	if r.gap != nil || r.asOf.IsZero() || r.state.Next == 0 {
		return false
	}
	due, ok := r.snapshotDueAt(now, p)
	if !ok {
		return false
	}
	wait := time.Duration(snapshotRank(r.snapshots.last, self, candidates)) * p.Stagger
	// A node late in the order must still act before the last snapshot expires.
	wait = min(wait, p.Retention/knownAgeDivisor)
	return !now.Before(due.Add(wait))
}

// snapshotDueAt returns the time at which a snapshot is or was due, and whether
// that time has come.
func (r *Reader) snapshotDueAt(now time.Time, p SnapshotPolicy) (time.Time, bool) {
	l := &r.snapshots
	notBefore, divisor := r.started, time.Duration(unknownAgeDivisor)
	if l.last > 0 {
		notBefore = l.notBefore
	}
	if l.ageKnown {
		divisor = knownAgeDivisor
	}
	due := notBefore.Add(p.Retention / divisor)
	if l.changes >= p.Changes {
		if l.changesDueAt.IsZero() {
			l.changesDueAt = now
		}
		if l.changesDueAt.Before(due) {
			due = l.changesDueAt
		}
	}
	return due, !now.Before(due)
}

// snapshotRank returns the number of candidates whose turn is before that of
// self.
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

// snapshotHash returns the rendezvous hash of a candidate. It depends on the
// offset of the last snapshot, so that a different node goes first each time.
func snapshotHash(last uint64, name string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(last)
	_, _ = d.WriteString(name)
	return d.Sum64()
}
