package epoch

import (
	"slices"
	"time"
)

// Tracker finds out which epochs are retired. It reads a State and adds what
// this node observed. A node calls Observe for each report of a member, its own
// included, from gossip and from confirm replies.
type Tracker struct {
	state *State
	zones map[string]*evidence
}

type evidence struct {
	retired uint64
	seen    map[uint64]map[string]time.Time // epoch, member name, first observation
}

// NewTracker returns a tracker of the zones of a state.
func NewTracker(s *State) *Tracker {
	return &Tracker{state: s, zones: map[string]*evidence{}}
}

func (t *Tracker) zone(name string) *evidence {
	v := t.zones[name]
	if v == nil {
		v = &evidence{seen: map[uint64]map[string]time.Time{}}
		t.zones[name] = v
	}
	return v
}

// Observe records that a member of a zone reported its adopted epoch. The
// report counts against an epoch whose list has the member when the adopted
// epoch is newer, or when the member is a later process at the instance.
func (t *Tracker) Observe(m Member, adopted uint64, now time.Time) {
	v := t.zone(m.Zone)
	for _, e := range t.state.Epochs(m.Zone) {
		if e.Number <= v.retired {
			continue
		}
		for _, old := range e.Members {
			gone := m.replaces(old) || m.Same(old) && adopted > e.Number
			if gone {
				v.note(e.Number, old.Name, now)
			}
		}
	}
}

func (v *evidence) note(number uint64, name string, now time.Time) {
	if v.seen[number] == nil {
		v.seen[number] = map[string]time.Time{}
	}
	if _, ok := v.seen[number][name]; !ok {
		v.seen[number][name] = now
	}
}

// MergeRetired takes over from a peer that every epoch of a zone up to a number is
// retired, which is a stable fact.
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
		if e.Number != v.retired+1 || !v.ended(e, now) {
			break
		}
		v.retired = e.Number
	}
	for n := range v.seen {
		if n <= v.retired {
			delete(v.seen, n)
		}
	}
	return v.retired
}

func (v *evidence) ended(e Epoch, now time.Time) bool {
	times := make([]time.Time, 0, len(e.Members))
	for _, at := range v.seen[e.Number] {
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

// MayUse reports whether self may use what owner assigns under the current
// epoch of its zone, apart from the lease. Every earlier epoch must be retired
// or have the same owner, which then continues without a gap.
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
// the current one, so that state that it gathered under epoch from is still
// exact. It reports false when the list of an epoch in between is not kept.
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
// retired, for View.Earlier.
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
