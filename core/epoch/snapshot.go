package epoch

import "time"

// FirstSnapshotDelay is the time between the first epoch of a zone and its
// first snapshot. Until that snapshot, a reader that starts after an expired
// record can't distinguish a new zone from one whose records have expired.
const FirstSnapshotDelay = 10 * time.Second

// SnapshotScheduler decides when this node must append a snapshot of a zone, so
// that the log always holds one that is younger than the retention time.
//
// A snapshot is due a quarter of the retention time after the last one, or half
// of it for nodes of other zones, which take over when all nodes of the zone
// are down. A node that started after the last snapshot doesn't know its age
// and counts from its own start.
type SnapshotScheduler struct {
	state *State
	zones map[string]*snapshotAge
}

type snapshotAge struct {
	snapshotEnd uint64
	since       time.Time
}

// NewSnapshotScheduler returns a scheduler for the zones of a state.
func NewSnapshotScheduler(s *State) *SnapshotScheduler {
	return &SnapshotScheduler{state: s, zones: map[string]*snapshotAge{}}
}

// Due returns the snapshot of a zone that this node should append now, if any.
// retention is the retention time of the log. members are the alive instances
// of the local zone, which take turns. Call it a few times a second and append
// at most once per TurnDuration.
func (s *SnapshotScheduler) Due(zone string, self Member, members []Member, retention time.Duration, now time.Time) (Snapshot, bool) {
	snap, ok := s.state.Snapshot(zone)
	if !ok {
		return Snapshot{}, false
	}
	last := s.state.zones[zone].snapshotEnd
	z := s.zones[zone]
	if z == nil || z.snapshotEnd != last {
		z = &snapshotAge{snapshotEnd: last, since: now}
		s.zones[zone] = z
	}
	delay := retention / 4
	if zone != self.Zone {
		delay = retention / 2
	}
	if last == 0 {
		delay = min(delay, FirstSnapshotDelay)
	}
	return snap, HasTurn(members, self, zone, now.Sub(z.since)-delay)
}
