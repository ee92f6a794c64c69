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

// fixed says that no flag changes the histories.
var fixed = true

// TestMain fixes the seed and the size of the histories unless a flag is given.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { fixed = fixed && !strings.HasPrefix(f.Name, "rapid.") })
	if fixed {
		for name, value := range map[string]string{"seed": "20261204", "steps": "250", "checks": "600", "nofailfile": "true"} {
			_ = flag.Set("rapid."+name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	leaseTime = 2 * time.Second // section 6.1 of the design
	attempts  = 3
	fleet     = 3
)

// world is a fleet of nodes in one zone, its log and its callers, in virtual
// time. Clocks are off by up to 1 s, so that two differ by at most Skew.
type world struct {
	*rapid.T
	now      time.Time // true time
	nodes    []*fakeNode
	epochs   [][]int     // members by epoch
	majority []time.Time // when a majority of an epoch had adopted a later one
	log      [][]byte
	logUp    bool
	keys     []*fakeKey
	calls    []*fakeCall // with a ticket
	waits    []*fakeCall // joined another request
	seq      int
	reached  map[string]int // by what happened
}

type fakeNode struct {
	id            int
	offset        time.Duration
	alive, paused bool
	cut           bool // partitioned from the other nodes and the log
	adopted       int
	lease         time.Time // end, true time
	incarnation   uint64
	issuer        *Issuer
	table         *Table
	index         *Index
	queue         *Queue
	read          int
}

type fakeKey struct {
	key        Key
	dispatches int       // attempts, with those that were proven not to be run
	sent       *fakeCall // request that reached the upstream
	refusedNo  int       // newest request that was told executed "no"
	body       string    // response that was given to a caller
}

func (k *fakeKey) kind() string {
	if k.key.Kind == KindIssued {
		return "issued"
	}
	return "caller"
}

type fakeCall struct {
	seq      int
	k        *fakeKey
	n        *fakeNode
	inc      uint64
	ticket   *Ticket
	wait     *Waiter
	deadline time.Time
	used     int
	cleared  bool // Dispatch allowed it
	sent     bool
}

func newWorld(t *rapid.T, reached map[string]int) *world {
	w := &world{T: t, reached: reached, now: epoch, logUp: true, epochs: [][]int{{0, 1, 2}}, majority: make([]time.Time, 1)}
	for id := range fleet {
		n := &fakeNode{id: id, offset: time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "clockMs")) * time.Millisecond}
		w.nodes = append(w.nodes, n)
		w.boot(n)
	}
	w.now = w.now.Add(10 * time.Second) // keys of the first epoch are newer than the start
	return w
}

func (w *world) boot(n *fakeNode) {
	n.alive, n.paused = true, false
	n.incarnation++
	n.lease = time.Time{}
	now := w.clock(n)
	n.issuer, _ = NewIssuer(fmt.Sprintf("node%d", n.id), n.incarnation, now, WithWindow(64))
	n.index, n.read = NewIndex(1<<16), 0
	n.queue = NewQueue(n.issuer.Instance, n.incarnation, WithQueueBytes(1<<11))
	n.table = NewTable(n.issuer, now, WithIndex(n.index), WithQueue(n.queue), WithMaxEntries(6), WithResponseBytes(20, 12))
	w.adopt(n)
}

func (w *world) clock(n *fakeNode) time.Time { return w.now.Add(n.offset) }

// adopt gives a node the newest epoch and notes which epochs a majority of
// their members has left.
func (w *world) adopt(n *fakeNode) {
	n.adopted = len(w.epochs) - 1
	for e, members := range w.epochs {
		count := 0
		for _, m := range members {
			if m < len(w.nodes) && w.nodes[m].adopted > e {
				count++
			}
		}
		if w.majority[e].IsZero() && 2*count > len(members) {
			w.majority[e] = w.now
		}
	}
}

// owner picks the owner of a key in an epoch by rendezvous hashing.
func (w *world) owner(e int, k Key) int {
	best, top := 0, uint64(0)
	for _, m := range w.epochs[e] {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d %x", m, k.UUID)
		if s := h.Sum64(); s >= top {
			best, top = m, s
		}
	}
	return best
}

func (w *world) ownership(n *fakeNode, k Key) Ownership {
	own := Ownership{Owner: w.owner(n.adopted, k) == n.id, LeaseValid: w.now.Before(n.lease)}
	for e, at := range w.majority[:n.adopted] {
		retired := at.Add(leaseTime)
		own.LeaseValid = own.LeaseValid && !at.IsZero() && !w.now.Before(retired)
		if since := retired.Add(n.offset); w.owner(e, k) != n.id && since.After(own.ExclusiveSince) {
			own.ExclusiveSince = since
		}
	}
	return own
}

// pick draws one of the items that a step can use. Without any it skips the
// step.
func pick[T any](w *world, items []T, ok func(T) bool) T {
	fit := slices.DeleteFunc(slices.Clone(items), func(v T) bool { return !ok(v) })
	if len(fit) == 0 {
		w.Skip("nothing to pick")
	}
	return rapid.SampledFrom(fit).Draw(w.T, "pick")
}

func (w *world) node(ok func(*fakeNode) bool) *fakeNode { return pick(w, w.nodes, ok) }

func running(n *fakeNode) bool { return n.alive && !n.paused }

// confirm renews the lease of a node if a majority of its epoch confirms.
func (w *world) confirm(n *fakeNode) {
	count := 0
	for _, id := range w.epochs[n.adopted] {
		m := w.nodes[id]
		if running(m) && m.adopted == n.adopted && (m == n || !m.cut && !n.cut) {
			count++
		}
	}
	if running(n) && 2*count > len(w.epochs[n.adopted]) {
		n.lease = w.now.Add(leaseTime)
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		w.confirm(n)
	}
}

func (w *world) newKey() {
	k := &fakeKey{}
	n := w.node(running)
	if rapid.Bool().Draw(w.T, "issued") {
		keys, err := n.issuer.Issue(w.clock(n), "c", 1)
		if err != nil {
			w.Skip("window is full")
		}
		k.key = keys[0]
	} else {
		ahead := rapid.SampledFrom([]int{-3900, -1000, 0, 0, 1000, 2000, 2100, 3900}).Draw(w.T, "aheadMs")
		k.key = callerKey(w.clock(n).Add(time.Duration(ahead)*time.Millisecond), byte(len(w.keys)))
	}
	w.keys = append(w.keys, k)
}

// request sends a key to an entry node, which forwards it to the owner that it
// knows.
func (w *world) request() {
	k := pick(w, w.keys[max(0, len(w.keys)-6):], func(*fakeKey) bool { return true })
	entry := w.node(running)
	n := w.nodes[w.owner(entry.adopted, k.key)]
	if k.key.Kind == KindIssued {
		n = w.nodes[int(k.key.Instance[4]-'0')]
	}
	if running(n) && rapid.Bool().Draw(w.T, "direct") {
		entry = n
	}
	w.seq++
	now := w.clock(n)
	req := &Request{Key: k.key, Route: "r", Fingerprint: Fingerprint{Method: "POST", Path: "/p"}, Call: model.Call{Customer: "c", Root: "root", Attempts: attempts}}
	req.Call.Deadline = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(w.T, "deadline")) * time.Second)
	if rapid.IntRange(0, 9).Draw(w.T, "other") == 0 {
		req.Fingerprint.Path = "/other"
	}
	c := &fakeCall{seq: w.seq, k: k, n: n, inc: n.incarnation, deadline: req.Call.Deadline}
	gone := k.key.Kind == KindIssued && k.key.Incarnation != n.incarnation
	if !running(n) || gone || n != entry && (n.cut || entry.cut) {
		c.n, c.inc = entry, entry.incarnation
		w.decided(c, entry.table.Resolve(w.clock(entry), req))
		return
	}
	own := w.ownership(n, k.key)
	d := n.table.Claim(now, own, req)
	if d.Verdict == Refuse && d.Refusal.Reason == refuse.OutcomeUnknown && own.LeaseValid && k.sent == nil {
		w.reached["successor refused"]++
	}
	w.decided(c, d)
}

func (w *world) decided(c *fakeCall, d Decision) {
	switch d.Verdict {
	case Run:
		c.ticket = d.Ticket
		w.calls = append(w.calls, c)
	case Join:
		w.reached[c.k.kind()+" joined"]++
		c.wait = d.Waiter
		w.waits = append(w.waits, c)
	case Replay:
		if c.k.sent != nil && (c.n != c.k.sent.n || c.n.incarnation != c.k.sent.inc) {
			w.reached["answer from the log"]++
		}
		w.reached[c.k.kind()+" answered"]++
		if c.k.body == "" || string(d.Response.Body) != c.k.body {
			w.Fatalf("key %v: response %q differs from %q", c.k.key, d.Response.Body, c.k.body)
		}
	case Refuse:
		w.refused(c, d.Refusal)
	}
}

// refused checks that executed "no" holds for this and all earlier requests.
func (w *world) refused(c *fakeCall, err *refuse.Error) {
	w.reached[c.k.kind()+" "+string(err.Executed)]++
	if err.Executed != refuse.NotExecuted {
		return
	}
	if c.k.sent != nil && c.k.sent.seq <= c.seq {
		w.Fatalf("key %v: request %d was told %v, but request %d had been sent", c.k.key, c.seq, err, c.k.sent.seq)
	}
	c.k.refusedNo = max(c.k.refusedNo, c.seq)
}

// call picks a call with a ticket whose node can act.
func (w *world) call(ok func(*fakeCall) bool) *fakeCall {
	return pick(w, w.calls, func(c *fakeCall) bool { return running(c.n) && c.n.incarnation == c.inc && ok(c) })
}

func claimed(c *fakeCall) bool { return !c.cleared }

func cleared(c *fakeCall) bool { return c.cleared && !c.sent }

func (w *world) dispatch() {
	c := w.call(claimed)
	now, own := w.clock(c.n), w.ownership(c.n, c.k.key)
	if c.used == c.ticket.Attempts {
		w.release(c, refuse.New(refuse.AttemptsExhausted, "spent"))
		return
	}
	if err := c.ticket.Dispatch(now, own); err != nil {
		w.reached["late dispatch refused"]++
		w.release(c, err)
		return
	}
	if c.k.key.Kind == KindCaller && !(own.Owner && own.LeaseValid) || !now.Before(c.deadline) {
		w.Fatalf("key %v: dispatched after the lease or the deadline", c.k.key)
	}
	c.cleared = true
	c.used++
	c.k.dispatches++
	if c.k.dispatches > attempts {
		w.Fatalf("key %v: %d attempts exceed the budget of its root", c.k.key, c.k.dispatches)
	}
}

// send lets the upstream run the request. A node may pause between the last
// check and this step.
func (w *world) send(c *fakeCall) {
	c.sent = true
	w.reached[c.k.kind()+" run"]++
	if c.n.adopted > 0 || c.inc > 1 {
		w.reached[c.k.kind()+" run by a successor"]++
	}
	if c.k.sent != nil {
		w.Fatalf("key %v: ran for request %d and for request %d", c.k.key, c.k.sent.seq, c.seq)
	}
	c.k.sent = c
	if c.seq <= c.k.refusedNo {
		w.Fatalf("key %v: request %d ran after a request with the key was told no", c.k.key, c.seq)
	}
}

func (w *world) release(c *fakeCall, why *refuse.Error) {
	w.refused(c, c.ticket.Release(c.ticket.Attempts-c.used, why))
	w.end(c)
}

func (w *world) end(c *fakeCall) {
	w.calls = slices.DeleteFunc(w.calls, func(o *fakeCall) bool { return o == c })
}

func (w *world) finish() {
	c := w.call(func(c *fakeCall) bool { return c.sent })
	if rapid.IntRange(0, 3).Draw(w.T, "lost") == 0 {
		w.refused(c, c.ticket.FinishUnknown(refuse.New(refuse.UpstreamFailed, "connection reset")))
	} else {
		c.k.body = fmt.Sprintf("response %02d", c.seq)[:rapid.IntRange(8, 11).Draw(w.T, "bytes")]
		c.ticket.Finish(w.clock(c.n), &Response{Status: 201, Body: []byte(c.k.body)})
	}
	w.end(c)
}
