package chains

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/retry"
)

// Load plays load on chains of services in virtual time: entries call the service of the
// class, P1 or P2, which calls its second service, which calls "deep" several times in sequence.
// Class U calls "deep" directly. Nodes use the gates, throttles and retry limits of the product.
type Load struct {
	now     time.Time
	events  events
	rng     *rand.Rand
	whole   bool // targets of "deep" report a service time, so that chains are judged as a whole
	entries []*node
	targets map[string][]*node
	Shed    func(t time.Duration) float64 // fraction that "deep" sheds
	Slots   func(t time.Duration) int     // of each target of "deep"
	Results map[string]*Result
	seq     int
}

// Result counts what becomes of the requests of a class.
type Result struct {
	Offered int
	OK      int // served within the deadline
	Refused int // before any work
	Failed  int // after work began
	Wasted  int // calls that upstreams ran for requests or tries that failed
	// Others and OthersOK are Offered and OK without HotCustomer.
	Others, OthersOK int
}

type node struct {
	load     *Load
	id, name string
	gate     *admit.Gate[*item]
	throttle *admit.Throttle
	ratio    *retry.RatioLimiter
}

// Class describes the requests of a class.
type Class struct {
	Name       string
	Importance int
	Calls      int // of "deep" behind one request; 1 is a direct call
	PerSec     func(t time.Duration) float64
	Customer   func(rng *rand.Rand) string
	Timeout    time.Duration
	AtOnce     int // times that a refused or failed request is repeated at once
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Sizes and times of the load. A deep target serves 16/50 ms = 320 calls a second, all 2,240.
const (
	DeepSlots   = 16
	deepTargets = 7
	entryCount  = 8
	second      = "/second" // follows the name of the class in that of its second service
	hop         = time.Millisecond
	deepTime    = 50 * time.Millisecond
	middleTime  = 5 * time.Millisecond
	// returnDivisor is the part of the time left that callers wait at most.
	returnDivisor = 3
)

var epoch = time.Unix(1_000_000_000, 0)

var services = []string{"P1", "P2", "P1/second", "P2/second", "deep"}

// New returns a load. whole says whether the targets of "deep" report a service time.
func New(whole bool) *Load {
	l := &Load{
		now: epoch, rng: rand.New(rand.NewPCG(1, 2)), whole: whole, targets: map[string][]*node{}, Results: map[string]*Result{},
		Shed: func(time.Duration) float64 { return 0 }, Slots: func(time.Duration) int { return DeepSlots },
	}
	for _, name := range services {
		n := 4
		if name == "deep" {
			n = deepTargets
		}
		for i := range n {
			l.targets[name] = append(l.targets[name], l.newNode(name, i))
		}
	}
	for i := range entryCount {
		l.entries = append(l.entries, l.newNode("entry", i))
	}
	return l
}

func (l *Load) newNode(name string, i int) *node {
	return &node{
		load: l, id: fmt.Sprint(name, "-", i), name: name, gate: admit.NewGate[*item](admit.DefaultMaxWait), throttle: admit.NewThrottle(),
		ratio: retry.NewRatioLimiter(retry.WithRatio(0.2), retry.WithMinRetries(4)),
	}
}

func (l *Load) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(&l.events, event{l.now.Add(d), l.seq, do})
}

// Run plays the classes for a time and lets the requests end.
func (l *Load) Run(d time.Duration, classes ...Class) {
	for _, c := range classes {
		l.Results[c.Name] = &Result{}
		l.arrive(c, d)
	}
	for _, name := range services {
		for _, n := range l.targets[name] {
			l.poll(n, d)
		}
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.do()
	}
}

func (l *Load) elapsed() time.Duration { return l.now.Sub(epoch) }

func (l *Load) poll(n *node, d time.Duration) {
	run, dropped := n.gate.Poll(l.now, n.limit())
	n.apply(run, dropped)
	if l.elapsed() < d+10*time.Second {
		l.after(20*time.Millisecond, func() { l.poll(n, d) })
	}
}

func (l *Load) arrive(c Class, d time.Duration) {
	if l.elapsed() >= d {
		return
	}
	customer := c.Customer(l.rng)
	l.Results[c.Name].Offered++
	if customer != HotCustomer {
		l.Results[c.Name].Others++
	}
	l.seq++
	l.root(c, fmt.Sprint(c.Name, l.seq), customer, l.now.Add(c.Timeout), c.AtOnce)
	l.after(time.Duration(l.rng.ExpFloat64()/c.PerSec(l.elapsed())*float64(time.Second)), func() { l.arrive(c, d) })
}

// root handles a root request at an entry.
func (l *Load) root(c Class, id, customer string, deadline time.Time, atOnce int) {
	n := l.entries[l.rng.IntN(len(l.entries))]
	res, service := l.Results[c.Name], c.Name
	if c.Calls == 1 {
		service = "deep"
	}
	rank := admit.Rank(c.Importance, n.throttle.Demand(l.now, service, customer), id)
	again := func(after time.Duration, end func()) {
		left := deadline.Sub(l.now)
		switch {
		case atOnce > 0:
			l.after(hop, func() { l.root(c, id, customer, deadline, atOnce-1) })
		case c.AtOnce == 0 && after > 0 && left > 700*time.Millisecond:
			l.after(min(after, left/returnDivisor), func() { l.root(c, id, customer, deadline, 0) })
		default:
			end()
		}
	}
	if _, ok := n.throttle.AdmitChain(l.now, service, customer, rank, 0.2); !ok {
		again(admit.ChainRetryAfter(deadline.Sub(l.now), l.rng.Float64()), func() { res.Refused++ })
		return
	}
	ok := n.throttle.Admit(l.now, service, customer, rank)
	weight := n.throttle.TakeWeight(service, customer)
	if !ok {
		again(time.Second, func() { res.Refused++ })
		return
	}
	call := &call{rank: rank, customer: customer, weight: weight, deadline: deadline, wait: c.Timeout / 8, deep: c.Calls}
	n.call(service, call, false, 0, func(served bool) {
		switch {
		case served && !l.now.After(deadline):
			res.OK++
			if customer != HotCustomer {
				res.OthersOK++
			}
		case served || call.worked > 0:
			res.Wasted += call.worked
			again(0, func() { res.Failed++ })
		default:
			again(time.Second, func() { res.Refused++ })
		}
	})
}

// call is what the calls of one root request share.
type call struct {
	rank     uint32
	customer string
	weight   float64
	deadline time.Time
	wait     time.Duration // maximum in a queue
	deep     int
	worked   int // calls that upstreams ran
}

// call sends a call to a target of a service, with one retry within the ratio and attempts at
// three more targets if nodes refuse it.
func (n *node) call(service string, c *call, child bool, refusals int, end func(ok bool)) {
	l := n.load
	if refusals == 0 && service == "deep" { // the only one that sheds; a node has a ratio for each service
		n.ratio.RecordFirst(l.now)
	}
	n.attempt(service, c, child, func(out retry.Outcome) {
		switch {
		case out == retry.Success:
			end(true)
		case out == retry.Refused && refusals < 3 && c.rank <= n.throttle.Level(l.now, service):
			n.call(service, c, child, refusals+1, end)
		case out == retry.Shed && refusals < 10 && n.ratio.Allow(l.now):
			n.call(service, c, child, 10, end)
		default:
			end(false)
		}
	})
}

func (n *node) attempt(service string, c *call, child bool, end func(retry.Outcome)) {
	l := n.load
	to := l.targets[service][l.rng.IntN(len(l.targets[service]))]
	l.after(hop, func() {
		to.serve(c, child, func(out retry.Outcome) {
			f := to.gate.Feedback(l.now, to.limit(), c.customer)
			if l.whole && service == "deep" {
				f.ServiceTime = deepTime.Microseconds()
				to.gate.SetChains(true)
			}
			f = to.throttle.MergeChildren(l.now, service, c.customer, f)
			l.after(hop, func() {
				n.throttle.RecordFeedback(l.now, service, to.id, c.customer, f)
				end(out)
			})
		})
	})
}

func (n *node) limit() int {
	if n.name == "deep" {
		return n.load.Slots(n.load.elapsed())
	}
	return 100_000
}

// item is a call at a gate.
type item struct{ start, refuse func() }

// serve handles a call at its target.
func (n *node) serve(c *call, child bool, end func(retry.Outcome)) {
	l := n.load
	n.throttle.RecordCall(l.now, n.name)
	it := &item{start: func() { n.work(c, end) }, refuse: func() { end(retry.Refused) }}
	d, dropped := n.gate.Arrive(l.now, n.limit(), admit.Item[*item]{
		Rank: c.rank, ChildCall: child, Customer: c.customer, Weight: c.weight, Deadline: c.deadline, MaxWait: c.wait, Value: it,
	})
	if d == admit.Admitted {
		it.start()
	}
	n.apply(nil, dropped)
}

func (n *node) apply(run []admit.Item[*item], dropped []admit.Dropped[*item]) {
	for _, it := range run {
		it.Value.start()
	}
	for _, d := range dropped {
		d.Item.Value.refuse()
	}
}

// work runs a call at the upstream. That of "deep" sheds at once.
func (n *node) work(c *call, end func(retry.Outcome)) {
	l := n.load
	finish := func(out retry.Outcome, took time.Duration) {
		if out != retry.Failed {
			n.gate.Outcomes.Record(l.now, out == retry.Success)
		}
		run, dropped := n.gate.Finish(l.now, n.limit(), took)
		n.apply(run, dropped)
		end(out)
	}
	if n.name == "deep" {
		if l.rng.Float64() < l.Shed(l.elapsed()) {
			finish(retry.Shed, 0)
			return
		}
		c.worked++
		l.after(deepTime, func() { finish(retry.Success, deepTime) })
		return
	}
	began := l.now
	l.after(middleTime, func() {
		c.worked++
		service, calls := "deep", c.deep
		if !strings.HasSuffix(n.name, second) {
			service, calls = n.name+second, 1
		}
		n.throttle.RecordChild(l.now, n.name, service)
		n.children(service, calls, c, func(ok bool) {
			if !ok {
				finish(retry.Failed, 0)
				return
			}
			n.throttle.RecordCompleted(l.now, n.name, map[string]int{service: calls})
			finish(retry.Success, l.now.Sub(began))
		})
	})
}

// children makes calls one after the other until one fails.
func (n *node) children(service string, calls int, c *call, end func(ok bool)) {
	if calls == 0 {
		end(true)
		return
	}
	n.call(service, c, true, 0, func(ok bool) {
		if !ok {
			end(false)
			return
		}
		n.children(service, calls-1, c, end)
	})
}

// Constant returns a rate that doesn't change.
func Constant(perSec float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSec }
}

// AnyOf returns one of n customers with equal rates.
func AnyOf(n int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprint("c", rng.IntN(n)) }
}

// Between returns x within a part of the load and otherwise rest.
func Between[T any](from, to time.Duration, x, rest T) func(time.Duration) T {
	return func(t time.Duration) T {
		if t >= from && t < to {
			return x
		}
		return rest
	}
}

// HotCustomer is the customer that may have a higher rate than the others.
const HotCustomer = "c0"

// OneOf84 returns the customers of a class of which one has n times its usual rate.
func OneOf84(n int) func(*rand.Rand) string {
	return func(rng *rand.Rand) string { return fmt.Sprint("c", max(0, rng.IntN(83+n)-n+1)) }
}
