package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodsill.org/core/refuse"
	"pgregory.net/rapid"
)

// deliverResults passes the results of completed executions to the requests
// that joined them.
func (sim *simulation) deliverResults() {
	sim.joinedCalls = slices.DeleteFunc(sim.joinedCalls, func(c *fakeCall) bool {
		select {
		case <-c.waiter.Done():
			sim.handleDecision(c, c.waiter.Result())
			return true
		default:
			return false
		}
	})
}

// kill stops a node. Each request that Dispatch allowed may or may not have
// been sent before.
func (sim *simulation) kill(n *fakeNode) {
	n.alive = false
	for _, c := range sim.activeCalls {
		if c.node == n && c.dispatchAllowed && !c.sent && rapid.Bool().Draw(sim.T, "left") {
			sim.send(c)
		}
	}
	sim.activeCalls = slices.DeleteFunc(sim.activeCalls, func(c *fakeCall) bool { return c.node == n })
}

// appendBatch appends the pending records of a node to the log. The append may
// fail, or its response may be lost.
func (sim *simulation) appendBatch() {
	n := sim.pickNode(func(n *fakeNode) bool {
		at, ok := n.queue.Due()
		return running(n) && ok && !sim.clock(n).Before(at)
	})
	batch := n.queue.Take(sim.clock(n))
	if batch == nil {
		return // all of its records were too old
	}
	up := sim.logUp && !n.partitioned
	if up {
		sim.log = append(sim.log, batch)
	}
	if up && rapid.IntRange(0, 2).Draw(sim.T, "acked") > 0 {
		n.queue.Ack()
	} else {
		n.queue.Fail(sim.clock(n))
	}
}

// readLog applies the new batches of the log to the index of every node that
// can reach it.
func (sim *simulation) readLog() {
	for _, n := range sim.nodes {
		if !sim.logUp || !running(n) || n.partitioned {
			continue
		}
		for _, batch := range sim.log[n.readBatches:] {
			if skipped, err := n.index.Apply(sim.clock(n), batch); err != nil || skipped > 0 {
				sim.Fatalf("batch %s: %d skipped, %v", batch, skipped, err)
			}
		}
		n.readBatches = len(sim.log)
	}
}

// runNewKey creates a key, sends a request with it and lets the request
// progress for some further steps.
func (sim *simulation) runNewKey() {
	sim.newKey()
	sim.sendRequest()
	for _, step := range []func(*simulation){(*simulation).dispatch, (*simulation).sendOne, (*simulation).finish, (*simulation).advanceShort, (*simulation).appendBatch, (*simulation).readLog} {
		if rapid.IntRange(0, 5).Draw(sim.T, "stop") == 5 {
			return
		}
		step(sim)
	}
}

func (sim *simulation) sendOne() { sim.send(sim.pickCall(notSent)) }

// restart starts a node that was killed. This requires the log, from which the
// node learns the newest epoch.
func (sim *simulation) restart() {
	sim.start(sim.pickNode(func(n *fakeNode) bool { return !n.alive && !n.partitioned && sim.logUp }))
}

// changeEpoch creates an epoch without one of the nodes, which may have been
// killed, paused or partitioned. Some members adopt the epoch immediately, and
// sometimes enough time passes for the leases of the earlier one to expire.
func (sim *simulation) changeEpoch() {
	n := sim.pickNode(running)
	faults := []func(){func() {}, func() { sim.kill(n) }, func() { n.paused = true }, func() { n.partitioned = true }}
	rapid.SampledFrom(faults).Draw(sim.T, "fault")()
	var members []int
	for _, m := range sim.nodes {
		if m != n && running(m) && !m.partitioned {
			members = append(members, m.id)
		}
	}
	if !sim.logUp || len(members) == 0 {
		return
	}
	sim.epochs = append(sim.epochs, members)
	sim.majorityLeft = append(sim.majorityLeft, time.Time{})
	for _, id := range members {
		if rapid.IntRange(0, 5).Draw(sim.T, "adopts") < 5 {
			sim.adopt(sim.nodes[id])
		}
	}
	if rapid.Bool().Draw(sim.T, "wait") {
		sim.advance(leaseTime / 2)
		sim.advance(leaseTime / 2)
	}
}

func (sim *simulation) advanceShort() {
	sim.advance(rapid.SampledFrom(shortSteps).Draw(sim.T, "short"))
}

// shortSteps are durations that are shorter than a lease.
var shortSteps = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond}

// actions lists the steps of a history with their weights. Requests are more
// frequent than faults, so that a key passes through several states before the
// next fault.
var actions = []struct {
	name   string
	weight int
	do     func(*simulation)
}{
	{"key", 10, (*simulation).newKey},
	{"request", 30, (*simulation).sendRequest},
	{"dispatch", 24, (*simulation).dispatch},
	{"send", 16, (*simulation).sendOne},
	{"order", 40, (*simulation).runNewKey},
	{"finish", 10, (*simulation).finish},
	{"undo", 2, func(sim *simulation) {
		c := sim.pickCall(notSent)
		c.dispatchAllowed = false
		c.ticket.UndoDispatch()
	}},
	{"release", 2, func(sim *simulation) { sim.release(sim.pickCall(notDispatched), refuse.New(refuse.Overloaded, "shed")) }},
	{"short", 14, (*simulation).advanceShort},
	{"long", 5, func(sim *simulation) { sim.advance(time.Duration(rapid.IntRange(1, 5).Draw(sim.T, "s")) * time.Second) }},
	{"age", 1, func(sim *simulation) {
		if rapid.IntRange(0, 4).Draw(sim.T, "rare") == 0 {
			sim.advance(MaxAge - time.Second)
			sim.advance(time.Second)
		}
	}},
	{"kill", 1, func(sim *simulation) { sim.kill(sim.pickNode(running)) }},
	{"restart", 20, (*simulation).restart},
	{"pause", 1, func(sim *simulation) { sim.pickNode(running).paused = true }},
	{"resume", 16, func(sim *simulation) { sim.pickNode(func(n *fakeNode) bool { return n.paused }).paused = false }},
	{"cut", 1, func(sim *simulation) { sim.pickNode(running).partitioned = true }},
	{"heal", 24, func(sim *simulation) {
		sim.pickNode(func(n *fakeNode) bool { return n.partitioned }).partitioned = false
	}},
	{"epoch", 2, (*simulation).changeEpoch},
	{"adopt", 20, func(sim *simulation) {
		sim.adopt(sim.pickNode(func(n *fakeNode) bool { return running(n) && !n.partitioned && sim.logUp }))
	}},
	{"logDown", 1, func(sim *simulation) { sim.logUp = false }},
	{"logUp", 16, func(sim *simulation) { sim.logUp = true }},
	{"flush", 20, (*simulation).appendBatch},
	{"read", 8, (*simulation).readLog},
}

// TestHistory runs random histories with any combination of crashes, pauses,
// partitions, failures of the log and clock offsets (section 1.5 of the
// design). It checks that each key runs at most once, that executed "no" is
// never false, that all requests with a key receive the same response, and that
// they don't exceed the attempts of their root.
func TestHistory(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, coverage)
		steps := map[string]func(*rapid.T){"": func(t *rapid.T) { sim.T = t; sim.deliverResults() }}
		for _, a := range actions {
			for i := range a.weight {
				steps[fmt.Sprint(a.name, i)] = func(t *rapid.T) { sim.T = t; a.do(sim) }
			}
		}
		t.Repeat(steps)
	})
	t.Log(coverage)
	for _, want := range requiredCoverage {
		if defaultFlags && coverage[want] < 20 {
			t.Errorf("%q was reached %d times: the histories don't cover enough", want, coverage[want])
		}
	}
}

// requiredCoverage lists the events that the histories must reach for the test
// to be meaningful.
var requiredCoverage = []string{
	"caller run", "issued run", "caller run by a successor", "caller joined", "issued joined", "caller replayed",
	"issued replayed", "caller no", "issued no", "caller unknown", "issued unknown", "response from the log",
	"successor refused", "late dispatch refused",
}
