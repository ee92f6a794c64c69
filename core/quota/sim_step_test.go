package quota

import (
	"slices"
	"time"

	"dogwoodsill.org/core/epoch"
)

// propose appends a new epoch to the log if one is due.
func (p *proc) propose() {
	now := p.clock()
	cur, _ := p.state.Current(p.self.Zone)
	v := epoch.View{
		Zone: p.self.Zone, Self: p.self, Started: p.started, Current: cur, Adopted: p.adopted,
		Unretired: p.tracker.Unretired(p.self.Zone, now), Retired: p.tracker.Retired(p.self.Zone, now),
	}
	for _, name := range p.f.names {
		if s, ok := p.seen[name]; ok {
			v.Presences = append(v.Presences, s)
		}
	}
	e, ok := epoch.Propose(v, now)
	if !ok || now.Sub(p.lastProposal) < epoch.TurnDuration || !p.f.logReachable(p) {
		return
	}
	p.lastProposal = now
	data, err := epoch.Encode(epoch.Record{Epoch: &e})
	if err != nil {
		panic(err)
	}
	p.f.at(20*time.Millisecond, func() { p.f.log = append(p.f.log, data) })
}

// processPool takes tokens for waiting requests and sends the messages that are due.
func (p *proc) processPool() {
	now := p.clock()
	groups := p.groups()
	p.pool.AllowDelay(simMaxDelay)
	p.waiting = slices.DeleteFunc(p.waiting, func(a *request) bool {
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
		req, ok := p.pool.NextRequest(p.pool.Candidates(groups, now), len(p.waiting), now)
		if !ok {
			break
		}
		p.sendRequest(req)
	}
	p.awaitTokens(now)
}

// awaitTokens refuses the waiting requests that can't get a token in time, as node/tokens
// does, and schedules the next step for the others.
func (p *proc) awaitTokens(now time.Time) {
	for _, a := range p.waiting {
		until := a.since.Add(simMaxDelay)
		if p.pool.InFlight(now) > 0 {
			until = a.since.Add(MaxWaitTime)
		}
		at, ok := p.pool.WakeAt(p.pool.Candidates(p.groups(), now), now, until)
		if !ok {
			p.refuse(a)
			continue
		}
		if !p.wakeAt.After(now) || at.Before(p.wakeAt) {
			p.wakeAt = at
			p.f.at(at.Sub(now)+time.Microsecond, func() { p.do(p.processPool) })
		}
	}
}

// groups returns the groups of the customer's shares.
func (p *proc) groups() []Group {
	if p.groupsRevision != p.revision {
		p.groupsRevision, p.cachedGroups = p.revision, Groups(p.shares())
	}
	return p.cachedGroups
}

// collect sends the requests for capacity that are due.
func (p *proc) collect() {
	for _, req := range p.holder.CapacityRequests(p.clock()) {
		e, ok := p.state.Current(req.Zone)
		if !ok {
			continue
		}
		p.f.messages++
		p.send(OwnerOf(req.ShareID)(e).Name, func(q *proc) {
			reply := q.holder.LendCapacity(req, q.lease.Expiry(q.clock()), q.clock())
			q.send(p.self.Name, func(r *proc) {
				if r == p {
					p.holder.HandleCapacity(req, reply, p.clock())
				}
			})
		})
	}
}

// takeGrace reports whether the grace period admits a request.
func (p *proc) takeGrace() bool {
	now := p.clock()
	if p.grace == nil || p.lease.Valid(now) {
		return false
	}
	return p.grace.Take(now, simCustomer, p.pool.RateWithoutHolder(p.groups(), now).Float(), len(p.f.names))
}

// refuse marks a request as done and counts its refusal, unless the grace period admits it.
func (p *proc) refuse(a *request) {
	if a.done {
		return
	}
	a.done = true
	if p.takeGrace() {
		p.f.countAdmission()
		return
	}
	p.f.refused++
	if a.withinRate {
		p.f.wronglyRefused++
	}
}

// sendRequest sends a borrow request to the owner of its share and handles the reply.
func (p *proc) sendRequest(req BorrowRequest) {
	e, ok := p.state.Current(req.Zone)
	if !ok {
		return
	}
	p.f.messages++
	to, sent := OwnerOf(req.ShareID)(e), p.f.now
	p.send(to.Name, func(q *proc) {
		reply := q.holder.Borrow(req, q.lease.Expiry(q.clock()), q.clock())
		if reply.Alone {
			q.collect()
		}
		if reply.Grant > 0 {
			p.f.recordLoan(req.ShareID, q.self, sent+reply.Valid)
			p.f.checkHolders(q)
		}
		q.send(p.self.Name, func(r *proc) {
			if r == p {
				p.pool.HandleReply(reply, p.clock())
				p.processPool()
			}
		})
	})
}

// scheduleArrival schedules the next request; arrivals are a Poisson process.
func (p *proc) scheduleArrival() {
	rate := p.f.demand[p.self.Name]
	if rate <= 0 {
		p.f.at(100*time.Millisecond, func() { p.do(p.scheduleArrival) })
		return
	}
	d := time.Duration(p.f.rng.ExpFloat64() / rate * float64(time.Second))
	p.f.at(min(d, time.Minute), func() {
		p.do(func() {
			if p.epochNumber() > 0 { // a node serves only after it has read the log
				p.handleRequest()
			}
			p.scheduleArrival()
		})
	})
}

// handleRequest takes a token for a new request. If it gets none within MaxWaitTime, or
// no reply is outstanding, the request is refused.
func (p *proc) handleRequest() {
	a := &request{withinRate: p.f.ideal.admit(p.f), since: p.clock()}
	if ch, ok := p.pool.Take(p.clock()); ok {
		p.admit(a, ch)
		p.processPool()
		return
	}
	p.waiting = append(p.waiting, a)
	p.processPool()
	p.f.at(MaxWaitTime, func() { p.do(func() { p.refuse(a) }) })
}

// admit marks a request as done and counts it as admitted. For releaseFraction of the
// requests it instead releases the token up to 200 ms later, as after a refusal.
func (p *proc) admit(a *request, ch Charge) {
	a.done = true
	if p.f.rng.Float64() < p.f.releaseFraction {
		d := time.Duration(p.f.rng.Int64N(int64(200 * time.Millisecond)))
		p.f.at(d, func() { p.do(func() { p.pool.Release(&ch, p.clock()) }) })
		return
	}
	p.f.countAdmission()
}

// countAdmission counts an admission and checks the bound.
func (f *fleet) countAdmission() {
	f.admitted++
	if f.onAdmit != nil {
		f.onAdmit()
	}
	if detail := f.bound.admit(f.now); detail != "" {
		f.violations = append(f.violations, detail)
	}
}
