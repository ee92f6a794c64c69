package epoch

import (
	"slices"
	"time"
)

// Tracker determines which epochs are retired. It combines a State with what
// this node observed. A node calls Observe for each adopted epoch that a member
// reports, by gossip or in a confirm reply, and for its own.
type Tracker struct {
	state *State
	zones map[string]*zoneReports
}

type zoneReports struct {
	retired      uint64
	firstReports map[uint64]map[string]time.Time // by epoch and member name: when a report was first counted
}

// NewTracker returns a tracker for the zones of a state.
func NewTracker(s *State) *Tracker {
	return &Tracker{state: s, zones: map[string]*zoneReports{}}
}

func (t *Tracker) zone(name string) *zoneReports {
	v := t.zones[name]
	if v == nil {
		v = &zoneReports{firstReports: map[uint64]map[string]time.Time{}}
		t.zones[name] = v
	}
	return v
}

// Observe records that a member of a zone reported its adopted epoch. The
// report counts towards the retirement of an epoch that lists the member if the
// adopted epoch is newer, or if the member is a later process of the listed
// instance.
func (t *Tracker) Observe(m Member, adopted uint64, now time.Time) {
	v := t.zone(m.Zone)
	for _, e := range t.state.Epochs(m.Zone) {
		if e.Number <= v.retired {
			continue
		}
		for _, old := range e.Members {
			gone := m.supersedes(old) || m.Same(old) && adopted > e.Number
			if gone {
				v.record(e.Number, old.Name, now)
			}
		}
	}
}

func (v *zoneReports) record(number uint64, name string, now time.Time) {
	if v.firstReports[number] == nil {
		v.firstReports[number] = map[string]time.Time{}
	}
	if _, ok := v.firstReports[number][name]; !ok {
		v.firstReports[number][name] = now
	}
}

// MergeRetired records that a peer considers every epoch of a zone up to and
// including through retired. A retired epoch stays retired.
func (t *Tracker) MergeRetired(zone string, through uint64) {
	v := t.zone(zone)
	v.retired = max(v.retired, through)
}

// Retired returns the number up to which every epoch of a zone is retired.
func (t *Tracker) Retired(zone string, now time.Time) uint64 {
	v := t.zone(zone)
	v.retired = max(v.retired, t.state.Retired(zone))
	for _, e := range t.state.Epochs(zone) {
		if e.Number <= v.retired {
			continue
		}
		if e.Number != v.retired+1 || !v.canRetire(e, now) {
			break
		}
		v.retired = e.Number
	}
	for n := range v.firstReports {
		if n <= v.retired {
			delete(v.firstReports, n)
		}
	}
	return v.retired
}

func (v *zoneReports) canRetire(e Epoch, now time.Time) bool {
	times := make([]time.Time, 0, len(e.Members))
	for _, at := range v.firstReports[e.Number] {
		times = append(times, at)
	}
	if len(times) < e.Majority() {
		return false
	}
	slices.SortFunc(times, time.Time.Compare)
	return !now.Before(times[e.Majority()-1].Add(LeaseTime + DriftMargin))
}

// Owner maps a member list to the owner of one share or claim range.
type Owner func(Epoch) Member

// MayUse reports whether self may use what owner assigns to it under the
// current epoch of its zone. It does not check the lease. Every earlier epoch
// must be retired or have the same owner, which then continues without
// interruption.
func (t *Tracker) MayUse(self Member, owner Owner, now time.Time) bool {
	if t.state.HasGap(self.Zone) {
		return false
	}
	epochs := t.state.Epochs(self.Zone)
	if len(epochs) == 0 {
		return false
	}
	if !owner(epochs[len(epochs)-1]).Same(self) {
		return false
	}
	retired := t.Retired(self.Zone, now)
	for _, e := range epochs {
		if e.Number > retired && !owner(e).Same(self) {
			return false
		}
	}
	return epochs[0].Number <= retired+1
}

// OwnedSince reports whether self was the owner in every epoch after from up to
// the current one, so that state gathered under epoch from is still exact. It
// reports false if an epoch in between is not retained.
func (s *State) OwnedSince(self Member, owner Owner, from uint64) bool {
	if s.HasGap(self.Zone) {
		return false
	}
	want := from + 1
	for _, e := range s.Epochs(self.Zone) {
		if e.Number < want {
			continue
		}
		if e.Number != want || !owner(e).Same(self) {
			return false
		}
		want++
	}
	return true
}

// Unretired returns the epochs of a zone before the current one that are not
// retired, for View.Unretired.
func (t *Tracker) Unretired(zone string, now time.Time) []Epoch {
	epochs := t.state.Epochs(zone)
	if len(epochs) == 0 {
		return nil
	}
	retired := t.Retired(zone, now)
	var out []Epoch
	for _, e := range epochs[:len(epochs)-1] {
		if e.Number > retired {
			out = append(out, e)
		}
	}
	return out
}
