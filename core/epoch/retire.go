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
	firstReports memberReports // of newer epochs
	adoptions    memberReports // of epochs that start an era, or newer ones
}

// memberReports holds, by epoch and member name, when a report was first counted.
type memberReports map[uint64]map[string]time.Time

// NewTracker returns a tracker for the zones of a state.
func NewTracker(s *State) *Tracker {
	return &Tracker{state: s, zones: map[string]*zoneReports{}}
}

func (t *Tracker) zone(name string) *zoneReports {
	v := t.zones[name]
	if v == nil {
		v = &zoneReports{firstReports: memberReports{}, adoptions: memberReports{}}
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
				v.firstReports.record(e.Number, old.Name, now)
			}
			if e.startsEra() && (gone || m.Same(old) && adopted == e.Number) {
				v.adoptions.record(e.Number, old.Name, now)
			}
		}
	}
}

func (r memberReports) record(number uint64, name string, now time.Time) {
	if r[number] == nil {
		r[number] = map[string]time.Time{}
	}
	if _, ok := r[number][name]; !ok {
		r[number][name] = now
	}
}

func (r memberReports) deleteThrough(number uint64) {
	for n := range r {
		if n <= number {
			delete(r, n)
		}
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
		if !e.follows(v.retired) || !majorityReported(v.firstReports[e.Number], e, now) {
			break
		}
		v.retired = e.Number
	}
	v.firstReports.deleteThrough(v.retired)
	v.adoptions.deleteThrough(v.retired)
	return v.retired
}

// follows reports whether no epoch lies between the given one and e, as far as that can be
// known: at the beginning of an era the last epochs of the earlier one may be lost.
func (e Epoch) follows(number uint64) bool {
	return e.Base <= number || e.startsEra()
}

// majorityReported reports whether a majority of the members of an epoch reported so long
// ago that any lease under it, or for adoption reports under an earlier one, has ended.
func majorityReported(reports map[string]time.Time, e Epoch, now time.Time) bool {
	times := make([]time.Time, 0, len(e.Members))
	for _, at := range reports {
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
	return epochs[0].follows(retired) && t.lostEpochsRetired(self.Zone, epochs, now)
}

// lostEpochsRetired reports whether the epochs are retired that this node doesn't know
// because an era began with an epoch whose base it lacks. They are once a majority of the
// members of that epoch has adopted it for the time of a lease.
func (t *Tracker) lostEpochsRetired(zone string, epochs []Epoch, now time.Time) bool {
	v := t.zone(zone)
	for i, e := range epochs {
		baseKnown := e.Base == 0 || i > 0 && epochs[i-1].Number >= e.Base
		if e.startsEra() && !baseKnown && e.Number > v.retired && !majorityReported(v.adoptions[e.Number], e, now) {
			return false
		}
	}
	return true
}

// OwnedSince reports whether self was the owner in every epoch after from up to
// the current one, so that state gathered under epoch from is still exact. It
// reports false if an epoch in between is not retained.
func (s *State) OwnedSince(self Member, owner Owner, from uint64) bool {
	if s.HasGap(self.Zone) {
		return false
	}
	for _, e := range s.Epochs(self.Zone) {
		if e.Number <= from {
			continue
		}
		if e.Base != from || !owner(e).Same(self) {
			return false
		}
		from = e.Number
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
