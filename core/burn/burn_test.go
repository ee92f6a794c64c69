package burn

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/model"
)

var epoch = time.Unix(1_800_000_000, 0).UTC().Truncate(Slot)

// at returns the time a number of minutes after epoch.
func at(minutes int) time.Time {
	return epoch.Add(time.Duration(minutes) * time.Minute)
}

func record(r *Recorder, now time.Time, n int, q Request, slos ...model.SLO) {
	for range n {
		r.Record(now, q, slos)
	}
}

func document(r *Recorder, now time.Time, instance string, slos ...model.SLO) Document {
	return Document{
		Instance: instance, Incarnation: 1, Now: now, SlotMS: Slot.Milliseconds(),
		Objectives: map[string][]model.SLO{"orders": slos}, Series: r.Series(now),
	}
}

func table(t *testing.T, docs ...Document) *Table {
	t.Helper()
	tab := NewTable()
	for _, d := range docs {
		data, err := json.Marshal(d) // as nodes serve it to the admin command
		assert.NilError(t, err)
		var back Document
		assert.NilError(t, json.Unmarshal(data, &back))
		assert.NilError(t, tab.Merge(back))
	}
	return tab
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "%g, want %g", got, want)
}

// TestOutcomes guards against a request that is counted for the wrong objective
// or with the wrong outcome.
func TestOutcomes(t *testing.T) {
	zero, three := 0, 3
	all := model.SLO{Objective: 0.9}
	fast := model.SLO{Objective: 0.9, LatencyMS: 100}
	first := model.SLO{Objective: 0.5, LatencyMS: 100, Importance: &zero}
	other := model.SLO{Objective: 0.5, LatencyMS: 200, Importance: &three}
	q := Request{Service: "orders", Customer: "theatre"}
	for _, test := range []struct {
		outcome   Outcome
		latency   time.Duration
		want      Counts
		wantLimit Counts
	}{
		{Good, 100 * time.Millisecond, Counts{Total: 1}, Counts{Total: 1}},
		{Good, 101 * time.Millisecond, Counts{Total: 1}, Counts{Total: 1, Bad: 1}},
		{Failed, 0, Counts{Total: 1, Bad: 1}, Counts{Total: 1, Bad: 1}},
		{RefusedInsideRate, 0, Counts{Total: 1, Bad: 1, Inside: 1}, Counts{Total: 1, Bad: 1, Inside: 1}},
		{RefusedOverRate, 0, Counts{Over: 1}, Counts{Over: 1}},
		{Ignored, 0, Counts{}, Counts{}},
	} {
		r := NewRecorder()
		q.Outcome, q.Latency = test.outcome, test.latency
		record(r, at(0), 1, q, all, fast, first, other)
		tab := table(t, document(r, at(0), "a", all, fast, first, other))
		o := tab.Report().Objectives
		assert.DeepEqual(t, o[0].Counts, test.want)
		assert.DeepEqual(t, o[1].Counts, test.wantLimit)
		assert.DeepEqual(t, o[2].Counts, test.wantLimit)
		assert.DeepEqual(t, o[3].Counts, Counts{})
	}
}

// TestWindows guards against wrong windows and budgets, and against an alert that
// is raised by one window alone or late, or stays active long after the fault.
func TestWindows(t *testing.T) {
	slo := model.SLO{Objective: 0.99}
	good := Request{Service: "orders", Customer: "theatre"}
	bad := good
	bad.Outcome = Failed
	for _, test := range []struct {
		name     string
		from, to int // minutes of the fault, of 360
		burn     Windows
		alert    string
	}{
		{"no fault", 0, 0, Windows{}, ""},
		{"one minute", 359, 360, Windows{Min5: 4, Hour1: 20. / 60, Min30: 20. / 30, Hour6: 20. / 360}, ""},
		{"five minutes", 355, 360, Windows{Min5: 20, Hour1: 100. / 60, Min30: 100. / 30, Hour6: 100. / 360}, ""},
		{"an hour", 300, 360, Windows{Min5: 20, Hour1: 20, Min30: 20, Hour6: 1200. / 360}, "page"},
		{"two hours", 240, 360, Windows{Min5: 20, Hour1: 20, Min30: 20, Hour6: 2400. / 360}, "page"},
		{"two hours until 5 minutes ago", 235, 355, Windows{Hour1: 1100. / 60, Min30: 500. / 30, Hour6: 2400. / 360}, "ticket"},
		{"two hours until 30 minutes ago", 210, 330, Windows{Hour1: 10, Hour6: 2400. / 360}, ""},
	} {
		r := NewRecorder()
		for m := range 360 {
			failed := 0
			if m >= test.from && m < test.to {
				failed = 2 // of 10: a burn rate of 20
			}
			record(r, at(m), 10-failed, good)
			record(r, at(m), failed, bad)
		}
		got := table(t, document(r, at(359), "a", slo)).Report()
		for _, o := range []Objective{got.Objectives[0], got.Customers[0]} {
			assertNear(t, o.Burn.Min5, test.burn.Min5)
			assertNear(t, o.Burn.Hour1, test.burn.Hour1)
			assertNear(t, o.Burn.Min30, test.burn.Min30)
			assertNear(t, o.Burn.Hour6, test.burn.Hour6)
			assertNear(t, o.BudgetLeft, 1-test.burn.Hour6)
			assert.Equal(t, o.Alert, test.alert, test.name)
		}
	}
}

// TestMerge guards against counts that are lost, counted twice or mixed up when
// documents of several processes are merged.
func TestMerge(t *testing.T) {
	slo, newer := model.SLO{Objective: 0.9}, model.SLO{Objective: 0.5}
	a, b := NewRecorder(), NewRecorder()
	record(a, at(0), 3, Request{Service: "orders", Customer: "theatre"})
	record(b, at(0), 4, Request{Service: "orders", Customer: "theatre", Outcome: RefusedInsideRate})
	record(b, at(1), 5, Request{Service: "orders", Customer: "buses", Importance: 2, Outcome: RefusedOverRate})
	da, db := document(a, at(1), "a", slo), document(b, at(1), "b", newer)
	db.ConfigOffset = 9
	restarted := da
	restarted.Incarnation = 2
	tab := table(t, da, db, da, restarted)
	r := tab.Report()
	assert.Equal(t, r.Objectives[0].Objective, 0.5)
	assert.DeepEqual(t, r.Usage, []Usage{
		{Service: "orders", Customer: "theatre", Counts: Counts{Total: 10, Bad: 4, Inside: 4}},
		{Service: "orders", Importance: 2, Customer: "buses", Counts: Counts{Over: 5}},
	})
	var bad *SlotError
	assert.Assert(t, errors.As(tab.Merge(Document{Instance: "c", SlotMS: 1}), &bad))
}

// TestBounds guards against memory that grows with customers or time, and against
// counts lost because of the maximum number of series.
func TestBounds(t *testing.T) {
	r := NewRecorder()
	slo := model.SLO{Objective: 0.9, LatencyMS: 5}
	for m := range 2 * int(RetainedSlots) {
		for i := range 3 * MaxSeries {
			record(r, at(m), 1, Request{Service: fmt.Sprintf("s%d", i%200), Customer: fmt.Sprint(i)}, slo)
		}
	}
	for _, s := range r.ring {
		assert.Assert(t, len(s.counts) <= MaxSeries+1, "%d series", len(s.counts))
	}
	last := at(2*int(RetainedSlots) - 1)
	var total int64
	for _, s := range r.Series(last) {
		assert.Assert(t, len(s.Slots) <= int(RetainedSlots))
		for _, c := range s.Slots {
			if s.LatencyMS == 0 {
				total += c.Total
			}
		}
	}
	assert.Equal(t, total, RetainedSlots*3*MaxSeries)
	assert.Equal(t, len(r.Series(last.Add(Retention+Slot))), 0)
}

// TestClockSetBack guards against a clock that is set back and so clears newer
// slots or adds counts to them.
func TestClockSetBack(t *testing.T) {
	r := NewRecorder()
	q := Request{Service: "orders"}
	record(r, at(int(RetainedSlots)), 1, q)
	record(r, at(0), 1, q) // the ring index holds a newer slot
	record(r, at(5), 1, q)
	assert.Equal(t, table(t, document(r, at(int(RetainedSlots)), "a")).Report().Usage[0].Counts.Total, int64(2))
}

// TestHistory guards against a history whose end differs from the report.
func TestHistory(t *testing.T) {
	slo := model.SLO{Objective: 0.5}
	r := NewRecorder()
	record(r, at(0), 1, Request{Service: "orders", Outcome: Failed})
	record(r, at(10), 1, Request{Service: "orders"})
	points := table(t, document(r, at(10), "a", slo)).History("orders", slo, 5*time.Minute, 5*time.Minute)
	assert.Equal(t, len(points), 72)
	n := len(points)
	assert.DeepEqual(t, points[n-3:], []Point{{at(1), 2}, {at(6), 0}, {at(11), 0}})
}

func BenchmarkRecord(b *testing.B) {
	r := NewRecorder()
	slos := []model.SLO{{Objective: 0.99, LatencyMS: 500}}
	q := Request{Service: "orders", Customer: "theatre"}
	b.ReportAllocs()
	for b.Loop() {
		r.Record(epoch, q, slos)
	}
}

// BenchmarkFull measures the memory of a recorder with all slots full, and the
// time to copy one slot, during which a node can't record.
func BenchmarkFull(b *testing.B) {
	var names [3 * MaxSeries]string
	for i := range names {
		names[i] = fmt.Sprintf("customer%d", i)
	}
	fill := func() *Recorder {
		r := NewRecorder()
		for m := range int(RetainedSlots) {
			for i, name := range names {
				r.Record(at(m), Request{Service: names[i%50], Customer: name}, nil)
			}
		}
		return r
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := 0; b.Loop(); i++ {
		r.SlotEntries(i%int(RetainedSlots), at(int(RetainedSlots)-1))
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "heapMB")
}

func Example() {
	r := NewRecorder()
	slos := []model.SLO{{Objective: 0.9}}
	for i := range 100 {
		q := Request{Service: "orders", Customer: "theatre"}
		if i%5 == 0 {
			q.Outcome = Failed
		}
		r.Record(epoch, q, slos)
	}
	t := NewTable()
	err := t.Merge(Document{
		Instance: "a", Now: epoch, SlotMS: Slot.Milliseconds(), Series: r.Series(epoch),
		Objectives: map[string][]model.SLO{"orders": slos},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	o := t.Report().Objectives[0]
	fmt.Printf("burn %.1f, budget left %.1f", o.Burn.Min5, o.BudgetLeft)
	// Output: burn 2.0, budget left -1.0
}
