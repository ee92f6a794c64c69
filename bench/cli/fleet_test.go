package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/admin/cmds"
	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/report"
)

// status returns the status of a ready node.
func status(zone, name string, offset uint64, members ...report.Member) report.Status {
	return report.Status{Instance: name, Zone: zone, Incarnation: 1, Ready: true, ConfigOffset: offset, Epoch: 3, Members: members}
}

// member returns an entry of a node's member list.
func member(zone, name string, incarnation, offset uint64) report.Member {
	return report.Member{Instance: name, Zone: zone, Incarnation: incarnation, State: "alive", ConfigOffset: offset}
}

// Guards against a wait that reports a change as in effect although a zone or an
// instance has not confirmed it, or that doesn't name the pending ones.
func TestWaitNamesPending(t *testing.T) {
	t.Parallel()
	e := newEnv(t)
	e.ok("fleet set --zone bole=0.3 --zone kirkos=0.3 --zone arada=0.3 --zone old=0")
	e.startNode(status("bole", "b1", 0, member("bole", "b1", 1, 99), member("bole", "b2", 1, 99), member("kirkos", "k1", 2, 0), member("kirkos", "k2", 2, 99)))
	e.startNode(status("kirkos", "k3", 99, member("kirkos", "k1", 1, 99), member("kirkos", "k2", 2, 1)))
	e.nodes = append(e.nodes, "127.0.0.1:1")
	r := e.run("customer create theatre --rate 1 --burst 1 --wait --timeout 2s")
	assert.Equal(t, r.status, cmds.ExitUnconfirmed, r.err)
	assert.Assert(t, cmp.Contains(r.out, "accepted: customer theatre, revision 2"))
	assert.Assert(t, cmp.Contains(r.out, "not confirmed in force: configuration offset 2"))
	for _, line := range []string{
		"zone bole, instance b1: at configuration offset 0, needs 2",
		"zone kirkos, instance k1: at configuration offset 0, needs 2",
		"zone arada: no instance is seen", "node 127.0.0.1:1: ",
	} {
		assert.Assert(t, cmp.Contains(r.out, line))
	}
	for _, name := range []string{"b2", "k2", "k3", "zone old"} {
		assert.Assert(t, !strings.Contains(r.out, name), r.out)
	}
}

// Guards against a wait that ends before the last node has applied the change.
func TestWaitUntilInForce(t *testing.T) {
	e := newEnv(t)
	n := e.startNode(status("bole", "b1", 0))
	reads := 0
	n.step = func(s *report.Status) {
		if reads++; reads == 3 {
			s.ConfigOffset = 1
		}
	}
	out := e.ok("customer create theatre --rate 1 --burst 1 --wait --output json")
	var doc struct {
		Offset  uint64
		InForce bool
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &doc))
	assert.Assert(t, doc.InForce && doc.Offset == 1)
	assert.Equal(t, reads, 3)
}

// Guards against differences between the views of nodes that are not reported, and
// against an unreachable node that is omitted without an error.
func TestStatus(t *testing.T) {
	e := newEnv(t)
	a := status("bole", "b1", 7, member("bole", "b2", 1, 6), member("kirkos", "k1", 1, 7))
	a.Upstream = &report.Upstream{Service: "archive", State: "ready", InFlight: 2, Limit: 9}
	a.Conflicts = []string{"route x"}
	b := status("bole", "b2", 6, member("bole", "b1", 1, 7))
	b.Epoch = 2
	e.startNode(a)
	e.startNode(b)
	r := e.run("status")
	assert.Equal(t, r.status, 0, r.err)
	for _, text := range []string{
		"archive  ready     2/9", "instance k1 is not seen by b2", "b2 sees no upstream, not an upstream of archive, ready",
		"zone bole: epochs differ: 2 at b2; 3 at b1", "configuration offsets differ: 6 at b2; 7 at b1", "route not in force: route x",
	} {
		assert.Assert(t, cmp.Contains(r.out, text))
	}
	e.nodes = append(e.nodes, "127.0.0.1:1")
	r = e.run("status --output json")
	assert.Equal(t, r.status, cmds.ExitUnreachable)
	var f nodes.Fleet
	assert.NilError(t, json.Unmarshal([]byte(r.out), &f))
	assert.Equal(t, fmt.Sprint(f.Views, len(f.Instances), len(f.Unreachable)), "2 3 1")
}

// Guards against a command line that works only with fake nodes: the commands read
// the status of real nodes and wait until these confirm a change.
func TestRealNodes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := site.Start(ctx, site.Sized(3, 2))
	assert.NilError(t, err)
	defer r.Stop()
	e := &env{t: t, log: r.Log, nodes: []string{r.Nodes[0].Addrs().Operations}}
	assert.Assert(t, cmp.Contains(e.ok("customer create theatre --rate 50 --burst 50 --wait"), "in force everywhere"))
	assert.Assert(t, cmp.Contains(e.ok("status"), "c     c-archive-2"))
	for _, n := range r.Nodes {
		assert.Assert(t, n.Status().ConfigOffset >= e.view().Revisions[customerID("theatre")])
	}
}
