package matrix

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/node/relay"
)

// Fault is a failure or overload that a cell injects and later heals.
type Fault struct {
	Name   string
	Inject func(ctx context.Context, c *cell) error
	Heal   func(ctx context.Context, c *cell) error // nil if there is nothing to heal
	Load   float64                                  // factor on the rate of lookups; 0 means 1
	Repeat int                                      // immediate repeats of a request by its caller
}

// faultZone is the index of the availability zone that zone faults affect.
const faultZone = 0

// Service times of upstreams, and the delay of a slow log.
const (
	normalTime = 5 * time.Millisecond
	slowTime   = 400 * time.Millisecond
	coldTime   = 100 * time.Millisecond
	slowLog    = time.Second
)

// Faults returns the faults of docs/design.md, 1.5, that a process can inject
// into itself. All nodes share this process, so a single holder can't be paused;
// the history tests of packages epoch, quota and claim cover that fault.
func Faults() []Fault {
	return []Fault{
		{Name: "slow deep service", Inject: setTime("catalogue", slowTime), Heal: setTime("catalogue", normalTime)},
		{Name: "surge", Load: 6},
		{Name: "hard client retries", Load: 2, Repeat: 3},
		{Name: "key withdrawn", Inject: revoke},
		{Name: "log down", Inject: logDown(true), Heal: logDown(false)},
		{Name: "log slow", Inject: logDelay(slowLog), Heal: logDelay(0)},
		{Name: "append answer lost", Inject: loseResponses},
		{Name: "racing operators", Inject: raceOperators},
		{Name: "silent connections", Inject: silenceLinks},
		{Name: "zone cut from zones", Inject: cutZone, Heal: healZones},
		{Name: "zone cut from platform", Inject: cutLog(true), Heal: cutLog(false)},
		{Name: "instance killed", Inject: kill, Heal: restart},
		{Name: "upstream draining", Inject: drain, Heal: undrain},
		{Name: "cold start", Inject: coldStart, Heal: warm},
		{Name: "misleading load", Inject: misreportHints, Heal: restoreHints},
	}
}

func (c *cell) upstreams(service string, f func(u *fakes.Upstream) error) error {
	for _, n := range c.run.Nodes {
		if n.Service != service {
			continue
		}
		if err := f(n.Upstream); err != nil {
			return err
		}
	}
	return nil
}

func setTime(service string, d time.Duration) func(context.Context, *cell) error {
	return func(_ context.Context, c *cell) error {
		return c.upstreams(service, func(u *fakes.Upstream) error {
			u.SetServiceTime(d)
			return nil
		})
	}
}

func revoke(ctx context.Context, c *cell) error {
	c.revoked = revokedCustomer
	return c.run.RevokeKey(ctx, revokedCustomer)
}

func logDown(down bool) func(context.Context, *cell) error {
	return func(_ context.Context, c *cell) error {
		c.run.Log.SetDown(down)
		return nil
	}
}

func logDelay(d time.Duration) func(context.Context, *cell) error {
	return func(_ context.Context, c *cell) error {
		c.run.Log.SetDelay(d)
		return nil
	}
}

func loseResponses(_ context.Context, c *cell) error {
	c.run.Log.LoseAnswers(5)
	return nil
}

// raceOperators simulates two operators that change the same object concurrently.
func raceOperators(ctx context.Context, c *cell) error {
	c.raced = true
	return c.appendConflictingChanges(ctx)
}

func silenceLinks(_ context.Context, c *cell) error {
	for _, n := range c.run.Nodes {
		n.Wire.Silence()
	}
	return nil
}

func (c *cell) zone() string { return c.run.Site.Zones[faultZone] }

func cutZone(_ context.Context, c *cell) error {
	c.run.CutZone(c.zone())
	return nil
}

func healZones(_ context.Context, c *cell) error {
	c.run.HealZones()
	return nil
}

func cutLog(cut bool) func(context.Context, *cell) error {
	return func(_ context.Context, c *cell) error {
		c.run.CutLog(c.zone(), cut)
		return nil
	}
}

// killedNode returns the index of the node that is killed and restarted.
func (c *cell) killedNode() int {
	for i, n := range c.run.Nodes {
		if n.Service == "orders" {
			return i
		}
	}
	return 0
}

func kill(_ context.Context, c *cell) error {
	c.run.Nodes[c.killedNode()].Kill()
	return nil
}

func restart(_ context.Context, c *cell) error {
	_, err := c.run.Restart(c.killedNode(), hclog.NewNullLogger())
	return err
}

func (c *cell) archiveNode() *site.Node {
	for _, n := range c.run.Nodes {
		if n.Service == "archive" {
			return n
		}
	}
	return nil
}

func drain(_ context.Context, c *cell) error {
	return c.archiveNode().Upstream.SetState(relay.Draining)
}

func undrain(_ context.Context, c *cell) error {
	return c.archiveNode().Upstream.SetState(relay.Ready)
}

func coldStart(_ context.Context, c *cell) error {
	u := c.archiveNode().Upstream
	u.SetServiceTime(coldTime)
	return u.SetState(relay.Cold)
}

func warm(_ context.Context, c *cell) error {
	u := c.archiveNode().Upstream
	u.SetServiceTime(normalTime)
	return u.SetState(relay.Ready)
}

// misreportHints makes the upstreams of a service announce a hundred times their
// slots and almost no load.
func misreportHints(_ context.Context, c *cell) error {
	return c.upstreams("archive", func(u *fakes.Upstream) error { return u.SetHints(100*u.Slots, 0.01) })
}

func restoreHints(_ context.Context, c *cell) error {
	return c.upstreams("archive", func(u *fakes.Upstream) error { return u.SetHints(u.Slots, 0) })
}
