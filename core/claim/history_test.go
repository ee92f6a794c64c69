package claim

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"pgregory.net/rapid"
)

// defaultFlags says that no command line flag changes the histories.
var defaultFlags = true

// TestMain fixes the seed and the number of histories unless a flag of rapid is
// given.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { defaultFlags = defaultFlags && !strings.HasPrefix(f.Name, "rapid.") })
	if defaultFlags {
		for name, value := range map[string]string{"seed": "20261204", "steps": "250", "checks": "600", "nofailfile": "true"} {
			_ = flag.Set("rapid."+name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	leaseTime = 2 * time.Second // section 6.1 of the design
	attempts  = 3
	fleetSize = 3
)

// simulation runs a fleet of nodes in one zone, the log and the callers in
// virtual time. The clock of each node is off by up to 1 s, so that two of them
// differ by at most MaxClockSkew.
type simulation struct {
	*rapid.T
	now          time.Time // true time
	nodes        []*fakeNode
	epochs       [][]int     // members by epoch
	majorityLeft []time.Time // by epoch: when a majority of its members had adopted a later one
	log          [][]byte
	logUp        bool
	keys         []*fakeKey
	activeCalls  []*fakeCall // requests with a ticket
	joinedCalls  []*fakeCall // requests that joined another one
	seq          int
	coverage     map[string]int // number of occurrences by event
}

// fakeNode is a node with its view of the epochs and of the log.
type fakeNode struct {
	id            int
	offset        time.Duration
	alive, paused bool
	partitioned   bool // from the other nodes and the log
	adopted       int
	leaseEnd      time.Time // in true time
	incarnation   uint64
	issuer        *Issuer
	table         *Table
	index         *Index
	queue         *Queue
	readBatches   int // number of batches of the log that were applied to index
}

// fakeKey is an idempotency key and what callers and the upstream have seen of
// it.
type fakeKey struct {
	key           Key
	dispatches    int       // attempts, including those that were proven not to have run
	sentBy        *fakeCall // request that reached the upstream
	lastRefusedNo int       // newest request that was refused with executed "no"
	responseBody  string    // response that a caller received
}

func (k *fakeKey) kind() string {
	if k.key.Kind == KindIssued {
		return "issued"
	}
	return "caller"
}

// fakeCall is a request with a key at the node that decides about it.
type fakeCall struct {
	seq             int
	k               *fakeKey
	node            *fakeNode
	incarnation     uint64
	ticket          *Ticket
	waiter          *Waiter
	deadline        time.Time
	attemptsUsed    int
	dispatchAllowed bool // Dispatch returned nil
	sent            bool
}

func newSimulation(t *rapid.T, coverage map[string]int) *simulation {
	sim := &simulation{T: t, coverage: coverage, now: baseTime, logUp: true, epochs: [][]int{{0, 1, 2}}, majorityLeft: make([]time.Time, 1)}
	for id := range fleetSize {
		n := &fakeNode{id: id, offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "clockMs")) * time.Millisecond}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
	}
	sim.now = sim.now.Add(10 * time.Second) // keys of the first epoch are newer than the start of the tables
	return sim
}

func (sim *simulation) start(n *fakeNode) {
	n.alive, n.paused = true, false
	n.incarnation++
	n.leaseEnd = time.Time{}
	now := sim.clock(n)
	n.issuer, _ = NewIssuer(fmt.Sprintf("node%d", n.id), n.incarnation, now, WithWindow(64))
	n.index, n.readBatches = NewIndex(1<<16), 0
	n.queue = NewQueue(n.issuer.Instance, n.incarnation, WithQueueBytes(1<<11))
	n.table = NewTable(n.issuer, now, WithIndex(n.index), WithQueue(n.queue), WithMaxEntries(6), WithResponseBytes(20, 12))
	sim.adopt(n)
}

func (sim *simulation) clock(n *fakeNode) time.Time { return sim.now.Add(n.offset) }

// adopt gives a node the newest epoch and records which epochs a majority of
// their members has left.
func (sim *simulation) adopt(n *fakeNode) {
	n.adopted = len(sim.epochs) - 1
	for e, members := range sim.epochs {
		count := 0
		for _, m := range members {
			if m < len(sim.nodes) && sim.nodes[m].adopted > e {
				count++
			}
		}
		if sim.majorityLeft[e].IsZero() && 2*count > len(members) {
			sim.majorityLeft[e] = sim.now
		}
	}
}

// owner selects the owner of a key in an epoch by rendezvous hashing.
func (sim *simulation) owner(e int, k Key) int {
	best, top := 0, uint64(0)
	for _, m := range sim.epochs[e] {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d %x", m, k.UUID)
		if s := h.Sum64(); s >= top {
			best, top = m, s
		}
	}
	return best
}

func (sim *simulation) ownership(n *fakeNode, k Key) Ownership {
	own := Ownership{Owner: sim.owner(n.adopted, k) == n.id, LeaseValid: sim.now.Before(n.leaseEnd)}
	for e, at := range sim.majorityLeft[:n.adopted] {
		retired := at.Add(leaseTime)
		own.LeaseValid = own.LeaseValid && !at.IsZero() && !sim.now.Before(retired)
		if since := retired.Add(n.offset); sim.owner(e, k) != n.id && since.After(own.ExclusiveSince) {
			own.ExclusiveSince = since
		}
	}
	return own
}

// pick draws one of the items that ok accepts, or skips the step if there is
// none.
func pick[T any](sim *simulation, items []T, ok func(T) bool) T {
	fit := slices.DeleteFunc(slices.Clone(items), func(v T) bool { return !ok(v) })
	if len(fit) == 0 {
		sim.Skip("nothing to pick")
	}
	return rapid.SampledFrom(fit).Draw(sim.T, "pick")
}

func (sim *simulation) pickNode(ok func(*fakeNode) bool) *fakeNode { return pick(sim, sim.nodes, ok) }

func running(n *fakeNode) bool { return n.alive && !n.paused }

// renewLease renews the lease of a node if a majority of its epoch confirms it.
func (sim *simulation) renewLease(n *fakeNode) {
	count := 0
	for _, id := range sim.epochs[n.adopted] {
		m := sim.nodes[id]
		if running(m) && m.adopted == n.adopted && (m == n || !m.partitioned && !n.partitioned) {
			count++
		}
	}
	if running(n) && 2*count > len(sim.epochs[n.adopted]) {
		n.leaseEnd = sim.now.Add(leaseTime)
	}
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, n := range sim.nodes {
		sim.renewLease(n)
	}
}

func (sim *simulation) newKey() {
	k := &fakeKey{}
	n := sim.pickNode(running)
	if rapid.Bool().Draw(sim.T, "issued") {
		keys, err := n.issuer.Issue(sim.clock(n), "c", 1)
		if err != nil {
			sim.Skip("window is full")
		}
		k.key = keys[0]
	} else {
		ahead := rapid.SampledFrom([]int{-3900, -1000, 0, 0, 1000, 2000, 2100, 3900}).Draw(sim.T, "aheadMs")
		k.key = callerKey(sim.clock(n).Add(time.Duration(ahead)*time.Millisecond), byte(len(sim.keys)))
	}
	sim.keys = append(sim.keys, k)
}

// sendRequest sends a request with a key to an entry node, which forwards it to
// the node that it takes for the owner.
func (sim *simulation) sendRequest() {
	k := pick(sim, sim.keys[max(0, len(sim.keys)-6):], func(*fakeKey) bool { return true })
	entry := sim.pickNode(running)
	n := sim.nodes[sim.owner(entry.adopted, k.key)]
	if k.key.Kind == KindIssued {
		n = sim.nodes[int(k.key.Instance[4]-'0')]
	}
	if running(n) && rapid.Bool().Draw(sim.T, "direct") {
		entry = n
	}
	sim.seq++
	now := sim.clock(n)
	req := &Request{Key: k.key, Route: "r", Fingerprint: Fingerprint{Method: "POST", Path: "/p"}, Call: model.Call{Customer: "c", Root: "root", Attempts: attempts}}
	req.Call.Deadline = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(sim.T, "deadline")) * time.Second)
	if rapid.IntRange(0, 9).Draw(sim.T, "other") == 0 {
		req.Fingerprint.Path = "/other"
	}
	c := &fakeCall{seq: sim.seq, k: k, node: n, incarnation: n.incarnation, deadline: req.Call.Deadline}
	gone := k.key.Kind == KindIssued && k.key.Incarnation != n.incarnation
	if !running(n) || gone || n != entry && (n.partitioned || entry.partitioned) {
		c.node, c.incarnation = entry, entry.incarnation
		sim.handleDecision(c, entry.table.Resolve(sim.clock(entry), req))
		return
	}
	own := sim.ownership(n, k.key)
	d := n.table.Claim(now, own, req)
	if d.Verdict == Refuse && d.Refusal.Reason == refuse.OutcomeUnknown && own.LeaseValid && k.sentBy == nil {
		sim.coverage["successor refused"]++
	}
	sim.handleDecision(c, d)
}

func (sim *simulation) handleDecision(c *fakeCall, d Decision) {
	switch d.Verdict {
	case Run:
		c.ticket = d.Ticket
		sim.activeCalls = append(sim.activeCalls, c)
	case Join:
		sim.coverage[c.k.kind()+" joined"]++
		c.waiter = d.Waiter
		sim.joinedCalls = append(sim.joinedCalls, c)
	case Replay:
		if c.k.sentBy != nil && (c.node != c.k.sentBy.node || c.node.incarnation != c.k.sentBy.incarnation) {
			sim.coverage["response from the log"]++
		}
		sim.coverage[c.k.kind()+" replayed"]++
		if c.k.responseBody == "" || string(d.Response.Body) != c.k.responseBody {
			sim.Fatalf("key %v: response %q differs from %q", c.k.key, d.Response.Body, c.k.responseBody)
		}
	case Refuse:
		sim.checkRefusal(c, d.Refusal)
	}
}

// checkRefusal checks that executed "no" is true for this request and all
// earlier ones.
func (sim *simulation) checkRefusal(c *fakeCall, err *refuse.Error) {
	sim.coverage[c.k.kind()+" "+string(err.Executed)]++
	if err.Executed != refuse.NotExecuted {
		return
	}
	if c.k.sentBy != nil && c.k.sentBy.seq <= c.seq {
		sim.Fatalf("key %v: request %d was refused with %v, but request %d had been sent", c.k.key, c.seq, err, c.k.sentBy.seq)
	}
	c.k.lastRefusedNo = max(c.k.lastRefusedNo, c.seq)
}

// pickCall draws a request with a ticket whose node is running.
func (sim *simulation) pickCall(ok func(*fakeCall) bool) *fakeCall {
	return pick(sim, sim.activeCalls, func(c *fakeCall) bool { return running(c.node) && c.node.incarnation == c.incarnation && ok(c) })
}

func notDispatched(c *fakeCall) bool { return !c.dispatchAllowed }

func notSent(c *fakeCall) bool { return c.dispatchAllowed && !c.sent }

func (sim *simulation) dispatch() {
	c := sim.pickCall(notDispatched)
	now, own := sim.clock(c.node), sim.ownership(c.node, c.k.key)
	if c.attemptsUsed == c.ticket.Attempts {
		sim.release(c, refuse.New(refuse.AttemptsExhausted, "no attempts are left"))
		return
	}
	if err := c.ticket.Dispatch(now, own); err != nil {
		sim.coverage["late dispatch refused"]++
		sim.release(c, err)
		return
	}
	if c.k.key.Kind == KindCaller && !(own.Owner && own.LeaseValid) || !now.Before(c.deadline) {
		sim.Fatalf("key %v: dispatched after the lease or the deadline", c.k.key)
	}
	c.dispatchAllowed = true
	c.attemptsUsed++
	c.k.dispatches++
	if c.k.dispatches > attempts {
		sim.Fatalf("key %v: %d attempts exceed the budget of its root", c.k.key, c.k.dispatches)
	}
}

// send runs the request at the upstream. It is a step of its own because a node
// may pause between the last check and the dispatch.
func (sim *simulation) send(c *fakeCall) {
	c.sent = true
	sim.coverage[c.k.kind()+" run"]++
	if c.node.adopted > 0 || c.incarnation > 1 {
		sim.coverage[c.k.kind()+" run by a successor"]++
	}
	if c.k.sentBy != nil {
		sim.Fatalf("key %v: ran for request %d and for request %d", c.k.key, c.k.sentBy.seq, c.seq)
	}
	c.k.sentBy = c
	if c.seq <= c.k.lastRefusedNo {
		sim.Fatalf("key %v: request %d ran after a request with the key was refused as not executed", c.k.key, c.seq)
	}
}

func (sim *simulation) release(c *fakeCall, why *refuse.Error) {
	sim.checkRefusal(c, c.ticket.Release(c.ticket.Attempts-c.attemptsUsed, why))
	sim.removeCall(c)
}

func (sim *simulation) removeCall(c *fakeCall) {
	sim.activeCalls = slices.DeleteFunc(sim.activeCalls, func(o *fakeCall) bool { return o == c })
}

func (sim *simulation) finish() {
	c := sim.pickCall(func(c *fakeCall) bool { return c.sent })
	if rapid.IntRange(0, 3).Draw(sim.T, "lost") == 0 {
		sim.checkRefusal(c, c.ticket.FinishUnknown(refuse.New(refuse.UpstreamFailed, "connection reset")))
	} else {
		c.k.responseBody = fmt.Sprintf("response %02d", c.seq)[:rapid.IntRange(8, 11).Draw(sim.T, "bytes")]
		c.ticket.Finish(sim.clock(c.node), &Response{Status: 201, Body: []byte(c.k.responseBody)})
	}
	sim.removeCall(c)
}
