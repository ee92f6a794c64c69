package burn_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)
	top   = 0
	slos  = []model.SLO{{Objective: 0.99, LatencyMS: 100}, {Importance: &top, Objective: 0.999}}
	shop  = map[string]model.Service{"orders": {SLOs: slos}}
)

func observe(c *burn.Counters, now time.Time, n int, o burn.Outcome, latency time.Duration) {
	for range n {
		c.Observe(now, burn.Call{Service: "orders", Customer: "press", Outcome: o, Latency: latency}, slos)
	}
}

// An objective of 99% within 100 ms is missed by 2 of 100 calls.
func Example() {
	c := burn.New()
	observe(c, start, 98, burn.Served, time.Millisecond)
	observe(c, start, 1, burn.Served, time.Second)
	observe(c, start, 1, burn.RefusedInRate, 0)
	fleet, err := burn.Merge(c.Report(start))
	if err != nil {
		fmt.Println(err)
		return
	}
	row := burn.Evaluate(fleet, shop)[0]
	fmt.Printf("%s %s: burn %.1f, budget left %.1f, refused in rate %.2f\n",
		row.Service, row.Scope, row.Rates[0].Burn, row.Budget, row.Rates[0].RefusedFraction())
	// Output: orders service: burn 2.0, budget left -1.0, refused in rate 0.01
}

// Guards against calls that are counted for the wrong objective, and against a
// customer's excess that is counted at all.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name                    string
		outcome                 burn.Outcome
		latency                 time.Duration
		total, slow, bad, refus uint64 // slow: missed the objective with a limit
	}{
		{"served", burn.Served, 100 * time.Millisecond, 1, 0, 0, 0},
		{"slow", burn.Served, 101 * time.Millisecond, 1, 1, 0, 0},
		{"failed", burn.Failed, 0, 1, 1, 1, 0},
		{"refused in rate", burn.RefusedInRate, 0, 1, 1, 1, 1},
		{"refused over rate", burn.RefusedOverRate, 0, 0, 0, 0, 0},
	}
	for _, tt := range tests {
		c := burn.New()
		observe(c, start, 1, tt.outcome, tt.latency)
		var limited, plain burn.Count
		for _, s := range c.Report(start).Series {
			if s.LatencyMS == 0 {
				plain = s.Counts[0]
			} else {
				limited = s.Counts[0]
			}
		}
		assert.Equal(t, plain, burn.Count{Total: tt.total, Bad: tt.bad, Refused: tt.refus}, tt.name)
		assert.Equal(t, limited, burn.Count{Total: tt.total, Bad: tt.slow, Refused: tt.refus}, tt.name)
	}
}

// Guards against calls that stay in a window after it has passed, or leave it
// before, also when the clock is set back.
func TestWindows(t *testing.T) {
	c := burn.New()
	observe(c, start, 1, burn.Failed, 0)
	for i, w := range burn.Windows() {
		assert.Equal(t, c.Report(start.Add(w)).Series[0].Counts[i].Total, uint64(1), "%v", w)
		for _, s := range c.Report(start.Add(w + w/12)).Series {
			assert.Equal(t, s.Counts[i].Total, uint64(0), "%v", w)
		}
	}
	observe(c, start.Add(-325*time.Second), 1, burn.Failed, 0) // its slot now holds newer calls
	assert.Equal(t, c.Report(start).Series[0].Counts[0].Total, uint64(2))
	observe(c, start.Add(1000*time.Hour), 1, burn.Failed, 0)
	assert.Equal(t, c.Report(start.Add(1000 * time.Hour)).Series[0].Counts[4].Total, uint64(1))
}

// Guards against a fleet report that differs from the report of one node that
// saw all calls, or that depends on the order of the nodes.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := burn.New()
		nodes := []*burn.Counters{burn.New(), burn.New(), burn.New()}
		now := start
		for range rapid.IntRange(0, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "s")) * time.Second)
			call := burn.Call{
				Service:    "orders",
				Importance: rapid.IntRange(0, 2).Draw(t, "importance"),
				Customer:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer"),
				Outcome:    burn.Outcome(rapid.IntRange(1, 4).Draw(t, "outcome")),
				Latency:    time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond,
			}
			all.Observe(now, call, slos)
			rapid.SampledFrom(nodes).Draw(t, "node").Observe(now, call, slos)
		}
		a, b, c := nodes[0].Report(now), nodes[1].Report(now), nodes[2].Report(now)
		forth, err := burn.Merge(a, b, c)
		assert.NilError(t, err)
		part, _ := burn.Merge(c, b)
		back, _ := burn.Merge(part, a)
		assert.DeepEqual(t, forth, back)
		want := all.Report(now)
		want.Nodes = 3
		assert.DeepEqual(t, forth.Series, want.Series)
		assert.DeepEqual(t, burn.Evaluate(forth, shop), burn.Evaluate(want, shop))
	})
	good := burn.New()
	observe(good, start, 1, burn.Served, 0)
	bad := good.Report(start)
	bad.Series[0].Counts = bad.Series[0].Counts[:1]
	sum, err := burn.Merge(bad, good.Report(start), burn.Report{})
	var mergeErr *burn.MergeError
	assert.Assert(t, errors.As(err, &mergeErr))
	assert.Equal(t, sum.Nodes, 1)
}

// Guards against alerts that are missing, too urgent, raised by a single call,
// or that stay after the cause has ended.
func TestAlerts(t *testing.T) {
	tests := []struct {
		name          string
		before, while int // minutes without failures, then with them
		failed        int // of 1000 calls a minute
		after         int // minutes without failures
		want          burn.Alert
	}{
		{"none", 0, 60, 5, 0, burn.AlertNone},
		{"ticket", 0, 60, 20, 0, burn.AlertTicket},
		{"six hours", 0, 60, 70, 0, burn.AlertPage},
		{"one hour", 0, 60, 150, 0, burn.AlertPage},
		{"spike", 55, 5, 200, 0, burn.AlertTicket},
		{"ended", 0, 60, 150, 40, burn.AlertTicket},
	}
	for _, tt := range tests {
		c := burn.New()
		now := start
		minutes := func(n, failed int) {
			for range n {
				now = now.Add(time.Minute)
				observe(c, now, 1000-failed, burn.Served, 0)
				observe(c, now, failed, burn.Failed, 0)
			}
		}
		minutes(tt.before, 0)
		minutes(tt.while, tt.failed)
		minutes(tt.after, 0)
		rows := burn.Evaluate(c.Report(now), map[string]model.Service{"orders": {SLOs: slos[:1]}})
		assert.Equal(t, len(rows), 3)
		assert.Equal(t, rows[0].Alert, tt.want, tt.name)
	}
	c := burn.New()
	observe(c, start, 19, burn.Failed, 0)
	assert.Equal(t, burn.Evaluate(c.Report(start), shop)[0].Alert, burn.AlertNone)
}

// Guards against rows that mix importances or customers, and against calls that
// two objectives with one limit count twice.
func TestScopes(t *testing.T) {
	three := append(slices.Clone(slos), model.SLO{Objective: 0.9, LatencyMS: 100})
	c := burn.New()
	for i, customer := range []string{"a", "b", "b"} {
		c.Observe(start, burn.Call{Service: "orders", Importance: i / 2, Customer: customer, Outcome: burn.Failed}, three)
	}
	var got []string
	for _, r := range burn.Evaluate(c.Report(start), map[string]model.Service{"orders": {SLOs: three[1:]}}) {
		got = append(got, fmt.Sprint(r.Scope, r.Importance, r.Customer, " ", r.Rates[0].Total))
	}
	assert.DeepEqual(t, got, []string{
		"service0 2", "importance0 2", "customer0a 1", "customer0b 1",
		"service0 3", "importance0 2", "importance1 1", "customer0a 1", "customer0b 1", "customer1b 1",
	})
}

// Guards against series without bound and against idle ones that are kept.
func TestSeriesBound(t *testing.T) {
	c := burn.New(burn.WithSeries(2))
	add := func(now time.Time, customer string) {
		c.Observe(now, burn.Call{Service: "orders", Customer: customer, Outcome: burn.Served}, nil)
	}
	for _, customer := range []string{"a", "b", "c", "d"} {
		add(start, customer)
	}
	names := func(now time.Time) (out []string) {
		for _, s := range c.Report(now).Series {
			out = append(out, fmt.Sprint(s.Customer, s.Counts[0].Total))
		}
		return out
	}
	assert.DeepEqual(t, names(start), []string{"(other)2", "a1", "b1"})
	later := start.Add(100 * time.Hour)
	add(later, "e")
	assert.Assert(t, slices.Equal(names(later), []string{"e1"}))
}

func BenchmarkObserve(b *testing.B) {
	for _, n := range []int{1e3, 1e5} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := burn.New(burn.WithSeries(n))
			calls := make([]burn.Call, n/2)
			for i := range calls {
				calls[i] = burn.Call{Service: "orders", Customer: fmt.Sprint(i), Outcome: burn.Served}
				c.Observe(start, calls[i], slos)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Observe(start, calls[i%len(calls)], slos)
			}
		})
	}
}
