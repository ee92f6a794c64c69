package burn

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
)

// Table holds the merged documents of several processes. It is not safe for
// concurrent use.
type Table struct {
	until      time.Time // time of the newest document
	now        int64     // slot of until
	offset     uint64
	objectives map[string][]model.SLO
	series     map[string]map[Series]map[int64]Counts // by service and series
	merged     map[process]bool
}

// process identifies one run of an instance, from start to exit.
type process struct {
	instance    string
	incarnation uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{series: map[string]map[Series]map[int64]Counts{}, merged: map[process]bool{}, objectives: map[string][]model.SLO{}}
}

// SlotError reports a document whose slots have a different length.
type SlotError struct {
	Instance string
	SlotMS   int64
}

// Error implements error.
func (e *SlotError) Error() string {
	return fmt.Sprintf("instance %s: slot length is %d ms, want %d ms", e.Instance, e.SlotMS, Slot.Milliseconds())
}

// Merge adds a document. Further documents of the same process are ignored. The
// objectives are taken from the newest configuration. It returns a *SlotError if
// the slots of the document have a different length.
func (t *Table) Merge(d Document) error {
	if d.SlotMS != Slot.Milliseconds() {
		return &SlotError{Instance: d.Instance, SlotMS: d.SlotMS}
	}
	p := process{d.Instance, d.Incarnation}
	if t.merged[p] {
		return nil
	}
	t.merged[p] = true
	if d.Now.After(t.until) {
		t.until, t.now = d.Now.UTC(), slotNumber(d.Now)
	}
	if d.Objectives != nil && d.ConfigOffset >= t.offset {
		t.objectives, t.offset = d.Objectives, d.ConfigOffset
	}
	for _, s := range d.Series {
		sums := t.slots(s.Series)
		for _, c := range s.Slots {
			sum := sums[c.Slot]
			sum.Add(c.Counts)
			sums[c.Slot] = sum
		}
	}
	return nil
}

// slots returns the counts of a series by slot, and creates the map if needed.
func (t *Table) slots(s Series) map[int64]Counts {
	ofService := t.series[s.Service]
	if ofService == nil {
		ofService = map[Series]map[int64]Counts{}
		t.series[s.Service] = ofService
	}
	if ofService[s] == nil {
		ofService[s] = map[int64]Counts{}
	}
	return ofService[s]
}

// End returns the end of the slot of the newest document.
func (t *Table) End() time.Time {
	return time.Unix(0, (t.now+1)*int64(Slot)).UTC()
}

// Objectives returns the objectives of the newest configuration by service.
func (t *Table) Objectives() map[string][]model.SLO {
	return t.objectives
}

// Services returns the services that have counts or objectives.
func (t *Table) Services() []string {
	names := map[string]bool{}
	for name := range t.series {
		names[name] = true
	}
	for name := range t.objectives {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Sum returns the total of the matching series of a service in a window. The
// window ends the given number of slots before the slot of the newest document.
func (t *Table) Sum(service string, window time.Duration, before int64, match func(Series) bool) Counts {
	last := t.now - before
	first := last - int64(window/Slot) + 1
	var sum Counts
	for key, bySlot := range t.series[service] {
		if !match(key) {
			continue
		}
		for slot, c := range bySlot {
			if slot >= first && slot <= last {
				sum.Add(c)
			}
		}
	}
	return sum
}

// CustomerSeries returns the series of a service without a latency limit, one for
// each customer and importance.
func (t *Table) CustomerSeries(service string) []Series {
	var out []Series
	for key := range t.series[service] {
		if key.LatencyMS == 0 {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, compareSeries)
	return out
}

// seriesMatcher returns a function that matches the series of an objective.
func seriesMatcher(o model.SLO) func(Series) bool {
	return func(s Series) bool {
		return s.LatencyMS == o.LatencyMS && Applies(o, s.Importance)
	}
}
