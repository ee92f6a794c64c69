package policy

import (
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/retry"
)

// rootAttempts is the attempt budget of a request: twice the number of calls
// in its chain.
const rootAttempts = 8

// pollInterval is the interval at which nodes poll their admission queues.
const pollInterval = 20 * time.Millisecond

// hintInterval is the interval at which nodes query the load endpoint. A load
// value in use can be stale by up to this interval.
const hintInterval = 500 * time.Millisecond

// nodePolicy is the control that drives the decision packages as a node does.
type nodePolicy struct {
	sim   *simulation
	nodes []*node
}

// node holds the state of one node in its roles as entry, caller and target.
type node struct {
	o        *nodePolicy
	in       *instance
	gate     *admit.Gate[*targetAttempt]
	limit    *limit.Limit
	throttle *admit.Throttle
	retries  *retry.Policy
	targets  []*picker.Set // by service
}

// call is a call to one service on behalf of a request, over all its attempts.
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

// targetAttempt is one attempt of a call, as its target sees it.
type targetAttempt struct {
	*request
	rank    uint32
	weight  float64
	depth   int
	tokens  int // attempt tokens for chain calls
	at      time.Time
	respond func(response)
}

// response is a target's response, with the unused attempt tokens and the
// feedback for the caller.
type response struct {
	status   status
	unused   int
	feedback admit.Feedback
}

func newNodePolicy(sim *simulation) control {
	o := &nodePolicy{sim: sim}
	for _, in := range sim.instances {
		o.nodes = append(o.nodes, newNode(o, in))
	}
	return o
}

func newNode(o *nodePolicy, in *instance) *node {
	n := &node{
		o:        o,
		in:       in,
		gate:     admit.NewGate[*targetAttempt](admit.DefaultMaxWait),
		limit:    limit.New(),
		throttle: admit.NewThrottle(),
		retries:  retry.NewPolicy(),
	}
	for _, ins := range o.sim.services {
		set := picker.NewSet(o.sim.site.Zones[in.zone])
		list := make([]picker.Target, 0, len(ins))
		for _, t := range ins {
			list = append(list, picker.Target{ID: t.id, Zone: o.sim.site.Zones[t.zone]})
		}
		set.Update(list)
		n.targets = append(n.targets, set)
	}
	o.sim.every(pollInterval, n.poll)
	n.limit.HintSlots(in.up.slots)
	o.sim.every(hintInterval, func() { n.limit.HintLoad(o.sim.now, in.up.load()) })
	return n
}

func (o *nodePolicy) submit(r *request, end func(ok bool)) {
	n := o.nodes[r.entry.index]
	now := o.sim.now
	name, customer := n.name(0), n.customer(r)
	rank := admit.Rank(r.importance, n.throttle.Demand(now, name, customer), r.root)
	if !n.throttle.Admit(now, name, customer, rank) {
		end(false)
		return
	}
	n.attempt(&call{
		request: r,
		rank:    rank,
		weight:  n.throttle.TakeWeight(name, customer),
		budget:  retry.NewBudget(rootAttempts),
		end:     func(ok bool, _ int) { end(ok) },
	})
}

func (n *node) name(depth int) string { return n.o.sim.site.Services[depth].Name }

func (n *node) customer(r *request) string { return n.o.sim.site.Customers[r.customer].Name }

// attempt picks a target and sends it one attempt of a call.
func (n *node) attempt(c *call) {
	now := n.o.sim.now
	set := n.targets[c.depth]
	id, ok := set.Pick(now, picker.Query{Rank: c.rank, Tried: c.tried}, n.o.sim.rng)
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
	trip := n.o.sim.trip(n.in, t.in)
	v := &targetAttempt{request: c.request, rank: c.rank, weight: c.weight, depth: c.depth, tokens: below}
	v.respond = func(a response) {
		n.o.sim.after(trip, func() { n.handleResponse(c, id, a) })
	}
	n.o.sim.after(trip, func() { t.arrive(v) })
}

func (o *nodePolicy) find(service int, id string) *node {
	for _, in := range o.sim.services[service] {
		if in.id == id {
			return o.nodes[in.index]
		}
	}
	return nil
}

// handleResponse records the response of a target, and then completes the call or
// retries it if the retry policy allows.
func (n *node) handleResponse(c *call, id string, a response) {
	now := n.o.sim.now
	n.targets[c.depth].Done(now, id, result(a.status), &a.feedback)
	n.throttle.RecordFeedback(now, n.name(c.depth), id, n.customer(c.request), a.feedback)
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
	}, n.o.sim.rng)
	if !v.Retry() {
		c.end(false, c.budget.Remaining())
		return
	}
	c.retried++
	n.o.sim.after(v.Delay, func() { n.attempt(c) })
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
	case c.rank > n.throttle.Level(n.o.sim.now, n.name(c.depth)):
		return retry.Excluded
	case st == refused:
		return retry.Refused
	case st == shed:
		return retry.Shed
	default:
		return retry.Rejected // a chain call failed; the callee has already retried it
	}
}

// arrive runs the admission decision for an attempt at its target.
func (n *node) arrive(v *targetAttempt) {
	now := n.o.sim.now
	n.throttle.RecordCall(now, n.name(v.depth))
	d, dropped := n.gate.Arrive(now, n.limit.Value(), admit.Item[*targetAttempt]{
		Rank: v.rank, Customer: n.customer(v.request), Weight: v.weight, Deadline: v.deadline, Value: v,
	})
	if d == admit.Admitted {
		n.run(v)
	}
	n.replyDropped(dropped)
}

func (n *node) replyDropped(dropped []admit.Dropped[*targetAttempt]) {
	for _, d := range dropped {
		n.reply(d.Item.Value, refused, d.Item.Value.tokens)
	}
}

func (n *node) run(v *targetAttempt) {
	v.at = n.o.sim.now
	j := job{deadline: v.deadline}
	if v.depth+1 < len(n.o.sim.services) {
		j.below = func(end func(bool)) { n.callChain(v, end) }
	}
	j.end = func(st status, took, below time.Duration) { n.finish(v, st, took, below) }
	n.in.up.serve(j)
}

// callChain calls the next service of the chain on behalf of an attempt.
func (n *node) callChain(v *targetAttempt, end func(bool)) {
	now := n.o.sim.now
	name, child := n.name(v.depth), n.name(v.depth+1)
	n.throttle.RecordChild(now, name, child)
	if !n.throttle.Admit(now, child, n.customer(v.request), v.rank) {
		end(false)
		return
	}
	grant := retry.Split(v.tokens, 1)
	v.tokens -= grant
	n.attempt(&call{
		request: v.request,
		rank:    v.rank,
		weight:  v.weight,
		depth:   v.depth + 1,
		budget:  retry.NewBudget(grant),
		end: func(ok bool, unused int) {
			v.tokens += unused
			end(ok)
		},
	})
}

func (n *node) finish(v *targetAttempt, st status, took, below time.Duration) {
	now := n.o.sim.now
	n.limit.Observe(now, limit.Sample{Latency: took, ChildTime: below, Shed: st == shed, Failed: st == failed}, n.gate.Running())
	if st != done {
		took = 0
	}
	run, dropped := n.gate.Finish(now, n.limit.Value(), took)
	n.reply(v, st, v.tokens)
	n.proceed(run, dropped)
}

func (n *node) poll() {
	run, dropped := n.gate.Poll(n.o.sim.now, n.limit.Value())
	n.proceed(run, dropped)
}

func (n *node) proceed(run []admit.Item[*targetAttempt], dropped []admit.Dropped[*targetAttempt]) {
	for _, it := range run {
		n.run(it.Value)
	}
	n.replyDropped(dropped)
}

func (n *node) reply(v *targetAttempt, st status, unused int) {
	now, customer := n.o.sim.now, n.customer(v.request)
	f := n.gate.Feedback(now, n.limit.Value(), customer)
	f = n.throttle.MergeChildren(now, n.name(v.depth), customer, f)
	v.respond(response{status: st, unused: unused, feedback: f})
}
