package evac

import (
	"maps"
	"time"
)

// State tells which zones are evacuated as of an offset of the log.
type State struct {
	Era    uint64               // of the log; it rises when the log comes back from a copy
	Offset uint64               // all earlier records are included
	Zones  map[string]time.Time // evacuated zones, and when a node read that first
}

// Evacuated reports whether a zone is evacuated.
func (s State) Evacuated(zone string) bool {
	_, ok := s.Zones[zone]
	return ok
}

// Compare returns a negative number if s is older than other, a positive one if it is newer and 0 if
// both are of the same position of the log.
func (s State) Compare(other State) int {
	switch {
	case s.Era != other.Era:
		return order(s.Era, other.Era)
	default:
		return order(s.Offset, other.Offset)
	}
}

func order(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// Change is a record of the log about one zone.
type Change struct {
	Offset    uint64
	Zone      string
	Evacuated bool // false if the evacuation is cancelled
}

// Reading is the result of one read of the log.
type Reading struct {
	Era     uint64
	Next    uint64 // offset after the records that were read
	Full    bool   // Changes describes all evacuated zones, and not only the records since the last read
	Changes []Change
}

// carryOver is the maximum age of a state that may be carried over to a new era. The log lacks the
// last records before its loss then, and a node whose state is older may lack them too.
const carryOver = 10 * time.Second

// Tracker holds the newest state that a node knows. It is not safe for concurrent use. The times
// that tell the age of a state must come from a clock that also runs while the machine sleeps.
type Tracker struct {
	state State
	known bool
	asOf  time.Time // when the state was known to be the newest
}

// State returns the newest state, and false if none is known. The caller must not change it.
func (t *Tracker) State() (State, bool) {
	return t.state, t.known
}

// AsOf returns the time at which the state was known to be the newest.
func (t *Tracker) AsOf() time.Time {
	return t.asOf
}

// ApplyReading applies a read of the log that was sent at the time asOf. It reports whether the state
// has changed. wall is the time of day, for the beginning of evacuations.
func (t *Tracker) ApplyReading(r Reading, asOf, wall time.Time) bool {
	next := State{Era: r.Era, Offset: r.Next, Zones: map[string]time.Time{}}
	if t.known && next.Compare(t.state) < 0 {
		return false
	}
	newEra := t.known && r.Era != t.state.Era
	switch {
	case r.Full && newEra && asOf.Sub(t.asOf) > carryOver:
	case r.Full && newEra, r.Full && t.known && next.Compare(t.state) == 0:
		// The log may have lost an evacuation that was acknowledged. Only a record that cancels it
		// ends it.
		maps.Copy(next.Zones, t.state.Zones)
	case r.Full:
	case !t.known || newEra:
		return false // records alone don't tell the state
	default:
		maps.Copy(next.Zones, t.state.Zones)
	}
	for _, c := range r.Changes {
		if !r.Full && c.Offset < t.state.Offset {
			continue
		}
		begin, known := t.state.Zones[c.Zone]
		switch {
		case !c.Evacuated:
			delete(next.Zones, c.Zone)
		case known:
			next.Zones[c.Zone] = begin
		default:
			next.Zones[c.Zone] = wall
		}
	}
	return t.replace(next, asOf)
}

// Merge applies the state of another node, which that knew to be the newest at the time asOf. It
// reports whether the state has changed. Of the same position of the log, nodes may know different
// states only because not all have carried over the same zones; all of these remain evacuated.
func (t *Tracker) Merge(s State, asOf time.Time) bool {
	if t.known {
		switch order := s.Compare(t.state); {
		case order < 0:
			return false
		case order == 0:
			zones := maps.Clone(s.Zones)
			if zones == nil {
				zones = map[string]time.Time{}
			}
			maps.Copy(zones, t.state.Zones)
			s.Zones = zones
		}
	}
	return t.replace(s, asOf)
}

// replace puts a state into effect that isn't older than the known one.
func (t *Tracker) replace(next State, asOf time.Time) bool {
	changed := !t.known || next.Compare(t.state) != 0 || len(next.Zones) != len(t.state.Zones)
	t.state, t.known = next, true
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
	return changed
}

// Differences returns the zones whose evacuation begins and ends from one state to another.
func Differences(before, after State) (begun, ended []string) {
	for zone := range after.Zones {
		if !before.Evacuated(zone) {
			begun = append(begun, zone)
		}
	}
	for zone := range before.Zones {
		if !after.Evacuated(zone) {
			ended = append(ended, zone)
		}
	}
	return begun, ended
}

const (
	// suspendedAfter is the time without a tick of the process after which it counts as suspended. A
	// shorter suspension leaves most of the time in which an evacuation takes effect.
	suspendedAfter = 2500 * time.Millisecond
	// resumeWait is how long a process that was suspended waits at most for a newer state. During an
	// outage of the log there is none, and no evacuation can begin.
	resumeWait = 2 * time.Second
)

// Watch detects that the process was suspended. Its state is then out of date until it is confirmed
// again. It is not safe for concurrent use.
type Watch struct {
	last    time.Time // last tick
	resumed time.Time // end of the last suspension; zero without one
}

// Tick records that the process runs. It is called several times a second, and before each decision.
// It reports whether a suspension ends.
func (w *Watch) Tick(now time.Time) (resumed bool) {
	resumed = !w.last.IsZero() && now.Sub(w.last) > suspendedAfter
	if resumed {
		w.resumed = now
	}
	if now.After(w.last) {
		w.last = now
	}
	return resumed
}

// Resumed reports whether the process was ever suspended.
func (w *Watch) Resumed() bool {
	return !w.resumed.IsZero()
}

// Stale reports whether a state that was the newest at the time asOf may be out of date because the
// process has been suspended since.
func (w *Watch) Stale(now, asOf time.Time) bool {
	return !w.resumed.IsZero() && asOf.Before(w.resumed) && now.Sub(w.resumed) < resumeWait
}
