package matrix

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/bench/audit"
	"dogwoodsill.org/bench/load"
)

// invariants checks the invariants and describes each one that was violated.
func (c *cell) invariants(list []load.Outcome) []string {
	runs := audit.Runs(c.run, "runs", "order")
	var broken []string
	add := func(n int, what string) {
		if n > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", n, what))
		}
	}
	add(audit.Doubled(runs), "orders ran twice")
	add(audit.FalseNo(list, runs), "refused as not run, but ran")
	add(audit.Mismatched(list), "answers of another request")
	add(audit.AboveRate(c.run, runs, time.Since(c.began)), "customers above burst + rate*t")
	add(audit.KeysSeen(c.run), "keys seen by upstreams")
	return broken
}

// settle waits until the deployment has recovered from the faults, up to
// settleLimit, and describes each part that has not.
func (c *cell) settle(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	var broken []string
	if err := c.run.InForce(ctx); err != nil {
		broken = append(broken, "configuration not in force everywhere")
	}
	if c.revoked != "" && c.revokedKeyWorks(ctx) {
		broken = append(broken, "withdrawn key still works")
	}
	if c.raced && !c.configsAgree(ctx) {
		broken = append(broken, "nodes differ on racing changes")
	}
	if err := c.run.Await(ctx, func() bool { return c.requestsComplete(ctx) }); err != nil {
		broken = append(broken, "requests don't complete again")
	}
	return broken
}

// revokedKeyWorks reports whether a node still accepts the revoked key. It revokes
// the key again, as the first revocation may have failed while the log was down.
func (c *cell) revokedKeyWorks(ctx context.Context) bool {
	if err := c.run.RevokeKey(ctx, c.revoked); err != nil {
		return false
	}
	if err := c.run.InForce(ctx); err != nil {
		return true
	}
	for _, n := range c.run.Nodes {
		o := load.Send(ctx, c.client, "http://"+n.Addrs().Callers, c.run.Keys[c.revoked], load.Request{ID: "revoked", Method: http.MethodGet, Path: "/runs/1"})
		if o.Status != http.StatusUnauthorized {
			return true
		}
	}
	return false
}

// configsAgree reports whether the same one of the concurrent changes is in
// effect at every node.
func (c *cell) configsAgree(ctx context.Context) bool {
	if err := c.run.InForce(ctx); err != nil {
		return false
	}
	seen := map[string]bool{}
	for _, n := range c.run.Nodes {
		seen[n.ObjectDigest()] = true
	}
	return len(seen) == 1
}

// callerKeysAccepted reports whether requests with idempotency keys made by callers
// run in every availability zone. Owners that have just started refuse them,
// because such a key could already have run under an earlier owner.
func (c *cell) callerKeysAccepted(ctx context.Context) bool {
	const customer = "theatre"
	for i := range 3 * len(c.run.Site.Zones) {
		o := load.Send(ctx, c.client, "http://"+c.run.Nodes[i].Addrs().Callers, c.run.Keys[customer], load.Request{
			ID: uuid.NewString(), Method: http.MethodPost, Path: "/orders", Body: "1", Idem: uuid.Must(uuid.NewV7()).String(),
		})
		if !o.OK() {
			return false
		}
	}
	return true
}

// requestsComplete reports whether a lookup and an order complete at every node.
func (c *cell) requestsComplete(ctx context.Context) bool {
	const customer = "theatre"
	for i, n := range c.run.Nodes {
		keys, err := c.run.IssueIdempotencyKeys(ctx, c.client, n, customer, 1)
		if err != nil {
			return false
		}
		base := "http://" + n.Addrs().Callers
		lookup := load.Send(ctx, c.client, base, c.run.Keys[customer], load.Request{ID: fmt.Sprint("probe/", i), Method: http.MethodGet, Path: "/runs/1"})
		order := load.Send(ctx, c.client, base, c.run.Keys[customer], load.Request{ID: uuid.NewString(), Method: http.MethodPost, Path: "/orders", Body: "1", Idem: keys[0]})
		if !lookup.OK() || !order.OK() {
			return false
		}
	}
	return true
}
