package policy

import (
	"strconv"
	"time"
)

// timeout is the time that a caller allows for an attempt.
const timeout = time.Second

// instance is an upstream with its service and zone.
type instance struct {
	id      string
	index   int // among all instances
	service int // index in Site.Services
	zone    int
	up      *upstream
}

// simulation holds the state of a simulation run: the virtual clock and the
// instances.
type simulation struct {
	*engine
	site      Site
	instances []*instance
	services  [][]*instance
	byZone    [][]*instance
	nextRoot  int
}

// request is one attempt of a caller, sent to an entry.
type request struct {
	root       string
	customer   int
	importance int
	deadline   time.Time
	entry      *instance
}

// control is a policy under test. It sends a request through the chain and
// calls end exactly once; ok reports whether the caller gets a complete response.
type control interface {
	submit(r *request, end func(ok bool))
}

func newSimulation(site Site, seed uint64) *simulation {
	sim := &simulation{engine: newEngine(seed), site: site}
	sim.services = make([][]*instance, len(site.Services))
	sim.byZone = make([][]*instance, len(site.Zones))
	for s, v := range site.Services {
		for i := range v.Targets {
			in := &instance{
				id:      v.Name + "-" + strconv.Itoa(i),
				index:   len(sim.instances),
				service: s,
				zone:    i % len(site.Zones),
				up:      &upstream{e: sim.engine, service: v, slots: v.Slots, fixedLoad: -1},
			}
			sim.instances = append(sim.instances, in)
			sim.services[s] = append(sim.services[s], in)
			sim.byZone[in.zone] = append(sim.byZone[in.zone], in)
		}
	}
	return sim
}

// trip returns the one-way delay between two instances.
func (sim *simulation) trip(a, b *instance) time.Duration {
	switch {
	case a == b:
		return 0
	case a.zone == b.zone:
		return localTrip
	default:
		return sim.site.ZoneTrip
	}
}

// homeFraction is the fraction of a customer's requests that enter in its home zone.
const homeFraction = 0.7

func (sim *simulation) entry(customer int) *instance {
	from := sim.instances
	if sim.rng.Float64() < homeFraction {
		from = sim.byZone[sim.site.Customers[customer].Home]
	}
	return from[sim.rng.IntN(len(from))]
}
