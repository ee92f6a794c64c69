package epoch

import "time"

// FirstSnapshotDelay is how long after the first epoch of a zone its first
// snapshot follows. Until then a reader that starts after an expired record
// can't tell the zone from one whose records expired.
const FirstSnapshotDelay = 10 * time.Second

// SnapshotScheduler says when this node must append a snapshot of a zone, so that the log
// always holds one that is younger than the retention time.
//
// A snapshot is due a quarter of the retention time after the last one, for
// nodes of other zones half of it: they step in when the whole zone is down. A
// node that started since the last snapshot doesn't know its age and counts
// from its start.
type SnapshotScheduler struct {
	state *State
	zones map[string]*kept
}

type kept struct {
	snapshot uint64
	since    time.Time
}

// NewSnapshotScheduler returns a keeper for the zones of a state.
func NewSnapshotScheduler(s *State) *SnapshotScheduler {
	return &SnapshotScheduler{state: s, zones: map[string]*kept{}}
}

// Due returns the snapshot of a zone that this node should append now, if any.
// retention is the retention time of the log. members are the live instances
// of the own zone; they take turns. Call it a few times a second and append at
// most once in TurnTime.
func (k *SnapshotScheduler) Due(zone string, self Member, members []Member, retention time.Duration, now time.Time) (Snapshot, bool) {
	snap, ok := k.state.Snapshot(zone)
	if !ok {
		return Snapshot{}, false
	}
	last := k.state.zones[zone].snapshot
	z := k.zones[zone]
	if z == nil || z.snapshot != last {
		z = &kept{snapshot: last, since: now}
		k.zones[zone] = z
	}
	wait := retention / 4
	if zone != self.Zone {
		wait = retention / 2
	}
	if last == 0 {
		wait = min(wait, FirstSnapshotDelay)
	}
	return snap, HasTurn(members, self, zone, now.Sub(z.since)-wait)
}
