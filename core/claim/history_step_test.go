package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodsill.org/core/refuse"
	"pgregory.net/rapid"
)

// wake gives the callers that joined their results.
func (w *world) wake() {
	w.waits = slices.DeleteFunc(w.waits, func(c *fakeCall) bool {
		select {
		case <-c.wait.Done():
			w.decided(c, c.wait.Result())
			return true
		default:
			return false
		}
	})
}

// kill ends a node. Each request that was cleared for dispatch may or may not
// have left it.
func (w *world) kill(n *fakeNode) {
	n.alive = false
	for _, c := range w.calls {
		if c.n == n && c.cleared && !c.sent && rapid.Bool().Draw(w.T, "left") {
			w.send(c)
		}
	}
	w.calls = slices.DeleteFunc(w.calls, func(c *fakeCall) bool { return c.n == n })
}

// flush appends the records of a node. The append may fail, or its response may
// be lost.
func (w *world) flush() {
	n := w.node(func(n *fakeNode) bool {
		at, ok := n.queue.Due()
		return running(n) && ok && !w.clock(n).Before(at)
	})
	batch := n.queue.Take(w.clock(n))
	if batch == nil {
		return // all of its records were too old
	}
	up := w.logUp && !n.cut
	if up {
		w.log = append(w.log, batch)
	}
	if up && rapid.IntRange(0, 2).Draw(w.T, "acked") > 0 {
		n.queue.Ack()
	} else {
		n.queue.Fail(w.clock(n))
	}
}

// read brings the index of every node that reaches the log up to date.
func (w *world) read() {
	for _, n := range w.nodes {
		if !w.logUp || !running(n) || n.cut {
			continue
		}
		for _, batch := range w.log[n.read:] {
			if skipped, err := n.index.Apply(w.clock(n), batch); err != nil || skipped > 0 {
				w.Fatalf("batch %s: %d skipped, %v", batch, skipped, err)
			}
		}
		n.read = len(w.log)
	}
}

// order makes a key, sends it and takes its request some steps further.
func (w *world) order() {
	w.newKey()
	w.request()
	for _, step := range []func(*world){(*world).dispatch, (*world).sendOne, (*world).finish, (*world).tick, (*world).flush, (*world).read} {
		if rapid.IntRange(0, 5).Draw(w.T, "stop") == 5 {
			return
		}
		step(w)
	}
}

func (w *world) sendOne() { w.send(w.call(cleared)) }

// restart boots a dead node. It needs the log to learn the newest epoch.
func (w *world) restart() {
	w.boot(w.node(func(n *fakeNode) bool { return !n.alive && !n.cut && w.logUp }))
}

// epoch replaces a node that may have been killed, paused or cut off: an epoch
// without it is made, adopted by some and sometimes in force at once.
func (w *world) epoch() {
	n := w.node(running)
	faults := []func(){func() {}, func() { w.kill(n) }, func() { n.paused = true }, func() { n.cut = true }}
	rapid.SampledFrom(faults).Draw(w.T, "fault")()
	var members []int
	for _, m := range w.nodes {
		if m != n && running(m) && !m.cut {
			members = append(members, m.id)
		}
	}
	if !w.logUp || len(members) == 0 {
		return
	}
	w.epochs = append(w.epochs, members)
	w.majority = append(w.majority, time.Time{})
	for _, id := range members {
		if rapid.IntRange(0, 5).Draw(w.T, "adopts") < 5 {
			w.adopt(w.nodes[id])
		}
	}
	if rapid.Bool().Draw(w.T, "wait") {
		w.advance(leaseTime / 2)
		w.advance(leaseTime / 2)
	}
}

func (w *world) tick() { w.advance(rapid.SampledFrom(shortSteps).Draw(w.T, "short")) }

// shortSteps are times within a lease.
var shortSteps = []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond}

// actions lists the steps of a history with their weights. Requests outnumber
// faults, so that keys live through several states before the next fault.
var actions = []struct {
	name   string
	weight int
	do     func(*world)
}{
	{"key", 10, (*world).newKey},
	{"request", 30, (*world).request},
	{"dispatch", 24, (*world).dispatch},
	{"send", 16, (*world).sendOne},
	{"order", 40, (*world).order},
	{"finish", 10, (*world).finish},
	{"undo", 2, func(w *world) {
		c := w.call(cleared)
		c.cleared = false
		c.ticket.UndoDispatch()
	}},
	{"release", 2, func(w *world) { w.release(w.call(claimed), refuse.New(refuse.Overloaded, "shed")) }},
	{"short", 14, (*world).tick},
	{"long", 5, func(w *world) { w.advance(time.Duration(rapid.IntRange(1, 5).Draw(w.T, "s")) * time.Second) }},
	{"age", 1, func(w *world) {
		if rapid.IntRange(0, 4).Draw(w.T, "rare") == 0 {
			w.advance(MaxAge - time.Second)
			w.advance(time.Second)
		}
	}},
	{"kill", 1, func(w *world) { w.kill(w.node(running)) }},
	{"restart", 20, (*world).restart},
	{"pause", 1, func(w *world) { w.node(running).paused = true }},
	{"resume", 16, func(w *world) { w.node(func(n *fakeNode) bool { return n.paused }).paused = false }},
	{"cut", 1, func(w *world) { w.node(running).cut = true }},
	{"heal", 24, func(w *world) { w.node(func(n *fakeNode) bool { return n.cut }).cut = false }},
	{"epoch", 2, (*world).epoch},
	{"adopt", 20, func(w *world) { w.adopt(w.node(func(n *fakeNode) bool { return running(n) && !n.cut && w.logUp })) }},
	{"logDown", 1, func(w *world) { w.logUp = false }},
	{"logUp", 16, func(w *world) { w.logUp = true }},
	{"flush", 20, (*world).flush},
	{"read", 8, (*world).read},
}

// TestHistory runs random histories with the faults of section 1.5, any of them
// together, and checks that each key runs at most once, that executed "no" is
// never false, that a key has one response and that its root keeps its budget.
func TestHistory(t *testing.T) {
	reached := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, reached)
		steps := map[string]func(*rapid.T){"": func(t *rapid.T) { w.T = t; w.wake() }}
		for _, a := range actions {
			for i := range a.weight {
				steps[fmt.Sprint(a.name, i)] = func(t *rapid.T) { w.T = t; a.do(w) }
			}
		}
		t.Repeat(steps)
	})
	t.Log(reached)
	for _, want := range wanted {
		if fixed && reached[want] < 20 {
			t.Errorf("%q was reached %d times: the histories prove too little", want, reached[want])
		}
	}
}

// wanted lists what the histories must reach to mean anything.
var wanted = []string{
	"caller run", "issued run", "caller run by a successor", "caller joined", "issued joined", "caller answered",
	"issued answered", "caller no", "issued no", "caller unknown", "issued unknown", "answer from the log",
	"successor refused", "late dispatch refused",
}
