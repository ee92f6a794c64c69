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

// invariants returns those that did not hold.
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

// settle waits until everything works again after the faults and returns what
// does not.
func (c *cell) settle(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	var broken []string
	if err := c.run.InForce(ctx); err != nil {
		broken = append(broken, "configuration not in force everywhere")
	}
	if c.revoked != "" && c.revokedRuns(ctx) {
		broken = append(broken, "withdrawn key still works")
	}
	if c.raced && !c.oneWinner(ctx) {
		broken = append(broken, "nodes differ on racing changes")
	}
	if err := c.run.Await(ctx, func() bool { return c.works(ctx) }); err != nil {
		broken = append(broken, "requests don't complete again")
	}
	return broken
}

// revokedRuns reports whether a node still accepts the withdrawn key. The
// revocation may have failed with the log down; it is repeated then.
func (c *cell) revokedRuns(ctx context.Context) bool {
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

// oneWinner reports whether every node has the same one of the racing changes
// in force.
func (c *cell) oneWinner(ctx context.Context) bool {
	if err := c.run.InForce(ctx); err != nil {
		return false
	}
	seen := map[string]bool{}
	for _, n := range c.run.Nodes {
		seen[n.ObjectDigest()] = true
	}
	return len(seen) == 1
}

// callerKeysRun reports whether callers' own idempotency keys run at every zone.
// Owners that have just started refuse them, since they could have run under
// an earlier owner.
func (c *cell) callerKeysRun(ctx context.Context) bool {
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

// works reports whether a lookup and an order complete at every node.
func (c *cell) works(ctx context.Context) bool {
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
