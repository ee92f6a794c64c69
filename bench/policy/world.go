package policy

import (
	"strconv"
	"time"
)

// timeout is the deadline of a caller's attempt.
const timeout = time.Second

// instance is an upstream with its place.
type instance struct {
	id      string
	index   int // among all instances
	service int // index in Site.Services
	zone    int
	up      *upstream
}

// world holds the fakes of a run.
type world struct {
	*engine
	site      Site
	instances []*instance
	services  [][]*instance
	byZone    [][]*instance
	nextRoot  int
}

// request is a caller's attempt at an entry.
type request struct {
	root       string
	customer   int
	importance int
	deadline   time.Time
	entry      *instance
}

// control is a policy under test. It carries a request through the chain and
// reports once whether the caller got a complete answer.
type control interface {
	submit(r *request, end func(ok bool))
}

func newWorld(site Site, seed uint64) *world {
	w := &world{engine: newEngine(seed), site: site}
	w.services = make([][]*instance, len(site.Services))
	w.byZone = make([][]*instance, len(site.Zones))
	for s, v := range site.Services {
		for i := range v.Targets {
			in := &instance{
				id:      v.Name + "-" + strconv.Itoa(i),
				index:   len(w.instances),
				service: s,
				zone:    i % len(site.Zones),
				up:      &upstream{e: w.engine, service: v, slots: v.Slots, stuck: -1},
			}
			w.instances = append(w.instances, in)
			w.services[s] = append(w.services[s], in)
			w.byZone[in.zone] = append(w.byZone[in.zone], in)
		}
	}
	return w
}

// trip returns the one-way time between two instances.
func (w *world) trip(a, b *instance) time.Duration {
	switch {
	case a == b:
		return 0
	case a.zone == b.zone:
		return localTrip
	default:
		return w.site.ZoneTrip
	}
}

// homePart is the part of a customer's requests that enter in its home zone.
const homePart = 0.7

func (w *world) entry(customer int) *instance {
	from := w.instances
	if w.rng.Float64() < homePart {
		from = w.byZone[w.site.Customers[customer].Home]
	}
	return from[w.rng.IntN(len(from))]
}
