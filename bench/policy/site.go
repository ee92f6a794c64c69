package policy

import (
	"fmt"
	"time"
)

// Site describes the size of an installation (docs/design.md 1.6) and the
// chain of services that each request passes through.
type Site struct {
	Name       string
	Zones      []string
	ClientTrip time.Duration // one-way delay between callers and entries
	ZoneTrip   time.Duration // one-way delay between availability zones
	Services   []Service     // in chain order; each calls the next
	Customers  []Customer
}

// Service is a set of identical upstreams.
type Service struct {
	Name        string
	Targets     int
	Slots       int           // requests that one upstream serves concurrently
	Connections int           // maximum requests at one upstream, served or queued
	Own         time.Duration // mean service time of a request, without its chain calls
}

// Customer has a rate, as a fraction of the site's capacity, and a home zone,
// where most of its requests enter.
type Customer struct {
	Name string
	Rate float64 // fraction of the capacity of the chain
	Home int     // index in Site.Zones
}

// localTrip is the one-way delay between nodes of the same zone.
const localTrip = 100 * time.Microsecond

// Press returns the site of the Abyssinia Community Ticket Press.
func Press() Site {
	return Site{
		Name:       "press",
		Zones:      []string{"bole", "kirkos", "arada"},
		ClientTrip: 8 * time.Millisecond,
		ZoneTrip:   1500 * time.Microsecond,
		Services: []Service{
			{Name: "orders", Targets: 3, Slots: 70, Connections: 500, Own: 30 * time.Millisecond},
			{Name: "artwork", Targets: 3, Slots: 70, Connections: 500, Own: 30 * time.Millisecond},
			{Name: "archive", Targets: 4, Slots: 50, Connections: 400, Own: 30 * time.Millisecond},
			{Name: "catalogue", Targets: 3, Slots: 15, Connections: 200, Own: 60 * time.Millisecond},
		},
		Customers: customers(),
	}
}

// Koorbank returns the site of the Koorbank Seating Consortium.
func Koorbank() Site {
	return Site{
		Name:       "koorbank",
		Zones:      []string{"gauteng-a", "gauteng-b", "gauteng-c"},
		ClientTrip: 3 * time.Millisecond,
		ZoneTrip:   1500 * time.Microsecond,
		Services: []Service{
			{Name: "bookings", Targets: 3, Slots: 80, Connections: 600, Own: 30 * time.Millisecond},
			{Name: "layouts", Targets: 6, Slots: 50, Connections: 400, Own: 30 * time.Millisecond},
			{Name: "media", Targets: 3, Slots: 80, Connections: 600, Own: 30 * time.Millisecond},
			{Name: "rosters", Targets: 3, Slots: 30, Connections: 300, Own: 60 * time.Millisecond},
		},
		Customers: customers(),
	}
}

// customers returns 8 customers, a few of them large. Their rates add up to 90%
// of the capacity.
func customers() []Customer {
	rates := []float64{0.25, 0.2, 0.15, 0.1, 0.07, 0.05, 0.05, 0.03}
	out := make([]Customer, len(rates))
	for i, r := range rates {
		out[i] = Customer{Name: fmt.Sprintf("customer-%d", i+1), Rate: r, Home: i % 3}
	}
	return out
}

// Capacity returns the maximum number of requests per second that the chain can
// complete. A request holds a slot at each service for its own service time
// there plus the time of its chain calls.
func (s Site) Capacity() float64 {
	var hold time.Duration
	capacity := 0.0
	for i := len(s.Services) - 1; i >= 0; i-- {
		v := s.Services[i]
		hold += v.Own
		c := float64(v.Targets*v.Slots) / hold.Seconds()
		if capacity == 0 || c < capacity {
			capacity = c
		}
	}
	return capacity
}

// Sites returns the site with the given name, or all sites if name is empty.
func Sites(name string) ([]Site, error) {
	all := []Site{Press(), Koorbank()}
	if name == "" {
		return all, nil
	}
	for _, s := range all {
		if s.Name == name {
			return []Site{s}, nil
		}
	}
	return nil, fmt.Errorf("unknown site %q: want press or koorbank", name)
}
