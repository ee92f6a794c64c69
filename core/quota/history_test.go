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

// TestMain fixes the seed of the histories unless the command line names one.
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

// TestHistories guards against admissions above burst + rate*t and against two
// live holders of a share, in histories of kills, restarts, pauses,
// partitions, log outages, lost, late and repeated messages, epoch changes and
// changes of rate and burst, with clocks that run up to 1% fast or slow.
func TestHistories(t *testing.T) {
	var admitted, epochs int
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 2).Draw(t, "zones"), rapid.IntRange(2, 4).Draw(t, "perZone"), 0.01)
		f.giveBack = 0.1
		f.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "before")) * time.Millisecond)
		for _, name := range f.names {
			f.demand[name] = rapid.SampledFrom([]float64{0, 5, 50}).Draw(t, "demand")
		}
		f.change(drawCustomer(t))
		f.run(2 * time.Second)
		instance := func(t *rapid.T) string { return rapid.SampledFrom(f.names).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(f.faults) > 0 {
					t.Fatal(f.faults[0])
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
			"recover": func(*rapid.T) { f.restore() },
			"cut": func(t *rapid.T) {
				f.cut[[2]string{instance(t), instance(t)}] = true
			},
			"cutZone": func(t *rapid.T) {
				f.cut[[2]string{instance(t)[:1], rapid.SampledFrom([]string{"log", "a", "b", "c"}).Draw(t, "from")}] = true
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
			"heal":    func(*rapid.T) { clear(f.cut) },
			"logDown": func(*rapid.T) { f.logDown = true },
			"logUp":   func(*rapid.T) { f.logDown = false },
			"loss":    func(t *rapid.T) { f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss") },
			"repeat":  func(t *rapid.T) { f.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat") },
			"change":  func(t *rapid.T) { f.change(drawCustomer(t)) },
		})
		f.run(time.Second)
		if len(f.faults) > 0 {
			t.Fatal(f.faults[0])
		}
		admitted += f.admitted
		epochs += len(f.log)
	})
	t.Logf("%d admissions, %d epochs", admitted, epochs)
	assert.Assert(t, admitted > 3000 && epochs > 150, "the histories do too little: %d admissions, %d epochs", admitted, epochs)
}

func drawCustomer(t *rapid.T) model.Customer {
	return model.Customer{
		Rate:  rapid.SampledFrom([]float64{0.5, 7, 50}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]int64{1, 3, 20, 200}).Draw(t, "burst"),
	}
}

// steady returns a fleet of 9 nodes with a customer in force for 5 s, whose
// demand has the given parts of its rate.
func steady(seed uint64, perZone int, c model.Customer, parts ...float64) *fleet {
	f := newFleet(seed, 3, perZone, 0)
	f.run(8 * time.Second)
	f.change(c)
	for i, part := range parts {
		f.demand[f.names[i]] = part * c.Rate
	}
	f.run(5 * time.Second)
	return f
}

var evenParts = []float64{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}

// tally counts the requests of a time.
type tally struct {
	admitted, refused, wrong, messages int

	seconds float64
}

func (f *fleet) measure(d time.Duration) tally {
	a, r, w, m := f.admitted, f.refused, f.wrong, f.messages
	f.run(d)
	return tally{f.admitted - a, f.refused - r, f.wrong - w, f.messages - m, d.Seconds()}
}

func (t tally) plus(o tally) tally {
	return tally{t.admitted + o.admitted, t.refused + o.refused, t.wrong + o.wrong, t.messages + o.messages, t.seconds + o.seconds}
}

func (t tally) part() float64 {
	return float64(t.wrong) / float64(t.admitted+t.refused)
}

func (t tally) String() string {
	return fmt.Sprintf("%d admitted, %d refused, %d of them within the rate (%.3f%%), %.0f messages a second",
		t.admitted, t.refused, t.wrong, 100*t.part(), float64(t.messages)/t.seconds)
}

// TestUnevenDemand guards against refusals within the rate while all parts are
// up and the demand of the nodes differs.
func TestUnevenDemand(t *testing.T) {
	for _, c := range []struct {
		name     string
		customer model.Customer
		parts    []float64
	}{
		{"one node", model.Customer{Rate: 300, Burst: 600}, []float64{0.9}},
		{"one zone", model.Customer{Rate: 300, Burst: 600}, []float64{0.5, 0.3, 0.1}},
		{"9 to 1", model.Customer{Rate: 300, Burst: 600}, []float64{0.7, 0.05, 0.05, 0.05, 0, 0, 0.05}},
		{"even", model.Customer{Rate: 300, Burst: 600}, evenParts},
		{"low rate", model.Customer{Rate: 20, Burst: 40}, []float64{0.5, 0, 0, 0.2, 0, 0, 0.1, 0.1}},
		{"short burst", model.Customer{Rate: 300, Burst: 150}, []float64{0.4, 0.1, 0, 0.2, 0, 0, 0.1, 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum tally
			for seed := uint64(0); sum.admitted < 10_000; seed++ {
				f := steady(seed, 3, c.customer, c.parts...)
				sum = sum.plus(f.measure(60 * time.Second))
				assert.Assert(t, len(f.faults) == 0, f.faults)
			}
			t.Log(sum)
			assert.Assert(t, sum.part() <= 0.001, sum)
		})
	}
}

// TestHolderLoss guards against refusals within the rate in the 30 s around the
// loss or restart of a holder. Each case adds up several seeds, since the
// demand of one run at a low rate can exceed the rate by chance.
func TestHolderLoss(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		lost func(*fleet, string)
	}{
		{"kill at 20", 20, (*fleet).lose},
		{"restart at 20", 20, (*fleet).restart},
		{"kill at 50", 50, (*fleet).lose},
		{"restart at 50", 50, (*fleet).restart},
		{"kill at 300", 300, (*fleet).lose},
		{"restart at 300", 300, (*fleet).restart},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sum tally
			for seed := range uint64(8) {
				f := steady(seed, 3, model.Customer{Rate: c.rate, Burst: int64(2 * c.rate)}, evenParts...)
				e, _ := f.procs["a0"].state.Current("a")
				holder := e.Slots(OwnerKey(simCustomer), SlotsPerZone)[0].Name
				f.at(5*time.Second, func() { c.lost(f, holder) })
				sum = sum.plus(f.measure(30 * time.Second))
				assert.Assert(t, len(f.faults) == 0, f.faults)
			}
			t.Log(sum)
			assert.Assert(t, sum.part() <= 0.01, sum)
		})
	}
}
