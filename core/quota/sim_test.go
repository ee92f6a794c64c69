package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/model"
)

// fleet is a discrete event simulation of nodes, links and the log in virtual
// time. Every node has its own clock, with an offset and a speed.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	events    queue
	order     uint64
	log       [][]byte
	logDown   bool
	procs     map[string]*proc // current process by instance name
	names     []string
	cut       map[[2]string]bool // pairs of instances or zones without a link
	loss      float64
	repeat    float64
	conf      []model.Customer // revisions of the customer
	settled   int              // the latest one that every process uses
	zones     []model.ZoneWeight
	lenders   map[ShareID]lender // latest grants
	bound     *bound
	faults    []string
	admitted  int
	refused   int
	wrong     int // refused although within the rate
	ideal     central
	messages  int
	demand    map[string]float64 // requests a second by instance
	incarnate uint64
	giveBack  float64 // part of the tokens that are given back
	clockSkew float64 // clocks run up to this part fast or slow
}

const simCustomer = "press"

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// proc is a process. Its handlers run at the next resumption while it is paused.
type proc struct {
	f       *fleet
	me      epoch.Member
	offset  time.Duration
	speed   float64
	paused  []func()
	stopped bool // paused
	dead    bool
	state   *epoch.State
	tracker *epoch.Tracker
	lease   *epoch.Lease
	holder  *Holder
	pool    *Pool
	waiting []*arrival
	seen    map[string]epoch.Presence
	heard   map[string]time.Time
	started time.Time
	adopted time.Time
	offered time.Time // when it last appended a proposal
	rev     int       // revision of the customer in force; 0 before it exists
}

// arrival is a request. It lies within the rate if one central bucket for the
// whole fleet would admit it.
type arrival struct{ done, within bool }

// newFleet starts a fleet in which the customer doesn't exist yet.
func newFleet(seed uint64, zones, perZone int, clockSkew float64) *fleet {
	f := &fleet{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		procs:     map[string]*proc{},
		cut:       map[[2]string]bool{},
		lenders:   map[ShareID]lender{},
		conf:      []model.Customer{{}},
		bound:     &bound{fast: 1 + clockSkew},
		demand:    map[string]float64{},
		clockSkew: clockSkew,
	}
	for z := range zones {
		name := string(rune('a' + z))
		f.zones = append(f.zones, model.ZoneWeight{Name: name, Weight: 1 / float64(zones)})
		for i := range perZone {
			f.names = append(f.names, fmt.Sprintf("%s%d", name, i))
		}
	}
	for _, name := range f.names {
		f.boot(name)
	}
	return f
}

func (f *fleet) at(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{f.now + d, f.order, run})
}

func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) boot(name string) *proc {
	f.incarnate++
	p := &proc{
		f:      f,
		me:     epoch.Member{Name: name, Incarnation: f.incarnate, Address: name, Zone: name[:1]},
		offset: time.Duration(f.rng.Int64N(int64(time.Hour))),
		speed:  1 + f.clockSkew*(2*f.rng.Float64()-1),
		state:  epoch.NewState(),
		seen:   map[string]epoch.Presence{},
		heard:  map[string]time.Time{},
	}
	p.started = p.clock()
	p.tracker = epoch.NewTracker(p.state)
	p.lease = epoch.NewLease(p.me)
	p.holder = NewHolder(p.me, p.state, p.tracker)
	p.pool = NewPool(PoolOptions{Customer: simCustomer, Node: name, Incarnation: p.me.Incarnation, Zone: p.me.Zone})
	p.rev = len(f.conf) - 1
	f.procs[name] = p
	p.every(500*time.Millisecond, p.gossip)
	p.every(epoch.ConfirmInterval, p.confirm)
	p.every(100*time.Millisecond, p.readLog)
	p.every(250*time.Millisecond, p.propose)
	p.every(25*time.Millisecond, p.pump)
	p.arrive()
	return p
}

func (p *proc) clock() time.Time {
	return time.Unix(0, 0).Add(p.offset + time.Duration(float64(p.f.now)*p.speed))
}

// do runs a handler of the process now, or when it resumes.
func (p *proc) do(run func()) {
	switch {
	case p.dead:
	case p.stopped:
		p.paused = append(p.paused, run)
	default:
		run()
	}
}

func (p *proc) every(d time.Duration, run func()) {
	p.f.at(time.Duration(p.f.rng.Int64N(int64(d))), func() {
		p.do(func() {
			run()
			p.every(d, run)
		})
	})
}

func (f *fleet) kill(name string) { f.procs[name].dead = true }

func (f *fleet) restart(name string) {
	f.kill(name)
	f.boot(name)
}

// lose kills an instance for good; its callers go to another one.
func (f *fleet) lose(name string) {
	f.kill(name)
	other := f.names[(slices.Index(f.names, name)+1)%len(f.names)]
	f.demand[other] += f.demand[name]
	f.demand[name] = 0
}

func (f *fleet) pause(name string) { f.procs[name].stopped = true }

func (f *fleet) resume(name string) {
	p := f.procs[name]
	p.stopped = false
	held := p.paused
	p.paused = nil
	for _, run := range held {
		p.do(run)
	}
}

// restore ends every fault and restarts what was killed.
func (f *fleet) restore() {
	clear(f.cut)
	f.logDown, f.loss, f.repeat = false, 0, 0
	for _, name := range f.names {
		if f.procs[name].dead {
			f.boot(name)
		}
		f.resume(name)
	}
}

func (f *fleet) linked(a, b string) bool {
	return !f.cut[[2]string{a, b}] && !f.cut[[2]string{b, a}] && !f.cut[[2]string{a[:1], b[:1]}] && !f.cut[[2]string{b[:1], a[:1]}]
}

// send delivers a message to the process at an instance, possibly never, late
// or twice.
func (p *proc) send(to string, handle func(*proc)) {
	f := p.f
	n := 1
	if f.rng.Float64() < f.repeat {
		n = 2
	}
	for range n {
		if f.rng.Float64() < f.loss || !f.linked(p.me.Name, to) {
			continue
		}
		d := 100 * time.Microsecond
		if p.me.Zone != to[:1] {
			d = 750 * time.Microsecond
		}
		if f.repeat > 0 && f.rng.Float64() < 0.1 {
			d += time.Duration(f.rng.Int64N(int64(3 * time.Second)))
		}
		f.at(d, func() {
			if q := f.procs[to]; q != nil {
				q.do(func() { handle(q) })
			}
		})
	}
}

func (p *proc) number() uint64 {
	e, _ := p.state.Current(p.me.Zone)
	return e.Number
}

func (p *proc) gossip() {
	me, number, retired := p.me, p.number(), p.tracker.Retired(p.me.Zone, p.clock())
	p.hear(me, number, retired)
	for _, name := range p.f.names {
		if name != me.Name && name[:1] == me.Zone {
			p.send(name, func(q *proc) { q.hear(me, number, retired) })
		}
	}
	for name, s := range p.seen {
		if s.Alive && p.clock().Sub(p.heard[name]) > 3*time.Second {
			p.seen[name] = epoch.Presence{Member: s.Member, Since: p.clock()}
		}
	}
}

func (p *proc) hear(m epoch.Member, number, retired uint64) {
	s, ok := p.seen[m.Name]
	if !ok || m.Incarnation > s.Incarnation || m.Incarnation == s.Incarnation && !s.Alive {
		p.seen[m.Name] = epoch.Presence{Member: m, Alive: true, Since: p.clock()}
	}
	p.heard[m.Name] = p.clock()
	p.tracker.Observe(m, number, p.clock())
	p.tracker.MergeRetired(m.Zone, retired)
}

func (p *proc) confirm() {
	req, sent := p.lease.Request(), p.clock()
	for _, m := range p.lease.Epoch().Members {
		p.send(m.Name, func(q *proc) {
			reply := q.state.Confirm(q.me, req)
			q.send(p.me.Name, func(r *proc) {
				if r == p {
					p.lease.RecordConfirmation(reply, sent)
					p.tracker.Observe(reply.Member, reply.Adopted, p.clock())
				}
			})
		})
	}
	p.sync()
}

func (f *fleet) reachable(p *proc) bool {
	return !f.logDown && !f.cut[[2]string{p.me.Zone, "log"}] && !f.cut[[2]string{p.me.Name, "log"}]
}

// isolate cuts an instance from the log and from its zone, but not from others.
func (f *fleet) isolate(name string) {
	f.cut[[2]string{name, "log"}] = true
	for _, other := range f.names {
		if other != name && other[:1] == name[:1] {
			f.cut[[2]string{name, other}] = true
		}
	}
}

func (p *proc) readLog() {
	if !p.f.reachable(p) {
		return
	}
	for int(p.state.Next) < len(p.f.log) {
		if p.state.Apply(p.state.Next, p.f.log[p.state.Next]) == p.me.Zone {
			p.adopted = p.clock()
			e, _ := p.state.Current(p.me.Zone)
			p.lease.Adopt(e)
			p.f.at(200*time.Millisecond, func() { p.do(p.confirm) })
		}
	}
	p.rev = len(p.f.conf) - 1
	p.holder.RecordConfigRead(uint64(len(p.f.conf)), p.clock(), p.clock())
	p.sync()
	p.f.settleChange()
}

// change appends a revision of the customer.
func (f *fleet) change(c model.Customer) {
	last := f.conf[len(f.conf)-1]
	f.conf = append(f.conf, c)
	f.bound.set(model.Customer{Rate: max(c.Rate, last.Rate, f.bound.rate), Burst: max(c.Burst, last.Burst, int64(f.bound.burst))}, f)
}

// settleChange puts the bound of the latest revision in force once no process
// uses an earlier one and the loans from before have ended.
func (f *fleet) settleChange() {
	for _, p := range f.procs {
		if !p.dead && p.rev < len(f.conf)-1 {
			return
		}
	}
	rev := len(f.conf) - 1
	if rev == f.settled {
		return
	}
	f.settled = rev
	f.at(LoanTime+2*DriftMargin, func() {
		if len(f.conf)-1 == rev {
			f.bound.set(f.conf[rev], f)
		}
	})
}

func (p *proc) shares() []Share {
	return SplitCustomer(simCustomer, p.f.conf[p.rev], model.Fleet{Zones: p.f.zones})
}

func (p *proc) sync() {
	p.holder.Sync(p.shares(), func(string) (uint64, bool) { return 1, p.rev > 0 }, p.clock())
	p.f.checkHolders(p)
}

func (p *proc) propose() {
	now := p.clock()
	cur, _ := p.state.Current(p.me.Zone)
	v := epoch.View{
		Zone: p.me.Zone, Self: p.me, Started: p.started, Current: cur, Adopted: p.adopted,
		Unretired: p.tracker.Unretired(p.me.Zone, now), Retired: p.tracker.Retired(p.me.Zone, now),
	}
	for _, name := range p.f.names {
		if s, ok := p.seen[name]; ok {
			v.Presences = append(v.Presences, s)
		}
	}
	e, ok := epoch.Propose(v, now)
	if !ok || now.Sub(p.offered) < epoch.TurnDuration || !p.f.reachable(p) {
		return
	}
	p.offered = now
	data, err := epoch.Encode(epoch.Record{Epoch: &e})
	if err != nil {
		panic(err)
	}
	p.f.at(20*time.Millisecond, func() { p.f.log = append(p.f.log, data) })
}

// pump sends what the pool has to say and serves the requests that wait.
func (p *proc) pump() {
	now := p.clock()
	var ids []ShareID
	for _, s := range p.shares() {
		ids = append(ids, s.ShareID)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(a *arrival) bool {
		if a.done {
			return true
		}
		ch, ok := p.pool.RetryTake(now)
		if ok {
			p.admit(a, ch)
		}
		return ok
	})
	for {
		req, ok := p.pool.NextRequest(ids, len(p.waiting), now)
		if !ok {
			return
		}
		p.ask(req)
	}
}

func (p *proc) ask(req BorrowRequest) {
	e, ok := p.state.Current(req.Zone)
	if !ok {
		return
	}
	p.f.messages++
	to, sent := OwnerOf(req.ShareID)(e), p.f.now
	p.send(to.Name, func(q *proc) {
		reply := q.holder.Borrow(req, q.lease.Expiry(q.clock()), q.clock())
		if reply.Grant > 0 {
			p.f.loaned(req.ShareID, q.me, sent+reply.Valid)
			p.f.checkHolders(q)
		}
		q.send(p.me.Name, func(r *proc) {
			if r == p {
				p.pool.HandleReply(reply, p.clock())
				p.pump()
			}
		})
	})
}

// arrive schedules the next request of a Poisson stream.
func (p *proc) arrive() {
	rate := p.f.demand[p.me.Name]
	if rate <= 0 {
		p.f.at(100*time.Millisecond, func() { p.do(p.arrive) })
		return
	}
	d := time.Duration(p.f.rng.ExpFloat64() / rate * float64(time.Second))
	p.f.at(min(d, time.Minute), func() {
		p.do(func() {
			if p.number() > 0 { // a node serves only after it has read the log
				p.serve()
			}
			p.arrive()
		})
	})
}

func (p *proc) serve() {
	a := &arrival{within: p.f.ideal.admit(p.f)}
	if ch, ok := p.pool.Take(p.clock()); ok {
		p.admit(a, ch)
		p.pump()
		return
	}
	p.waiting = append(p.waiting, a)
	p.pump()
	for d := HedgeDelay; d < MaxWaitTime; d += HedgeDelay {
		p.f.at(d, func() { p.do(p.pump) })
	}
	p.f.at(MaxWaitTime, func() {
		p.do(func() {
			if !a.done {
				a.done = true
				p.f.refused++
				if a.within {
					p.f.wrong++
				}
			}
		})
	})
}

// admit counts an admission, or gives the token back later as after a refusal.
func (p *proc) admit(a *arrival, ch Charge) {
	a.done = true
	if p.f.rng.Float64() < p.f.giveBack {
		d := time.Duration(p.f.rng.Int64N(int64(200 * time.Millisecond)))
		p.f.at(d, func() { p.do(func() { p.pool.Release(&ch, p.clock()) }) })
		return
	}
	p.f.admitted++
	if detail := p.f.bound.admit(p.f.now); detail != "" {
		p.f.faults = append(p.f.faults, detail)
	}
}
