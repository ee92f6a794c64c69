package policy

import "time"

// Policy builds a control for a run.
type Policy struct {
	Name string
	make func(w *world) control
}

// Policies returns the policy of this repository, which the bounds apply to,
// and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "ours", make: newOurs},
		{Name: "no control", make: newNoControl},
		{Name: "static", make: newStatic},
	}
}

// Measure is a row of the table.
type Measure struct {
	Name  string
	Unit  string
	Bound float64 // from docs/design.md 1.3
	Most  bool    // the bound is an upper one
	Run   func(site Site, p Policy, seed uint64) float64
}

// Pass reports whether a value meets the bound.
func (m Measure) Pass(x float64) bool {
	if m.Most {
		return x <= m.Bound
	}
	return x >= m.Bound
}

// Overload returns the measures of overload control. Measures of other
// packages have functions of their own beside it; All joins them.
func Overload() []Measure {
	return []Measure{
		{Name: "goodput at 3x capacity", Unit: "of oracle", Bound: 0.9, Run: goodputAt(3)},
		{Name: "goodput at 10x capacity", Unit: "of oracle", Bound: 0.9, Run: goodputAt(10)},
		{Name: "recovery after a surge", Unit: "s", Bound: 5, Most: true, Run: surge},
		{Name: "recovery after a slow deep service", Unit: "s", Bound: 5, Most: true, Run: slowDeep},
		{Name: "important requests at 10x load", Unit: "complete", Bound: 0.995, Run: important},
		{Name: "recovery after both together", Unit: "s", Bound: 5, Most: true, Run: surgeAndSlow},
		{Name: "important requests beside a greedy customer", Unit: "complete", Bound: 0.995, Run: greedyAndMisled},
		{Name: "worst-served customer", Unit: "of fair share", Bound: 0.95, Run: worstServed},
	}
}

// All returns the measures of the table in order.
func All() []Measure {
	return Overload()
}

// Importance of the requests in a run.
const (
	importanceHigh = 1
	importanceLow  = 4
)

// A run warms up until its window starts.
const (
	windowFrom = 5 * time.Second
	windowTo   = 15 * time.Second
)

// run lets callers issue streams until an end and for a timeout longer.
func run(site Site, p Policy, seed uint64, streams func(w *world) []stream, change func(w *world), until time.Duration) *callers {
	w := newWorld(site, seed)
	if change != nil {
		change(w)
	}
	c := &callers{w: w, control: p.make(w), from: windowFrom, to: until}
	c.start(streams(w))
	w.run(until + timeout)
	return c
}

// load returns one stream for each customer with a total of x times the
// capacity, in proportion to their rates.
func load(w *world, x float64, importance int, at func(time.Duration) float64) []stream {
	total := 0.0
	for _, c := range w.site.Customers {
		total += c.Rate
	}
	out := make([]stream, 0, len(w.site.Customers))
	for i, c := range w.site.Customers {
		rate := x * w.site.Capacity() * c.Rate / total
		out = append(out, stream{customer: i, importance: importance, rate: rate, at: at})
	}
	return out
}

func goodputAt(x float64) func(Site, Policy, uint64) float64 {
	return func(site Site, p Policy, seed uint64) float64 {
		streams := func(w *world) []stream { return load(w, x, importanceLow, nil) }
		c := run(site, p, seed, streams, mislead, windowTo)
		return c.goodput(windowFrom, windowTo) / site.Capacity()
	}
}

// mislead gives each service an upstream that sheds load early, announces ten
// times its slots and reports no load, and one that starts cold, announces one
// slot and always reports full load.
func mislead(w *world) {
	for _, ins := range w.services {
		first, last := ins[0].up, ins[len(ins)-1].up
		first.shedAt, first.slots, first.stuck = 1, 10*first.slots, 0
		last.cold, last.slots, last.stuck = windowFrom, 1, 1
	}
}
