package burn

import (
	"cmp"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
)

// Recorder counts the requests of one process in a ring buffer of time slots. It
// is not safe for concurrent use.
type Recorder struct {
	ring [RetainedSlots]recordedSlot
}

// recordedSlot holds the counts of one slot of the ring.
type recordedSlot struct {
	slot   int64
	counts map[Series]Counts
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// Record counts a request that ended at now. The objectives are those of its
// service.
func (r *Recorder) Record(now time.Time, q Request, objectives []model.SLO) {
	if q.Outcome == Ignored {
		return
	}
	slot := r.slot(now)
	if slot == nil {
		return
	}
	base := Series{Service: q.Service, Importance: q.Importance, Customer: q.Customer}
	slot.add(base, q.counts(0))
	for i, o := range objectives {
		if o.LatencyMS > 0 && Applies(o, q.Importance) && !limitCounted(objectives[:i], o.LatencyMS, q.Importance) {
			limited := base
			limited.LatencyMS = o.LatencyMS
			slot.add(limited, q.counts(time.Duration(o.LatencyMS)*time.Millisecond))
		}
	}
}

// limitCounted reports whether an earlier objective that applies has the same
// latency limit.
func limitCounted(earlier []model.SLO, latencyMS int64, importance int) bool {
	return slices.ContainsFunc(earlier, func(o model.SLO) bool {
		return o.LatencyMS == latencyMS && Applies(o, importance)
	})
}

// counts returns the counts of the request in a series with the given latency
// limit, 0 for none.
func (q Request) counts(limit time.Duration) Counts {
	switch q.Outcome {
	case RefusedOverRate:
		return Counts{Over: 1}
	case RefusedInsideRate:
		return Counts{Total: 1, Bad: 1, Inside: 1}
	case Failed:
		return Counts{Total: 1, Bad: 1}
	default:
		c := Counts{Total: 1}
		if limit > 0 && q.Latency > limit {
			c.Bad = 1
		}
		return c
	}
}

// slot returns the slot of a time, and clears it if it held an older slot. It
// returns nil if a newer slot has the same index in the ring, which happens after
// the clock was set back.
func (r *Recorder) slot(now time.Time) *recordedSlot {
	n := slotNumber(now)
	s := &r.ring[n%RetainedSlots]
	if s.slot > n {
		return nil
	}
	if s.slot < n || s.counts == nil {
		*s = recordedSlot{slot: n, counts: map[Series]Counts{}}
	}
	return s
}

// add adds counts to a series. At maxNamedSeries, customers without a series share
// one for each service and importance; at MaxSeries, all other requests share one
// series, at the least important level.
func (s *recordedSlot) add(key Series, c Counts) {
	if _, ok := s.counts[key]; !ok && len(s.counts) >= maxNamedSeries {
		key.Customer = Other
	}
	if _, ok := s.counts[key]; !ok && len(s.counts) >= MaxSeries {
		if key.LatencyMS > 0 {
			return // already counted in the series without a limit
		}
		key = Series{Service: Other, Customer: Other, Importance: model.MaxLevel}
	}
	sum := s.counts[key]
	sum.Add(c)
	s.counts[key] = sum
}

// Entry holds the counts of one series in one slot.
type Entry struct {
	Series Series
	SlotCounts
}

// SlotEntries returns the counts at an index of the ring, from 0 to
// RetainedSlots-1, or none if they are outside the retention time before now.
// Reading slot by slot lets the owner of a shared recorder unlock it between
// calls, so that recording isn't blocked for long.
func (r *Recorder) SlotEntries(i int, now time.Time) []Entry {
	last := slotNumber(now)
	s := &r.ring[i]
	if s.slot <= last-RetainedSlots || s.slot > last {
		return nil
	}
	out := make([]Entry, 0, len(s.counts))
	for key, c := range s.counts {
		out = append(out, Entry{key, SlotCounts{Slot: s.slot, Counts: c}})
	}
	return out
}

// GroupBySeries groups entries by series, sorted by series and slot.
func GroupBySeries(entries []Entry) []SeriesSlots {
	all := map[Series][]SlotCounts{}
	for _, e := range entries {
		all[e.Series] = append(all[e.Series], e.SlotCounts)
	}
	out := make([]SeriesSlots, 0, len(all))
	for key, list := range all {
		slices.SortFunc(list, func(a, b SlotCounts) int { return cmp.Compare(a.Slot, b.Slot) })
		out = append(out, SeriesSlots{Series: key, Slots: list})
	}
	slices.SortFunc(out, func(a, b SeriesSlots) int { return compareSeries(a.Series, b.Series) })
	return out
}

// Series returns the counts of the retention time before now.
func (r *Recorder) Series(now time.Time) []SeriesSlots {
	var all []Entry
	for i := range r.ring {
		all = append(all, r.SlotEntries(i, now)...)
	}
	return GroupBySeries(all)
}

func compareSeries(a, b Series) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Importance, b.Importance),
		cmp.Compare(a.Customer, b.Customer),
		cmp.Compare(a.LatencyMS, b.LatencyMS),
	)
}
