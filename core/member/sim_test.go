package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// network delivers the messages of machines in virtual time.
type network struct {
	rng    *rand.Rand
	start  time.Time
	now    time.Time
	nodes  map[string]*simNode // by address
	events eventQueue
	seq    int
	loss   float64                   // probability that a message is lost, each way
	cut    func(from, to Entry) bool // nil: all links work
	sent   map[string]int            // bytes sent by each node, answers included
	recv   map[string]int
	count  bool
}

// simNode is a machine with its place in the network.
type simNode struct {
	*Machine
	down   bool // killed
	paused bool // receives nothing and isn't ticked
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newNetwork(seed uint64) *network {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	return &network{
		rng: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		nodes: map[string]*simNode{}, sent: map[string]int{}, recv: map[string]int{},
	}
}

// add starts a node; its ticks continue until it is killed.
func (w *network) add(name, zone string, seeds ...string) *simNode {
	cfg := Config{
		Name: name, Incarnation: uint64(w.now.UnixNano()), Addr: name + ":1", Zone: zone,
		Seeds: seeds, RandSeed: w.rng.Uint64(),
	}
	n := &simNode{Machine: New(cfg, w.now)}
	w.nodes[cfg.Addr] = n
	w.after(time.Duration(w.rng.Int64N(int64(TickInterval))), func() { w.tick(n) })
	return n
}

func (w *network) tick(n *simNode) {
	if n.down {
		return
	}
	if !n.paused {
		w.deliver(n, n.Tick(w.now))
	}
	w.after(TickInterval, func() { w.tick(n) })
}

func (w *network) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, run: run})
}

func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// runUntil runs until ok holds or the time is over, and returns the time taken.
func (w *network) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	from := w.now
	for w.now.Sub(from) < limit {
		if ok() {
			return w.now.Sub(from), true
		}
		w.run(20 * time.Millisecond)
	}
	return limit, ok()
}

// link calls run after the delay of a message unless it is lost.
func (w *network) link(from *simNode, addr string, run func(to *simNode)) {
	if w.rng.Float64() < w.loss {
		return
	}
	delay := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
	w.after(delay, func() {
		to, ok := w.nodes[addr]
		if !ok || to.down || to.paused || from.down {
			return
		}
		if w.cut != nil && w.cut(from.Self(), to.Self()) {
			return
		}
		run(to)
	})
}

func (w *network) deliver(from *simNode, sends []Message) {
	for _, s := range sends {
		if s.Probe != nil {
			w.deliverProbe(from, s)
			continue
		}
		w.exchange(from, s, func(p Packet) { w.deliver(from, from.ReceiveReply(w.now, s.ID, p)) })
	}
}

func (w *network) exchange(from *simNode, s Message, answered func(Packet)) {
	w.account(from.Self().Name, s.Addr, s.Packet)
	w.link(from, s.Addr, func(to *simNode) {
		reply, more := to.Receive(w.now, *s.Packet)
		w.deliver(to, more)
		w.account(to.Self().Name, from.Self().Addr, &reply)
		w.link(to, from.Self().Addr, func(*simNode) { answered(reply) })
	})
}

func (w *network) deliverProbe(from *simNode, s Message) {
	w.account(from.Self().Name, s.Addr, s.Probe)
	w.link(from, s.Addr, func(helper *simNode) {
		ps := helper.StartProbe(w.now, *s.Probe)
		w.exchange(helper, ps, func(p Packet) {
			w.deliver(helper, helper.ReceiveReply(w.now, ps.ID, p))
			rep := ProbeReply{Target: s.Probe.Target, Reached: true}
			w.account(helper.Self().Name, from.Self().Addr, &rep)
			w.link(helper, from.Self().Addr, func(*simNode) { from.ReceiveProbeReply(w.now, s.ID, rep) })
		})
	})
}

// frameBytes is the cost of a message besides its payload: an open frame with
// the kind, or a head frame, and an end frame, 9 bytes each.
const frameBytes = 19

func (w *network) account(from, toAddr string, msg any) {
	if !w.count {
		return
	}
	n := encodedSize(msg) + frameBytes
	w.sent[from] += n
	if to, ok := w.nodes[toAddr]; ok {
		w.recv[to.Self().Name] += n
	}
}

// fleet starts zones of n nodes each; the first two nodes of the first zone are
// the seeds.
func (w *network) fleet(zones, n int) []*simNode {
	var nodes []*simNode
	for z := range zones {
		for i := range n {
			zone := fmt.Sprintf("zone%02d", z)
			nodes = append(nodes, w.add(fmt.Sprintf("%s-%03d", zone, i), zone, "zone00-000:1", "zone00-001:1"))
		}
	}
	return nodes
}
