package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// network delivers the messages of machines in virtual time.
type network struct {
	rng      *rand.Rand
	start    time.Time
	now      time.Time
	nodes    map[string]*simNode // by address
	events   eventQueue
	seq      int
	loss     float64                   // probability that a message is lost, in each direction
	delay    time.Duration             // further delay of each message, in each direction
	blocked  func(from, to Entry) bool // nil: all links work
	sent     map[string]int            // bytes sent by each node, including replies
	received map[string]int
	counting bool
	messages int // messages sent, including replies

	// With a handling time, all nodes share one processor, which handles the messages in the
	// order of their arrival.
	handlingTime    time.Duration
	exchangeTimeout time.Duration // after which the sender drops a reply
	idleAt          time.Time     // when the processor has handled all messages that arrived
}

// simNode is a machine with its state in the network.
type simNode struct {
	*Machine
	down   bool // the process was killed
	paused bool // the process receives nothing and Tick is not called
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
		nodes: map[string]*simNode{}, sent: map[string]int{}, received: map[string]int{},
	}
}

// startNode starts a node and calls Tick on it until it is down.
func (w *network) startNode(name, zone string, seeds ...string) *simNode {
	cfg := Config{
		Name: name, Incarnation: uint64(w.now.UnixNano()), Addr: name + ":1", Zone: zone,
		Seeds: seeds, RandSeed: w.rng.Uint64(),
	}
	n := &simNode{Machine: New(cfg, w.now)}
	w.nodes[cfg.Addr] = n
	w.schedule(time.Duration(w.rng.Int64N(int64(TickInterval))), func() { w.tick(n) })
	return n
}

func (w *network) tick(n *simNode) {
	if n.down {
		return
	}
	if !n.paused {
		w.deliver(n, n.Tick(w.now))
	}
	w.schedule(TickInterval, func() { w.tick(n) })
}

func (w *network) schedule(d time.Duration, run func()) {
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

// runUntil advances the time until ok holds or the limit is reached, and
// returns the elapsed time.
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

// transmit calls run after the delay of a message, unless the message is lost.
func (w *network) transmit(from *simNode, addr string, run func(to *simNode)) {
	if w.rng.Float64() < w.loss {
		return
	}
	w.messages++
	delay := w.delay + 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
	w.schedule(delay, func() { w.handle(func() { w.receive(from, addr, run) }) })
}

// handle calls run once the processor has handled the messages before it.
func (w *network) handle(run func()) {
	if w.handlingTime == 0 {
		run()
		return
	}
	if w.idleAt.Before(w.now) {
		w.idleAt = w.now
	}
	w.idleAt = w.idleAt.Add(w.handlingTime)
	w.schedule(w.idleAt.Sub(w.now), run)
}

func (w *network) receive(from *simNode, addr string, run func(to *simNode)) {
	to, ok := w.nodes[addr]
	if !ok || to.down || to.paused || from.down {
		return
	}
	if w.blocked != nil && w.blocked(from.Self(), to.Self()) {
		return
	}
	run(to)
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

func (w *network) exchange(from *simNode, s Message, onReply func(Packet)) {
	w.countBytes(from.Self().Name, s.Addr, s.Packet)
	sent := w.now
	w.transmit(from, s.Addr, func(to *simNode) {
		reply, more := to.Receive(w.now, *s.Packet)
		w.deliver(to, more)
		w.countBytes(to.Self().Name, from.Self().Addr, &reply)
		w.transmit(to, from.Self().Addr, func(*simNode) {
			if w.exchangeTimeout == 0 || w.now.Sub(sent) < w.exchangeTimeout {
				onReply(reply)
			}
		})
	})
}

func (w *network) deliverProbe(from *simNode, s Message) {
	w.countBytes(from.Self().Name, s.Addr, s.Probe)
	w.transmit(from, s.Addr, func(helper *simNode) {
		ps := helper.StartProbe(w.now, *s.Probe)
		w.exchange(helper, ps, func(p Packet) {
			w.deliver(helper, helper.ReceiveReply(w.now, ps.ID, p))
			rep := ProbeReply{Target: s.Probe.Target, Reached: true}
			w.countBytes(helper.Self().Name, from.Self().Addr, &rep)
			w.transmit(helper, from.Self().Addr, func(*simNode) { from.ReceiveProbeReply(w.now, s.ID, rep) })
		})
	})
}

// frameBytes is the overhead of a message beyond its payload: an open frame
// with the kind, or a head frame, and an end frame, 9 bytes each.
const frameBytes = 19

func (w *network) countBytes(from, toAddr string, msg any) {
	if !w.counting {
		return
	}
	n := encodedSize(msg) + frameBytes
	w.sent[from] += n
	if to, ok := w.nodes[toAddr]; ok {
		w.received[to.Self().Name] += n
	}
}

// startFleet starts zones of n nodes each. The first two nodes of the first
// zone are the seeds.
func (w *network) startFleet(zones, n int) []*simNode {
	var nodes []*simNode
	for z := range zones {
		for i := range n {
			zone := fmt.Sprintf("zone%02d", z)
			nodes = append(nodes, w.startNode(fmt.Sprintf("%s-%03d", zone, i), zone, "zone00-000:1", "zone00-001:1"))
		}
	}
	return nodes
}
