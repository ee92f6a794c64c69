package quota

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain sets the seed and the size of the property tests unless the command line
// does.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "60", "rapid.steps": "50"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// TestHistories guards against admissions above burst + rate*t and against two nodes
// that hold a share with valid leases. It runs random sequences of kills, restarts,
// pauses, partitions, log outages, lost, delayed and duplicate messages, epoch
// changes, and changes of rate and burst, with clocks that run up to 1% fast or
// slow.
func TestHistories(t *testing.T) {
	var admitted, epochs int
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "zones"), rapid.IntRange(2, 4).Draw(t, "perZone"), 0.01)
		f.releaseFraction = 0.1
		f.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "before")) * time.Millisecond)
		for _, name := range f.names {
			f.demand[name] = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "demand")
		}
		f.changeCustomer(drawCustomer(t))
		f.run(2 * time.Second)
		instance := func(t *rapid.T) string { return rapid.SampledFrom(f.names).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(f.violations) > 0 {
					t.Fatal(f.violations[0])
				}
			},
			"run": func(t *rapid.T) {
				f.run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"runOn": func(*rapid.T) { f.run(5 * time.Second) },
			"demand": func(t *rapid.T) {
				f.demand[instance(t)] = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "demand")
			},
			"kill": func(t *rapid.T) { f.kill(instance(t)) },
			"restart": func(t *rapid.T) {
				f.restart(instance(t))
			},
			"pause":   func(t *rapid.T) { f.pause(instance(t)) },
			"resume":  func(t *rapid.T) { f.resume(instance(t)) },
			"recover": func(*rapid.T) { f.recoverAll() },
			"cut": func(t *rapid.T) {
				f.disconnected[[2]string{instance(t), instance(t)}] = true
			},
			"cutZone": func(t *rapid.T) {
				f.disconnected[[2]string{instance(t)[:1], rapid.SampledFrom([]string{"log", "a", "b", "c"}).Draw(t, "from")}] = true
			},
			"isolate": func(t *rapid.T) {
				f.isolate(instance(t))
				f.run(8 * time.Second)
			},
			"pauseOn": func(t *rapid.T) {
				name := instance(t)
				f.pause(name)
				f.run(time.Duration(rapid.IntRange(500, 9000).Draw(t, "ms")) * time.Millisecond)
				f.resume(name)
			},
			"surge": func(t *rapid.T) {
				f.surge(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"heal":    func(*rapid.T) { clear(f.disconnected) },
			"logDown": func(*rapid.T) { f.logDown = true },
			"logUp":   func(*rapid.T) { f.logDown = false },
			"loss":    func(t *rapid.T) { f.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"repeat":  func(t *rapid.T) { f.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat") },
			"change":  func(t *rapid.T) { f.changeCustomer(drawCustomer(t)) },
		})
		f.run(time.Second)
		if len(f.violations) > 0 {
			t.Fatal(f.violations[0])
		}
		admitted += f.admitted
		epochs += len(f.log)
	})
	t.Logf("%d admissions, %d epochs", admitted, epochs)
	assert.Assert(t, admitted > 3000 && epochs > 150, "too little activity in the histories: %d admissions, %d epochs", admitted, epochs)
}

// drawCustomer draws a rate and a burst.
func drawCustomer(t *rapid.T) model.Customer {
	return model.Customer{
		Rate:  rapid.SampledFrom([]float64{0.5, 7, 50}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]int64{1, 3, 20, 200}).Draw(t, "burst"),
	}
}

// steadyFleet returns a fleet of three zones (9 nodes with 3 per zone) in which the
// configuration of the customer has applied for 5 s. The fractions are the demand at the
// first nodes relative to the customer's rate.
func steadyFleet(seed uint64, perZone int, c model.Customer, fractions ...float64) *fleet {
	f := newFleet(seed, 3, perZone, 0)
	f.run(8 * time.Second)
	f.changeCustomer(c)
	for i, fraction := range fractions {
		f.demand[f.names[i]] = fraction * c.Rate
	}
	f.run(5 * time.Second)
	return f
}

var evenDemand = []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}

// tally counts the requests and messages of a period. wronglyRefused counts the
// refusals of requests within the rate.
type tally struct {
	admitted, refused, wronglyRefused, messages int

	seconds float64
}

// measure runs the simulation for a duration and returns the counts of that time.
func (f *fleet) measure(d time.Duration) tally {
	a, r, w, m := f.admitted, f.refused, f.wronglyRefused, f.messages
	f.run(d)
	return tally{f.admitted - a, f.refused - r, f.wronglyRefused - w, f.messages - m, d.Seconds()}
}

func (t tally) plus(o tally) tally {
	return tally{t.admitted + o.admitted, t.refused + o.refused, t.wronglyRefused + o.wronglyRefused, t.messages + o.messages, t.seconds + o.seconds}
}

// wrongFraction returns the fraction of requests that were refused within the rate.
func (t tally) wrongFraction() float64 {
	return float64(t.wronglyRefused) / float64(t.admitted+t.refused)
}

func (t tally) String() string {
	return fmt.Sprintf("%d admitted, %d refused, %d of them within the rate (%.3f%%), %.0f messages per second",
		t.admitted, t.refused, t.wronglyRefused, 100*t.wrongFraction(), float64(t.messages)/t.seconds)
}

// TestUnevenDemand guards against refusals within the rate when the demand differs
// between nodes and all processes and links work.
func TestUnevenDemand(t *testing.T) {
	for _, c := range []struct {
		name      string
		customer  model.Customer
		fractions []float64
	}{
		{"one node", model.Customer{Rate: 300, Burst: 600}, []float64{0.9}},
		{"one zone", model.Customer{Rate: 300, Burst: 600}, []float64{0.5, 0.3, 0.1}},
		{"9 to 1", model.Customer{Rate: 300, Burst: 600}, []float64{0.7, 0.05, 0.05, 0.05, 0, 0, 0.05}},
		{"even", model.Customer{Rate: 300, Burst: 600}, evenDemand},
		{"low rate", model.Customer{Rate: 20, Burst: 40}, []float64{0.5, 0, 0, 0.2, 0, 0, 0.1, 0.1}},
		{"short burst", model.Customer{Rate: 300, Burst: 150}, []float64{0.4, 0.1, 0, 0.2, 0, 0, 0.1, 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum tally
			for seed := uint64(0); sum.admitted < 10_000; seed++ {
				f := steadyFleet(seed, 3, c.customer, c.fractions...)
				sum = sum.plus(f.measure(60 * time.Second))
				assert.Assert(t, len(f.violations) == 0, f.violations)
			}
			t.Log(sum)
			assert.Assert(t, sum.wrongFraction() <= 0.001, sum)
		})
	}
}

// TestHolderLoss guards against refusals within the rate in the 30 s around the failure
// or restart of a holder. Each case sums over several seeds, because the demand of a
// single run at a low rate can exceed the rate by chance.
func TestHolderLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		lost func(*fleet, string)
	}{
		{"kill at 20", 20, (*fleet).killAndRedirect},
		{"restart at 20", 20, (*fleet).restart},
		{"kill at 50", 50, (*fleet).killAndRedirect},
		{"restart at 50", 50, (*fleet).restart},
		{"kill at 300", 300, (*fleet).killAndRedirect},
		{"restart at 300", 300, (*fleet).restart},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum tally
			for seed := range uint64(8) {
				f := steadyFleet(seed, 3, model.Customer{Rate: c.rate, Burst: int64(2 * c.rate)}, evenDemand...)
				e, _ := f.procs["a0"].state.Current("a")
				holder := e.Slots(OwnerKey(simCustomer), SlotsPerZone)[0].Name
				f.at(5*time.Second, func() { c.lost(f, holder) })
				sum = sum.plus(f.measure(30 * time.Second))
				assert.Assert(t, len(f.violations) == 0, f.violations)
			}
			t.Log(sum)
			assert.Assert(t, sum.wrongFraction() <= 0.01, sum)
		})
	}
}
