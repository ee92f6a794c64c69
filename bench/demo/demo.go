package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/model"
)

// ErrBroken reports that at least one guarantee did not hold.
var ErrBroken = errors.New("a promise did not hold")

// Run runs the demo with a deployment and writes a table for each phase to w. It
// returns ErrBroken if a guarantee did not hold.
func Run(ctx context.Context, w io.Writer, s site.Site) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for i := range s.Services {
		s.Services[i].Time = serviceTime(s.Services[i].Name)
	}
	r, err := site.Start(ctx, s)
	if err != nil {
		return err
	}
	defer r.Stop()
	d := &demo{w: w, run: r, client: load.Client(), began: time.Now()}
	defer d.client.CloseIdleConnections()
	if _, err := fmt.Fprintf(w, "%s: %d nodes in %d zones, %d customers\n", s.Name, len(r.Nodes), len(s.Zones), len(s.Customers)); err != nil {
		return err
	}
	for _, p := range d.phases() {
		if err := d.phase(ctx, p); err != nil {
			return err
		}
	}
	d.checkWholeRun()
	if d.missed > 0 {
		return ErrBroken
	}
	return nil
}

// serviceTime returns the service time of a service. The times keep the capacity
// of the deployment low enough for one process to exceed it.
func serviceTime(service string) time.Duration {
	switch service {
	case "archive", "layouts":
		return 100 * time.Millisecond
	case "catalogue", "rosters":
		return 20 * time.Millisecond
	default:
		return 40 * time.Millisecond
	}
}

// demo is the state of a running demo.
type demo struct {
	w        io.Writer
	run      *site.Running
	client   *http.Client
	began    time.Time
	outcomes []load.Outcome
	baseline float64 // goodput of the normal phase in requests per second
	batches  int     // batches of idempotency keys requested; selects the node
	missed   int     // guarantees that did not hold
}

// phase is a phase of the demo. Before and after change the deployment and may be
// nil.
type phase struct {
	name    string
	lookups float64 // offered rate of lookups as a multiple of each customer's rate limit
	time    time.Duration
	before  func(ctx context.Context) error
	check   func(rep load.Report) []row
	after   func(ctx context.Context) error
}

// ordersPerSecond is the rate at which each customer places orders.
const ordersPerSecond = 3

func (d *demo) phases() []phase {
	return []phase{
		{name: "normal", lookups: 0.25, time: 3 * time.Second, check: d.checkNormal},
		{name: "surge", lookups: 2.5, time: 4 * time.Second, before: d.slowLookups(400 * time.Millisecond), check: d.checkSurge, after: d.slowLookups(100 * time.Millisecond)},
		{name: "recovery", lookups: 0.25, time: 3 * time.Second, check: d.checkRecovery},
		{name: "key withdrawal", lookups: 0.25, time: 2 * time.Second, before: d.revoke, check: d.checkRevoked, after: d.reissue},
		{name: "upstream drain", lookups: 0.25, time: 2 * time.Second, before: d.drain, check: d.checkDrained, after: d.undrain},
		{name: "log outage", lookups: 0.25, time: 2 * time.Second, before: d.logDown(true), check: d.checkOutage, after: d.logDown(false)},
	}
}

func (d *demo) phase(ctx context.Context, p phase) error {
	if p.before != nil {
		if err := p.before(ctx); err != nil {
			return fmt.Errorf("phase %s: %w", p.name, err)
		}
	}
	streams, err := d.streams(ctx, p)
	if err != nil {
		return fmt.Errorf("phase %s: %w", p.name, err)
	}
	rep := load.Run(ctx, d.client, streams, p.time)
	d.outcomes = append(d.outcomes, rep.Outcomes...)
	d.print(p.name, rep, p.check(rep))
	if p.after != nil {
		return p.after(ctx)
	}
	return nil
}

// customers returns the names of the customers in sorted order.
func (d *demo) customers() []string {
	return slices.Sorted(maps.Keys(d.run.Site.Customers))
}

// route returns the method of a route and its path up to the first wildcard.
func (d *demo) route(name string) (method, path string) {
	return site.MethodPath(d.run.Site.Routes[name])
}

func (d *demo) streams(ctx context.Context, p phase) ([]load.Stream, error) {
	var urls []string
	for _, n := range d.run.Nodes {
		urls = append(urls, "http://"+n.Addrs().Callers)
	}
	var out []load.Stream
	for _, name := range d.customers() {
		c := d.run.Site.Customers[name]
		out = append(out, d.lookups(p, name, c, urls))
		orders, err := d.orders(ctx, p, name, urls)
		if err != nil {
			return nil, err
		}
		out = append(out, orders)
	}
	return out, nil
}

func (d *demo) lookups(p phase, name string, c model.Customer, urls []string) load.Stream {
	method, path := d.route("runs")
	return load.Stream{
		Name: name, Key: d.run.Keys[name], Rate: c.Rate * p.lookups, Kind: "lookup", BaseURLs: urls,
		Make: func(i int) load.Request {
			return load.Request{ID: fmt.Sprintf("%s/%s/lookup/%d", name, p.name, i), Method: method, Path: fmt.Sprint(path, i)}
		},
	}
}

// orders returns a stream of orders in which each idempotency key is sent twice,
// to different nodes.
func (d *demo) orders(ctx context.Context, p phase, name string, urls []string) (load.Stream, error) {
	n := int(ordersPerSecond*p.time.Seconds()) + 1
	keys, err := d.run.IssueIdempotencyKeys(ctx, d.client, d.run.Nodes[d.batches%len(d.run.Nodes)], name, n)
	if err != nil {
		return load.Stream{}, err
	}
	d.batches++
	method, path := d.route("order")
	return load.Stream{
		Name: name, Key: d.run.Keys[name], Rate: 2 * ordersPerSecond, Kind: "order", BaseURLs: urls,
		Make: func(i int) load.Request {
			id := fmt.Sprintf("%s/%s/order/%d", name, p.name, i/2)
			return load.Request{ID: id, Method: method, Path: path, Body: "200 stubs", Idem: keys[i/2%len(keys)]}
		},
	}, nil
}
