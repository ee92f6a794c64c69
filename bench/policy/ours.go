package policy

import (
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/retry"
)

// rootAttempts is the attempt budget of a request: twice the calls of its
// chain.
const rootAttempts = 8

// pollEvery is the period in which nodes look after their queues.
const pollEvery = 20 * time.Millisecond

// hintEvery is the period in which nodes ask the load endpoint. The figure is
// up to that old when it is used.
const hintEvery = 500 * time.Millisecond

// ours drives the decision packages as a node does.
type ours struct {
	w     *world
	nodes []*node
}

// node is the state of one node: entry, caller side and target side.
type node struct {
	o       *ours
	in      *instance
	gate    *admit.Gate[*visit]
	limit   *limit.Limit
	reader  *admit.Throttle
	retries *retry.Policy
	targets []*picker.Set // by service
}

// call is a call of one service on behalf of a request.
type call struct {
	*request
	rank    uint32
	weight  float64
	depth   int
	budget  *retry.Budget
	tried   []string
	retried int
	end     func(ok bool, unused int)
}

// visit is an attempt of a call at a target.
type visit struct {
	*request
	rank   uint32
	weight float64
	depth  int
	left   int // tokens for calls below
	at     time.Time
	answer func(answer)
}

// answer is what a target returns.
type answer struct {
	status   status
	unused   int
	feedback admit.Feedback
}

func newOurs(w *world) control {
	o := &ours{w: w}
	for _, in := range w.instances {
		o.nodes = append(o.nodes, newNode(o, in))
	}
	return o
}

func newNode(o *ours, in *instance) *node {
	n := &node{
		o:       o,
		in:      in,
		gate:    admit.NewGate[*visit](admit.DefaultMaxWait),
		limit:   limit.New(),
		reader:  admit.NewThrottle(),
		retries: retry.NewPolicy(),
	}
	for _, ins := range o.w.services {
		set := picker.NewSet(o.w.site.Zones[in.zone])
		list := make([]picker.Target, 0, len(ins))
		for _, t := range ins {
			list = append(list, picker.Target{ID: t.id, Zone: o.w.site.Zones[t.zone]})
		}
		set.Update(list)
		n.targets = append(n.targets, set)
	}
	o.w.every(pollEvery, n.poll)
	n.limit.HintSlots(in.up.slots)
	o.w.every(hintEvery, func() { n.limit.HintLoad(o.w.now, in.up.load()) })
	return n
}

func (o *ours) submit(r *request, end func(ok bool)) {
	n := o.nodes[r.entry.index]
	now := o.w.now
	name, customer := n.name(0), n.customer(r)
	rank := admit.Rank(r.importance, n.reader.Demand(now, name, customer), r.root)
	if !n.reader.Admit(now, name, customer, rank) {
		end(false)
		return
	}
	n.attempt(&call{
		request: r,
		rank:    rank,
		weight:  n.reader.TakeWeight(name, customer),
		budget:  retry.NewBudget(rootAttempts),
		end:     func(ok bool, _ int) { end(ok) },
	})
}

func (n *node) name(depth int) string { return n.o.w.site.Services[depth].Name }

func (n *node) customer(r *request) string { return n.o.w.site.Customers[r.customer].Name }

// attempt sends a call to a target.
func (n *node) attempt(c *call) {
	now := n.o.w.now
	set := n.targets[c.depth]
	id, ok := set.Pick(now, picker.Query{Rank: c.rank, Tried: c.tried}, n.o.w.rng)
	if !ok {
		c.end(false, c.budget.Remaining())
		return
	}
	below, ok := c.budget.Begin()
	if !ok {
		set.Done(now, id, picker.Unknown, nil)
		c.end(false, 0)
		return
	}
	if c.retried == 0 {
		n.retries.Ratio.RecordFirst(now)
	}
	t := n.o.find(c.depth, id)
	trip := n.o.w.trip(n.in, t.in)
	v := &visit{request: c.request, rank: c.rank, weight: c.weight, depth: c.depth, left: below}
	v.answer = func(a answer) {
		n.o.w.after(trip, func() { n.answered(c, id, a) })
	}
	n.o.w.after(trip, func() { t.arrive(v) })
}

func (o *ours) find(service int, id string) *node {
	for _, in := range o.w.services[service] {
		if in.id == id {
			return o.nodes[in.index]
		}
	}
	return nil
}

// answered records the answer of a target and retries the call if that is
// allowed.
func (n *node) answered(c *call, id string, a answer) {
	now := n.o.w.now
	n.targets[c.depth].Done(now, id, result(a.status), &a.feedback)
	n.reader.RecordFeedback(now, n.name(c.depth), id, n.customer(c.request), a.feedback)
	c.budget.End(a.unused)
	if a.status == done {
		c.end(true, c.budget.Remaining())
		return
	}
	c.tried = append(c.tried, id)
	v := n.retries.Next(now, retry.Attempt{
		Outcome:    n.outcome(c, a.status),
		Idempotent: true,
		Retries:    c.retried,
		TokensLeft: c.budget.Remaining(),
		Deadline:   c.deadline,
	}, n.o.w.rng)
	if !v.Retry() {
		c.end(false, c.budget.Remaining())
		return
	}
	c.retried++
	n.o.w.after(v.Delay, func() { n.attempt(c) })
}

func result(st status) picker.Result {
	switch st {
	case done:
		return picker.OK
	case refused, shed:
		return picker.Refused
	default:
		return picker.Unknown
	}
}

func (n *node) outcome(c *call, st status) retry.Outcome {
	switch {
	case c.rank > n.reader.Level(n.o.w.now, n.name(c.depth)):
		return retry.Excluded
	case st == refused:
		return retry.Refused
	case st == shed:
		return retry.Shed
	default:
		return retry.Rejected // a call below failed and was retried there
	}
}

// arrive decides on an attempt at its target.
func (n *node) arrive(v *visit) {
	now := n.o.w.now
	n.reader.RecordCall(now, n.name(v.depth))
	d, dropped := n.gate.Arrive(now, n.limit.Value(), admit.Item[*visit]{
		Rank: v.rank, Customer: n.customer(v.request), Weight: v.weight, Deadline: v.deadline, Value: v,
	})
	if d == admit.Admitted {
		n.run(v)
	}
	n.drop(dropped)
}

func (n *node) drop(dropped []admit.Dropped[*visit]) {
	for _, d := range dropped {
		n.reply(d.Item.Value, refused, d.Item.Value.left)
	}
}

func (n *node) run(v *visit) {
	v.at = n.o.w.now
	j := job{deadline: v.deadline}
	if v.depth+1 < len(n.o.w.services) {
		j.below = func(end func(bool)) { n.below(v, end) }
	}
	j.end = func(st status, took, below time.Duration) { n.finish(v, st, took, below) }
	n.in.up.serve(j)
}

// below makes the chain call of a request.
func (n *node) below(v *visit, end func(bool)) {
	now := n.o.w.now
	name, child := n.name(v.depth), n.name(v.depth+1)
	n.reader.RecordChild(now, name, child)
	if !n.reader.Admit(now, child, n.customer(v.request), v.rank) {
		end(false)
		return
	}
	grant := retry.Split(v.left, 1)
	v.left -= grant
	n.attempt(&call{
		request: v.request,
		rank:    v.rank,
		weight:  v.weight,
		depth:   v.depth + 1,
		budget:  retry.NewBudget(grant),
		end: func(ok bool, unused int) {
			v.left += unused
			end(ok)
		},
	})
}

func (n *node) finish(v *visit, st status, took, below time.Duration) {
	now := n.o.w.now
	n.limit.Observe(now, limit.Sample{Latency: took, ChildTime: below, Shed: st == shed, Failed: st == failed}, n.gate.Running())
	if st != done {
		took = 0
	}
	run, dropped := n.gate.Finish(now, n.limit.Value(), took)
	n.reply(v, st, v.left)
	n.proceed(run, dropped)
}

func (n *node) poll() {
	run, dropped := n.gate.Poll(n.o.w.now, n.limit.Value())
	n.proceed(run, dropped)
}

func (n *node) proceed(run []admit.Item[*visit], dropped []admit.Dropped[*visit]) {
	for _, it := range run {
		n.run(it.Value)
	}
	n.drop(dropped)
}

func (n *node) reply(v *visit, st status, unused int) {
	now, customer := n.o.w.now, n.customer(v.request)
	f := n.gate.Feedback(now, n.limit.Value(), customer)
	f = n.reader.MergeChildren(now, n.name(v.depth), customer, f)
	v.answer(answer{status: st, unused: unused, feedback: f})
}
