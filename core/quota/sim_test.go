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

// fleet is a discrete-event simulation of nodes, links and the log in simulated time.
// Each process has its own clock with an offset and a speed.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	events          eventQueue
	eventCount      uint64
	log             [][]byte
	logDown         bool
	procs           map[string]*proc // latest process by instance name
	names           []string
	disconnected    map[[2]string]bool // pairs of instances or zones whose messages are dropped; "log" is the log
	lossRate        float64
	duplicateRate   float64
	revisions       []model.Customer // revisions of the customer
	appliedRevision int              // latest revision that all processes use
	zones           []model.ZoneWeight
	lenders         map[ShareID]lender // lender of the latest loan by share
	bound           *admissionBound
	violations      []string
	admitted        int
	refused         int
	wronglyRefused  int // requests refused although within the rate
	ideal           idealBucket
	messages        int
	demand          map[string]float64 // requests per second by instance
	lastIncarnation uint64
	releaseFraction float64 // fraction of the tokens that are released
	clockSkew       float64 // maximum relative error of the clock speeds
	withGrace       bool    // processes that start from now on have a grace period
	onAdmit         func()  // called for each admission, may be nil
}

const simCustomer = "press"

// simMaxDelay is how long a request may wait for a token that has not accrued yet.
const simMaxDelay = 50 * time.Millisecond

// event is a function that runs at a simulated time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// proc is a process of an instance. Handlers that are due while it is paused run when it
// resumes.
type proc struct {
	f            *fleet
	self         epoch.Member
	clockOffset  time.Duration
	clockSpeed   float64
	deferred     []func() // handlers that were due while the process was paused
	paused       bool
	dead         bool
	state        *epoch.State
	tracker      *epoch.Tracker
	lease        *epoch.Lease
	holder       *Holder
	pool         *Pool
	grace        *GraceLimiter // nil without a grace period
	waiting      []*request
	seen         map[string]epoch.Presence
	lastHeard    map[string]time.Time
	started      time.Time
	adopted      time.Time
	lastProposal time.Time // time of the last proposal that it appended to the log
	revision     int       // revision of the customer that the process uses; 0 before the customer exists

	groupsRevision int // revision of cachedGroups
	cachedGroups   []Group
	wakeAt         time.Time // time of the next scheduled step of waiting requests
}

// request is a request of a caller at a node. It is within the rate if an ideal limiter
// with one bucket for the whole fleet admits it.
type request struct {
	done, withinRate bool
	since            time.Time // arrival by the clock of the node
}

// newFleet starts a fleet in which the customer does not exist yet.
func newFleet(seed uint64, zones, perZone int, clockSkew float64) *fleet {
	f := &fleet{
		rng:          rand.New(rand.NewPCG(seed, 1)),
		procs:        map[string]*proc{},
		disconnected: map[[2]string]bool{},
		lenders:      map[ShareID]lender{},
		revisions:    []model.Customer{{}},
		bound:        &admissionBound{maxClockSpeed: 1 + clockSkew},
		demand:       map[string]float64{},
		clockSkew:    clockSkew,
	}
	for z := range zones {
		name := string(rune('a' + z))
		f.zones = append(f.zones, model.ZoneWeight{Name: name, Weight: 1 / float64(zones)})
		for i := range perZone {
			f.names = append(f.names, fmt.Sprintf("%s%d", name, i))
		}
	}
	for _, name := range f.names {
		f.startProcess(name)
	}
	return f
}

// at schedules a function after a duration.
func (f *fleet) at(d time.Duration, run func()) {
	f.eventCount++
	heap.Push(&f.events, event{f.now + d, f.eventCount, run})
}

// run advances the simulated time and runs the events that are due.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// startProcess starts a new process of an instance, with a new incarnation and clock.
func (f *fleet) startProcess(name string) *proc {
	f.lastIncarnation++
	p := &proc{
		f:           f,
		self:        epoch.Member{Name: name, Incarnation: f.lastIncarnation, Address: name, Zone: name[:1]},
		clockOffset: time.Duration(f.rng.Int64N(int64(time.Hour))),
		clockSpeed:  1 + f.clockSkew*(2*f.rng.Float64()-1),
		state:       epoch.NewState(),
		seen:        map[string]epoch.Presence{},
		lastHeard:   map[string]time.Time{},
	}
	p.started = p.clock()
	p.tracker = epoch.NewTracker(p.state)
	p.lease = epoch.NewLease(p.self)
	p.holder = NewHolder(p.self, p.state, p.tracker)
	p.pool = NewPool(PoolOptions{Customer: simCustomer, Node: name, Incarnation: p.self.Incarnation, Zone: p.self.Zone})
	p.revision = len(f.revisions) - 1
	if f.withGrace {
		p.grace = NewGraceLimiter(p.started)
	}
	f.procs[name] = p
	p.every(500*time.Millisecond, p.gossip)
	p.every(epoch.ConfirmInterval, p.confirm)
	p.every(100*time.Millisecond, p.readLog)
	p.every(250*time.Millisecond, p.propose)
	p.every(25*time.Millisecond, p.processPool)
	p.every(200*time.Millisecond, p.collect)
	p.scheduleArrival()
	return p
}

// clock returns the time by the clock of the process.
func (p *proc) clock() time.Time {
	return time.Unix(0, 0).Add(p.clockOffset + time.Duration(float64(p.f.now)*p.clockSpeed))
}

// do runs a handler of the process, or defers it while the process is paused.
func (p *proc) do(run func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, run)
	default:
		run()
	}
}

// every runs a handler repeatedly after random times of up to d.
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
	f.startProcess(name)
}

// killAndRedirect kills an instance permanently and moves its demand to another one.
func (f *fleet) killAndRedirect(name string) {
	f.kill(name)
	other := f.names[(slices.Index(f.names, name)+1)%len(f.names)]
	f.demand[other] += f.demand[name]
	f.demand[name] = 0
}

func (f *fleet) pause(name string) { f.procs[name].paused = true }

func (f *fleet) resume(name string) {
	p := f.procs[name]
	p.paused = false
	held := p.deferred
	p.deferred = nil
	for _, run := range held {
		p.do(run)
	}
}

// recoverAll ends all faults, restarts killed instances and resumes paused ones.
func (f *fleet) recoverAll() {
	clear(f.disconnected)
	f.logDown, f.lossRate, f.duplicateRate = false, 0, 0
	for _, name := range f.names {
		if f.procs[name].dead {
			f.startProcess(name)
		}
		f.resume(name)
	}
}

// linked reports whether messages between two instances can be delivered.
func (f *fleet) linked(a, b string) bool {
	return !f.disconnected[[2]string{a, b}] && !f.disconnected[[2]string{b, a}] && !f.disconnected[[2]string{a[:1], b[:1]}] && !f.disconnected[[2]string{b[:1], a[:1]}]
}

// send delivers a message to the process of an instance. The message may be lost,
// delayed or duplicated.
func (p *proc) send(to string, handle func(*proc)) {
	f := p.f
	n := 1
	if f.rng.Float64() < f.duplicateRate {
		n = 2
	}
	for range n {
		if f.rng.Float64() < f.lossRate || !f.linked(p.self.Name, to) {
			continue
		}
		d := 100 * time.Microsecond
		if p.self.Zone != to[:1] {
			d = 750 * time.Microsecond
		}
		if f.duplicateRate > 0 && f.rng.Float64() < 0.1 {
			d += time.Duration(f.rng.Int64N(int64(3 * time.Second)))
		}
		f.at(d, func() {
			if q := f.procs[to]; q != nil {
				q.do(func() { handle(q) })
			}
		})
	}
}

// epochNumber returns the number of the zone's current epoch that the process knows.
func (p *proc) epochNumber() uint64 {
	e, _ := p.state.Current(p.self.Zone)
	return e.Number
}

// gossip announces the process to its zone and marks processes as not alive that sent
// nothing for 3 s.
func (p *proc) gossip() {
	me, number, retired := p.self, p.epochNumber(), p.tracker.Retired(p.self.Zone, p.clock())
	p.handleGossip(me, number, retired)
	for _, name := range p.f.names {
		if name != me.Name && name[:1] == me.Zone {
			p.send(name, func(q *proc) { q.handleGossip(me, number, retired) })
		}
	}
	for name, s := range p.seen {
		if s.Alive && p.clock().Sub(p.lastHeard[name]) > 3*time.Second {
			p.seen[name] = epoch.Presence{Member: s.Member, Since: p.clock()}
		}
	}
}

// handleGossip processes the announcement of a process.
func (p *proc) handleGossip(m epoch.Member, number, retired uint64) {
	s, ok := p.seen[m.Name]
	if !ok || m.Incarnation > s.Incarnation || m.Incarnation == s.Incarnation && !s.Alive {
		p.seen[m.Name] = epoch.Presence{Member: m, Alive: true, Since: p.clock()}
	}
	p.lastHeard[m.Name] = p.clock()
	p.tracker.Observe(m, number, p.clock())
	p.tracker.MergeRetired(m.Zone, retired)
}

// confirm sends confirmation requests for the lease to the members of the epoch.
func (p *proc) confirm() {
	req, sent := p.lease.Request(), p.clock()
	for _, m := range p.lease.Epoch().Members {
		p.send(m.Name, func(q *proc) {
			reply := q.state.Confirm(q.self, req)
			q.send(p.self.Name, func(r *proc) {
				if r == p {
					p.lease.RecordConfirmation(reply, sent)
					p.tracker.Observe(reply.Member, reply.Adopted, p.clock())
				}
			})
		})
	}
	p.sync()
}

// logReachable reports whether a process can use the log.
func (f *fleet) logReachable(p *proc) bool {
	return !f.logDown && !f.disconnected[[2]string{p.self.Zone, "log"}] && !f.disconnected[[2]string{p.self.Name, "log"}]
}

// isolate disconnects an instance from the log and from its zone, but not from other
// zones.
func (f *fleet) isolate(name string) {
	f.disconnected[[2]string{name, "log"}] = true
	for _, other := range f.names {
		if other != name && other[:1] == name[:1] {
			f.disconnected[[2]string{name, other}] = true
		}
	}
}

// readLog applies new epochs and the latest revision of the customer.
func (p *proc) readLog() {
	if !p.f.logReachable(p) {
		return
	}
	for int(p.state.Next) < len(p.f.log) {
		if p.state.Apply(p.state.Next, p.f.log[p.state.Next]) == p.self.Zone {
			p.adopted = p.clock()
			e, _ := p.state.Current(p.self.Zone)
			p.lease.Adopt(e)
			p.f.at(200*time.Millisecond, func() { p.do(p.confirm) })
		}
	}
	p.revision = len(p.f.revisions) - 1
	p.holder.RecordConfigRead(uint64(len(p.f.revisions)), p.clock(), p.clock())
	p.sync()
	p.f.finishChange()
}

// changeCustomer appends a revision of the customer. Until all processes use it, the
// higher values of the revisions bound the admissions.
func (f *fleet) changeCustomer(c model.Customer) {
	last := f.revisions[len(f.revisions)-1]
	f.revisions = append(f.revisions, c)
	f.bound.set(model.Customer{Rate: max(c.Rate, last.Rate, f.bound.rate), Burst: max(c.Burst, last.Burst, int64(f.bound.burst))}, f)
}

// finishChange applies the bound of the latest revision as soon as no process uses an
// earlier one and all earlier loans have expired.
func (f *fleet) finishChange() {
	for _, p := range f.procs {
		if !p.dead && p.revision < len(f.revisions)-1 {
			return
		}
	}
	rev := len(f.revisions) - 1
	if rev == f.appliedRevision {
		return
	}
	f.appliedRevision = rev
	f.at(LoanTime+2*DriftMargin, func() {
		if len(f.revisions)-1 == rev {
			f.bound.set(f.revisions[rev], f)
		}
	})
}

func (p *proc) shares() []Share {
	return SplitCustomer(simCustomer, p.f.revisions[p.revision], model.Fleet{Zones: p.f.zones})
}

// sync updates the holder of the process and checks that no other process holds the same
// shares.
func (p *proc) sync() {
	p.holder.Sync(p.shares(), func(string) (uint64, bool) { return 1, p.revision > 0 }, p.clock())
	p.f.checkHolders(p)
}
