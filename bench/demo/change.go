package demo

import (
	"context"
	"time"

	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/node/relay"
)

// Guaranteed maximum times until a change takes effect.
const (
	revokeLimit = 5 * time.Second // until all nodes refuse a revoked key
	drainLimit  = 3 * time.Second // until no node sends new requests to a draining upstream
)

// lookupService returns the service that serves lookups.
func (d *demo) lookupService() string {
	return d.run.Site.Routes["runs"].Service
}

// slowLookups returns a function that sets the service time of lookups.
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

// revoked returns the customer whose key is revoked.
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

// drained returns the node whose upstream is drained.
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

// seesDraining reports whether a node sees the target of an instance as draining.
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

// logDown returns a function that starts or ends an outage of the log service.
func (d *demo) logDown(down bool) func(context.Context) error {
	return func(context.Context) error {
		d.run.Log.SetDown(down)
		return nil
	}
}
