package quota

import (
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
)

// graceCustomer sends three times its rate, all nodes together.
var graceCustomer = model.Customer{Rate: 150, Burst: 50}

// graceFleet returns a fleet of five nodes in each of three zones that has settled, in which
// processes that start from now on have a grace period, and the times of the admissions.
func graceFleet(seed uint64) (*fleet, *[]time.Duration) {
	f := newFleet(seed, 3, 5, 0)
	f.run(8 * time.Second)
	f.changeCustomer(graceCustomer)
	for _, name := range f.names {
		f.demand[name] = 3 * graceCustomer.Rate / float64(len(f.names))
	}
	f.run(5 * time.Second)
	f.withGrace = true
	times := new([]time.Duration)
	f.onAdmit = func() { *times = append(*times, f.now) }
	return f, times
}

// holders returns the names of the instances that hold a share of the customer.
func (f *fleet) holders() map[string]bool {
	out := map[string]bool{}
	for _, name := range f.names {
		if p := f.procs[name]; !p.dead && len(p.holder.ShareIDs()) > 0 {
			out[name] = true
		}
	}
	return out
}

// maxWithin returns the most admissions in an interval of a length.
func maxWithin(times []time.Duration, d time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > d {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// restartAll kills instances at the same moment and starts them 200 ms later.
func (f *fleet) restartAll(names []string) {
	for _, name := range names {
		f.kill(name)
	}
	f.run(200 * time.Millisecond)
	for _, name := range names {
		f.startProcess(name)
	}
}

// TestRestartedNodesLeaveLentRate guards against restarted nodes that admit in their grace
// period what the holders go on lending.
func TestRestartedNodesLeaveLentRate(t *testing.T) {
	for seed := range uint64(2) {
		f, times := graceFleet(seed)
		var names []string
		holders, inZone := f.holders(), map[string]int{}
		for _, name := range f.names {
			if zone := name[:1]; !holders[name] && inZone[zone] < 2 {
				names = append(names, name)
				inZone[zone]++
			}
		}
		assert.Equal(t, len(names), 6)
		for range 2 {
			f.restartAll(names)
			f.run(1700 * time.Millisecond)
		}
		f.run(5 * time.Second)
		assert.Assert(t, len(f.violations) == 0, "seed %d: %d violations, %d admissions in 5 s, the first: %v",
			seed, len(f.violations), maxWithin(*times, 5*time.Second), f.violations[:min(1, len(f.violations))])
	}
}

// TestLossOfProcesses guards against a fleet that admits next to nothing, or more than its
// customers' rates, until shares have holders again after all processes of zones were killed.
func TestLossOfProcesses(t *testing.T) {
	for _, test := range []struct {
		name string
		from int     // first instance that is killed
		part float64 // of the rate: of the shares with a holder, and the killed nodes' part of the others
	}{
		{"all zones", 0, 1},
		{"two zones", 5, 1.0/3 + 2.0/3*2/3},
		{"one zone", 10, 2.0/3 + 1.0/3*1/3},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(2) {
				f, times := graceFleet(seed)
				f.restartAll(f.names[test.from:])
				started := f.now
				f.run(5 * time.Second)
				n := 0
				for _, at := range *times {
					if at > started && at <= started+time.Second {
						n++
					}
				}
				least := 0.9*test.part*graceCustomer.Rate - float64(len(f.names))
				assert.Assert(t, float64(n) >= least, "seed %d: %d admitted in 1 s, at least %.0f", seed, n, least)
				bound := graceCustomer.Rate*(5+graceBurst) + float64(graceCustomer.Burst)
				most := maxWithin(*times, 5*time.Second)
				assert.Assert(t, float64(most) <= bound, "seed %d: %d admitted in 5 s", seed, most)
			}
		})
	}
}
