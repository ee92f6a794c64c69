package site

import (
	"fmt"
	"strings"

	"dogwoodsill.org/core/report"
)

// UnreadyError reports a deployment that was not ready in time.
type UnreadyError struct {
	Shares, WantShares int // shares with a holder, and shares of all customers and open routes
	Leases, WantLeases int // nodes that hold a lease, and the maximum
	Nodes              []UnreadyNode
	Cause              error
}

// UnreadyNode is the state of a node of a deployment that was not ready in time.
type UnreadyNode struct {
	report.Status
	Missing []string // nodes of which it knows no target
}

// Error implements error. It names the state of each node and what the node lacks.
func (e *UnreadyError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment not ready: %v; %d of %d shares have a holder, %d of %d leases are held", e.Cause,
		e.Shares, e.WantShares, e.Leases, e.WantLeases)
	for _, n := range e.Nodes {
		fmt.Fprintf(&b, "\n%s", n)
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *UnreadyError) Unwrap() error { return e.Cause }

// String returns the state of the node on one line.
func (n UnreadyNode) String() string {
	upstream := "none"
	if n.Upstream != nil {
		upstream = n.Upstream.Service + " " + n.Upstream.State
	}
	line := fmt.Sprintf("%s: ready %t, configuration %d confirmed %d ms ago, epoch %d, lease %t, %d shares, upstream %s, %d members",
		n.Instance, n.Ready, n.ConfigOffset, n.ConfigAgeMS, n.Epoch, n.Lease, n.Shares, upstream, len(n.Members))
	if len(n.Missing) > 0 {
		line += ", no target of " + strings.Join(n.Missing, " ")
	}
	for _, m := range n.Members {
		if m.State != "alive" {
			line += fmt.Sprintf(", %s %s", m.Instance, m.State)
		}
	}
	for _, t := range n.Tasks {
		if !t.Running || t.Restarts > 0 {
			line += fmt.Sprintf(", task %q running %t, %d restarts, last error %q", t.Name, t.Running, t.Restarts, t.LastErr)
		}
	}
	return line
}

// unready returns the error of a start that ended with cause before the deployment was ready.
func (r *Running) unready(cause error) error {
	e := &UnreadyError{WantShares: r.shares(), WantLeases: r.maxLeases(), Cause: cause}
	for _, n := range r.Nodes {
		s := n.Status()
		e.Shares += s.Shares
		if s.Lease {
			e.Leases++
		}
		e.Nodes = append(e.Nodes, UnreadyNode{Status: s, Missing: r.missingTargets(s)})
	}
	return e
}

// missingTargets returns the names of the nodes of which a node knows no target.
func (r *Running) missingTargets(s report.Status) []string {
	known := map[string]bool{}
	for _, m := range s.Members {
		known[m.Instance] = m.Service != ""
	}
	var missing []string
	for _, n := range r.Nodes {
		if name := n.Settings.Instance.Name; !known[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
