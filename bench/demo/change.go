package demo

import (
	"context"
	"time"

	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/node/relay"
)

// Time limits that the users were promised.
const (
	revokeLimit = 5 * time.Second // a revoked key is refused everywhere
	drainLimit  = 3 * time.Second // a draining upstream gets no new work
)

// lookupService returns the service of the lookups.
func (d *demo) lookupService() string {
	return d.run.Site.Routes["runs"].Service
}

func (d *demo) slowLookups(t time.Duration) func(context.Context) error {
	return func(context.Context) error {
		for _, n := range d.run.Nodes {
			if n.Service == d.lookupService() {
				n.Upstream.SetServiceTime(t)
			}
		}
		return nil
	}
}

// revoked is the customer whose key is revoked.
func (d *demo) revoked() string {
	return d.customers()[0]
}

func (d *demo) revoke(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, revokeLimit)
	defer cancel()
	if err := d.run.RevokeKey(ctx, d.revoked()); err != nil {
		return err
	}
	return d.run.InForce(ctx)
}

func (d *demo) reissue(ctx context.Context) error {
	if err := d.run.IssueKey(ctx, d.revoked()); err != nil {
		return err
	}
	return d.run.InForce(ctx)
}

// drained is the upstream that drains.
func (d *demo) drained() *site.Node {
	for _, n := range d.run.Nodes {
		if n.Service == d.lookupService() {
			return n
		}
	}
	return nil
}

func (d *demo) drain(ctx context.Context) error {
	n := d.drained()
	if err := n.Upstream.SetState(relay.Draining); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	return d.run.Await(ctx, func() bool {
		for _, other := range d.run.Nodes {
			if !seesDraining(other, n.Settings.Instance.Name) {
				return false
			}
		}
		return true
	})
}

func seesDraining(n *site.Node, instance string) bool {
	for _, m := range n.Status().Members {
		if m.Instance == instance {
			return m.TargetState == string(relay.Draining)
		}
	}
	return false
}

func (d *demo) undrain(context.Context) error {
	return d.drained().Upstream.SetState(relay.Ready)
}

func (d *demo) logDown(down bool) func(context.Context) error {
	return func(context.Context) error {
		d.run.Log.SetDown(down)
		return nil
	}
}
