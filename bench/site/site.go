package site

import (
	"fmt"
	"time"

	"dogwoodsill.org/core/model"
)

// Service describes a service: the number of its upstreams and what each of them
// can serve.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
	Time        time.Duration // service time of one request
	Calls       []string      // paths in other services that the upstream calls for each request
	Labels      map[string]string
}

// Site describes a deployment: its zones and services, and the configuration
// that is published when it starts.
type Site struct {
	Name       string
	Zones      []string
	Services   []Service
	Customers  map[string]model.Customer
	Routes     map[string]model.Route
	Importance map[string]model.Importance
}

// Labels by which the importance rules select routes.
var (
	critical = map[string]string{"class": "critical"}
	lookup   = map[string]string{"class": "lookup"}
	upload   = map[string]string{"class": "upload"}
)

// Press returns the deployment of Abyssinia Community Ticket Press.
func Press() Site {
	return Site{
		Name:  "press",
		Zones: []string{"bole", "kirkos", "arada"},
		Services: []Service{
			{Name: "archive", Targets: 4, Slots: 50, Connections: 400, Time: 5 * time.Millisecond},
			{Name: "orders", Targets: 3, Slots: 70, Connections: 500, Time: 5 * time.Millisecond, Calls: []string{"/internal/catalogue/check"}},
			{Name: "artwork", Targets: 3, Slots: 70, Connections: 500, Time: 5 * time.Millisecond},
			{Name: "catalogue", Targets: 3, Slots: 15, Connections: 200, Time: 5 * time.Millisecond},
		},
		Customers: eightCustomers([]string{"theatre", "football", "buses", "festival", "cinema", "school", "choir", "market"}),
		Routes: map[string]model.Route{
			"runs":       {Pattern: "GET /runs/{id}", Service: "archive", Labels: lookup},
			"designs":    {Pattern: "GET /designs/{id}", Service: "catalogue", Labels: lookup, Open: true, OpenRate: 200, OpenBurst: 200},
			"artwork":    {Pattern: "PUT /artwork/{id}", Service: "artwork", Labels: upload, TimeoutMS: 60_000},
			"order":      {Pattern: "POST /orders", Service: "orders", Labels: critical, AtMostOnce: true},
			"quickOrder": {Pattern: "POST /orders/quick", Service: "orders", Labels: critical},
			"check":      {Pattern: "GET /internal/catalogue/{id}", Service: "catalogue", Internal: true},
		},
		Importance: importanceLevels(),
	}
}

// Koorbank returns the deployment of Koorbank Seating Consortium. Its routes have
// the same names as those of Press, because the demo looks routes up by name.
func Koorbank() Site {
	return Site{
		Name:  "koorbank",
		Zones: []string{"centurion", "midrand", "sandton"},
		Services: []Service{
			{Name: "layouts", Targets: 6, Slots: 50, Connections: 400, Time: 5 * time.Millisecond},
			{Name: "bookings", Targets: 3, Slots: 80, Connections: 600, Time: 5 * time.Millisecond, Calls: []string{"/internal/rosters/check"}},
			{Name: "media", Targets: 3, Slots: 80, Connections: 600, Time: 5 * time.Millisecond},
			{Name: "rosters", Targets: 3, Slots: 30, Connections: 300, Time: 5 * time.Millisecond},
		},
		Customers: eightCustomers([]string{"north", "south", "east", "west", "guild", "abbey", "civic", "college"}),
		Routes: map[string]model.Route{
			"runs":       {Pattern: "GET /layouts/{id}", Service: "layouts", Labels: lookup},
			"designs":    {Pattern: "GET /halls/{id}", Service: "rosters", Labels: lookup, Open: true, OpenRate: 200, OpenBurst: 200},
			"artwork":    {Pattern: "PUT /media/{id}", Service: "media", Labels: upload, TimeoutMS: 60_000},
			"order":      {Pattern: "POST /bookings", Service: "bookings", Labels: critical, AtMostOnce: true},
			"quickOrder": {Pattern: "POST /bookings/quick", Service: "bookings", Labels: critical},
			"check":      {Pattern: "GET /internal/rosters/{id}", Service: "rosters", Internal: true},
		},
		Importance: importanceLevels(),
	}
}

// Sized returns a deployment in three zones with one service and the given
// numbers of targets and customers. Benchmarks use it to measure how costs grow
// with either number.
func Sized(targets, customers int) Site {
	s := Site{
		Name:      "sized",
		Zones:     []string{"a", "b", "c"},
		Services:  []Service{{Name: "archive", Targets: targets, Slots: 50, Connections: 400}},
		Customers: map[string]model.Customer{},
		Routes:    map[string]model.Route{"runs": {Pattern: "GET /runs/{id}", Service: "archive", Labels: lookup}},
	}
	for i := range customers {
		s.Customers[fmt.Sprintf("customer%04d", i)] = model.Customer{Rate: sizedRate, Burst: sizedRate * burstTime}
	}
	return s
}

// ByName returns the deployment with the given name and whether it exists.
func ByName(name string) (Site, bool) {
	for _, s := range []Site{Press(), Koorbank()} {
		if s.Name == name {
			return s, true
		}
	}
	return Site{}, false
}

// Request rates of customers, per second, and the size of their bursts. In Press
// and Koorbank, the first two customers have the large rate and the others the
// small one.
const (
	largeRate = 300.0
	smallRate = 60.0
	sizedRate = 5000.0 // for each customer of Sized
	burstTime = 2      // burst size, in seconds of the rate
)

func eightCustomers(names []string) map[string]model.Customer {
	out := make(map[string]model.Customer, len(names))
	for i, name := range names {
		c := model.Customer{Rate: smallRate, Burst: smallRate * burstTime, Labels: map[string]string{"size": "small"}}
		if i < 2 {
			c = model.Customer{Rate: largeRate, Burst: largeRate * burstTime, Labels: map[string]string{"size": "large"}}
		}
		out[name] = c
	}
	return out
}

func importanceLevels() map[string]model.Importance {
	return map[string]model.Importance{
		"critical": {Order: 1, Routes: "class=critical", Level: 0},
		"uploads":  {Order: 2, Routes: "class=upload", Level: 2},
		"lookups":  {Order: 3, Routes: "class=lookup", Level: 5},
	}
}
