package policy

import "time"

// Policy names a policy under test and creates its control for a run.
type Policy struct {
	Name string
	make func(sim *simulation) control
}

// Policies returns the policy of this repository, followed by the baselines.
// The bounds apply to the first only.
func Policies() []Policy {
	return []Policy{
		{Name: "ours", make: newNodePolicy},
		{Name: "no control", make: newNoControl},
		{Name: "static", make: newStatic},
	}
}

// Measure is a quantity with a bound, measured by a run. It is one row of the
// table.
type Measure struct {
	Name  string
	Unit  string
	Bound float64 // from docs/design.md 1.3
	Most  bool    // Bound is an upper bound, otherwise a lower one
	Run   func(site Site, p Policy, seed uint64) float64
}

// Pass reports whether a value meets the bound.
func (m Measure) Pass(x float64) bool {
	if m.Most {
		return x <= m.Bound
	}
	return x >= m.Bound
}

// Overload returns the measures of overload control.
func Overload() []Measure {
	return []Measure{
		{Name: "goodput at 3x capacity", Unit: "of oracle", Bound: 0.9, Run: goodputAt(3)},
		{Name: "goodput at 10x capacity", Unit: "of oracle", Bound: 0.9, Run: goodputAt(10)},
		{Name: "recovery after a surge", Unit: "s", Bound: 5, Most: true, Run: surge},
		{Name: "recovery after a slow deep service", Unit: "s", Bound: 5, Most: true, Run: slowDeep},
		{Name: "important requests at 10x load", Unit: "complete", Bound: 0.995, Run: important},
		{Name: "recovery after both together", Unit: "s", Bound: 5, Most: true, Run: surgeAndSlow},
		{Name: "important requests beside a greedy customer", Unit: "complete", Bound: 0.995, Run: greedyAndMisreported},
		{Name: "worst-served customer", Unit: "of fair share", Bound: 0.95, Run: worstServed},
	}
}

// All returns the measures of all groups in the order of the table.
func All() []Measure {
	return Overload()
}

// Importance of the requests in a run; a lower value is more important.
const (
	importanceHigh = 1
	importanceLow  = 4
)

// Measurement window of a run. The time before it is warm-up.
const (
	windowFrom = 5 * time.Second
	windowTo   = 15 * time.Second
)

// run simulates the streams of callers until the given time plus one timeout,
// and counts the requests issued before that time. If change is not nil, it
// modifies the simulation first.
func run(site Site, p Policy, seed uint64, streams func(sim *simulation) []stream, change func(sim *simulation), until time.Duration) *callers {
	sim := newSimulation(site, seed)
	if change != nil {
		change(sim)
	}
	c := &callers{sim: sim, control: p.make(sim), from: windowFrom, to: until}
	c.start(streams(sim))
	sim.run(until + timeout)
	return c
}

// load returns one stream for each customer. The rates add up to x times the
// capacity and are in proportion to the customers' rates.
func load(sim *simulation, x float64, importance int, fraction func(time.Duration) float64) []stream {
	total := 0.0
	for _, c := range sim.site.Customers {
		total += c.Rate
	}
	out := make([]stream, 0, len(sim.site.Customers))
	for i, c := range sim.site.Customers {
		rate := x * sim.site.Capacity() * c.Rate / total
		out = append(out, stream{customer: i, importance: importance, rate: rate, fraction: fraction})
	}
	return out
}

func goodputAt(x float64) func(Site, Policy, uint64) float64 {
	return func(site Site, p Policy, seed uint64) float64 {
		streams := func(sim *simulation) []stream { return load(sim, x, importanceLow, nil) }
		c := run(site, p, seed, streams, misreportLoad, windowTo)
		return c.goodput(windowFrom, windowTo) / site.Capacity()
	}
}

// misreportLoad makes two upstreams of each service misreport. The first sheds load
// early, announces ten times its slots and reports no load. The last starts
// cold, announces one slot and always reports full load.
func misreportLoad(sim *simulation) {
	for _, ins := range sim.services {
		first, last := ins[0].up, ins[len(ins)-1].up
		first.shedAt, first.slots, first.fixedLoad = 1, 10*first.slots, 0
		last.cold, last.slots, last.fixedLoad = windowFrom, 1, 1
	}
}
