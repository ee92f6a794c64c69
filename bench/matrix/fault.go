package matrix

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/node/relay"
)

// Fault is something that goes wrong and is repaired later.
type Fault struct {
	Name   string
	Inject func(ctx context.Context, c *cell) error
	Heal   func(ctx context.Context, c *cell) error // nil if nothing is to be repaired
	Load   float64                                  // factor on the offered lookups; 0 for 1
	Repeat int                                      // immediate repeats by callers
}

// Zone that the faults of zones hit.
const faultZone = 0

// Service times under faults.
const (
	normalTime = 5 * time.Millisecond
	slowTime   = 400 * time.Millisecond
	coldTime   = 100 * time.Millisecond
	slowLog    = time.Second
)

// Faults returns the faults of docs/design.md, 1.5, that a process can cause to itself. A
// paused holder is left to the histories of packages epoch, quota and claim, as
// all nodes share this process.
func Faults() []Fault {
	return []Fault{
		{Name: "slow deep service", Inject: setTime("catalogue", slowTime), Heal: setTime("catalogue", normalTime)},
		{Name: "surge", Load: 6},
		{Name: "hard client retries", Load: 2, Repeat: 3},
		{Name: "key withdrawn", Inject: revoke},
		{Name: "log down", Inject: logDown(true), Heal: logDown(false)},
		{Name: "log slow", Inject: logDelay(slowLog), Heal: logDelay(0)},
		{Name: "append answer lost", Inject: loseAnswers},
		{Name: "racing operators", Inject: race},
		{Name: "silent connections", Inject: silence},
		{Name: "zone cut from zones", Inject: cutZone, Heal: healZones},
		{Name: "zone cut from platform", Inject: cutLog(true), Heal: cutLog(false)},
		{Name: "instance killed", Inject: kill, Heal: restart},
		{Name: "upstream draining", Inject: drain, Heal: undrain},
		{Name: "cold start", Inject: coldStart, Heal: warm},
		{Name: "misleading load", Inject: mislead, Heal: truthful},
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

func loseAnswers(_ context.Context, c *cell) error {
	c.run.Log.LoseAnswers(5)
	return nil
}

// race lets two operators change the same object at the same time.
func race(ctx context.Context, c *cell) error {
	c.raced = true
	return c.raceOperators(ctx)
}

func silence(_ context.Context, c *cell) error {
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

// victim is the instance that is killed or drains.
func (c *cell) victim() int {
	for i, n := range c.run.Nodes {
		if n.Service == "orders" {
			return i
		}
	}
	return 0
}

func kill(_ context.Context, c *cell) error {
	c.run.Nodes[c.victim()].Kill()
	return nil
}

func restart(_ context.Context, c *cell) error {
	_, err := c.run.Restart(c.victim(), hclog.NewNullLogger())
	return err
}

func (c *cell) drainee() *site.Node {
	for _, n := range c.run.Nodes {
		if n.Service == "archive" {
			return n
		}
	}
	return nil
}

func drain(_ context.Context, c *cell) error {
	return c.drainee().Upstream.SetState(relay.Draining)
}

func undrain(_ context.Context, c *cell) error {
	return c.drainee().Upstream.SetState(relay.Ready)
}

func coldStart(_ context.Context, c *cell) error {
	u := c.drainee().Upstream
	u.SetServiceTime(coldTime)
	return u.SetState(relay.Cold)
}

func warm(_ context.Context, c *cell) error {
	u := c.drainee().Upstream
	u.SetServiceTime(normalTime)
	return u.SetState(relay.Ready)
}

// mislead lets the upstreams of a service announce a hundred times their slots
// and no load.
func mislead(_ context.Context, c *cell) error {
	return c.upstreams("archive", func(u *fakes.Upstream) error { return u.SetHints(100*u.Slots, 0.01) })
}

func truthful(_ context.Context, c *cell) error {
	return c.upstreams("archive", func(u *fakes.Upstream) error { return u.SetHints(u.Slots, 0) })
}
