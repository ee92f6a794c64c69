package relay

import (
	"slices"
	"time"
)

// statementRetention is how long a node keeps the statement of an upstream from which it
// has no newer response. An upstream that leaves is gone by then.
const statementRetention = 5 * time.Minute

// Process identifies a process of an upstream.
type Process struct {
	ID        string `msgpack:"id"`      // identifier of the upstream; empty if it has none
	StartedMS int64  `msgpack:"started"` // start of the process as Unix time in milliseconds; 0 if unknown
}

// same reports whether p and other may be the same process. A start that is not known
// equals any other, so it doesn't tell whether a statement about p holds for other; see
// Statement.concerns.
func (p Process) same(other Process) bool {
	return p.ID == other.ID && (p.StartedMS == other.StartedMS || p.StartedMS == 0 || other.StartedMS == 0)
}

// Statement is what an upstream says about itself in its responses. The node beside the
// upstream enforces it. The calling nodes keep it and send it along with later calls, so
// that it outlasts a restart of that node.
type Statement struct {
	Process
	Limited bool    `msgpack:"limited"` // PerSecond is set
	PerSec  float64 `msgpack:"perSec"`  // requests per second that the upstream accepts from all nodes together
	Leaving bool    `msgpack:"leaving"` // the upstream accepts no new requests, as it is about to end
}

// isEmpty reports whether the upstream says nothing that restricts its calls.
func (s Statement) isEmpty() bool {
	return !s.Limited && !s.Leaving
}

// concerns reports whether the statement holds for a process, as far as is known. One about a
// process whose start isn't known holds for no process whose start is: that may be a later
// one. While the start of the upstream isn't known, a statement about any process with its
// identifier holds.
func (s Statement) concerns(p Process) bool {
	return s.ID == p.ID && (s.StartedMS == p.StartedMS || p.StartedMS == 0)
}

// maxHeard limits the statements about processes of the upstream that a node keeps.
const maxHeard = 8

// upstreamStatement is what a node knows of the statements of its local upstream.
type upstreamStatement struct {
	Statement           // of the process that is announced, as this node itself knows it
	observed  bool      // this node has received a response of the process
	limitedAt time.Time // when the limit was last confirmed by a response
	foundAs   Process   // the process before its start was known; zero if it always was
	restored  bool      // it doesn't leave, though others may have heard so; see Target.Restore

	// heard holds what other nodes and earlier processes of this one know, newest last. It may
	// be about earlier processes of the upstream, and about one that isn't announced yet.
	heard []Statement
}

// current returns the statement that holds for the upstream. While its start isn't known, the
// statement keeps the process about which it was made, so that nobody takes it for one about
// a later process.
func (u *upstreamStatement) current() Statement {
	s := u.Statement
	var h *Statement
	for i := range u.heard {
		if u.heard[i].concerns(u.Process) && (h == nil || u.heard[i].StartedMS >= h.StartedMS) {
			h = &u.heard[i]
		}
	}
	if h == nil {
		return s
	}
	if s.isEmpty() {
		s.Process = h.Process
	}
	s.Leaving = s.Leaving || h.Leaving && !u.restored
	if h.Limited && !u.observed {
		s.Limited, s.PerSec = true, h.PerSec
	}
	return s
}

// setProcess records which process the upstream is. What is known of another one remains known,
// but no longer holds. A process without an identifier that announces itself as ready again
// doesn't leave: it may be a new one.
func (u *upstreamStatement) setProcess(p Process, isNew, draining bool) {
	if p.ID == "" && (isNew || !draining) {
		u.Leaving, u.heard = false, nil
	}
	switch {
	case p == u.Process && !(isNew && p.ID == ""):
	case !isNew && p.ID == u.ID && u.StartedMS == 0:
		u.foundAs, u.Process = u.Process, p
	default:
		former := u.Statement
		*u = upstreamStatement{Statement: Statement{Process: p}, heard: u.heard}
		u.hear(former)
	}
}

// is reports whether a response that was sent for the process p is one of the upstream.
func (u *upstreamStatement) is(p Process) bool {
	return p == u.Process || p.ID != "" && p == u.foundAs
}

// observe applies the statement of a response to a request that was sent at the given
// time. A response can only end a limit if its request was sent after the last one that
// confirmed the limit: an earlier one may have been written before the limit began.
func (u *upstreamStatement) observe(s Statement, sent, now time.Time) {
	u.observed = true
	u.Leaving = u.Leaving || s.Leaving
	switch {
	case s.Limited:
		u.Limited, u.PerSec, u.limitedAt = true, s.PerSec, now
	case sent.After(u.limitedAt):
		u.Limited, u.PerSec = false, 0
	}
}

// hear keeps a statement that this node has not received from the upstream that is announced.
// It has no effect on the limit once this node has a response of its own.
func (u *upstreamStatement) hear(s Statement) {
	if s.isEmpty() {
		return
	}
	for i, old := range u.heard {
		if old.Process == s.Process {
			s.Leaving = s.Leaving || old.Leaving
			u.heard = slices.Delete(u.heard, i, i+1)
			break
		}
	}
	if len(u.heard) == maxHeard {
		u.heard = slices.Delete(u.heard, 0, 1)
	}
	u.heard = append(u.heard, s)
}

// recordStatement applies the statement of a response of the upstream up to a request that
// was sent at the given time.
func (t *Target) recordStatement(up Upstream, s Statement, sent, now time.Time) {
	t.changeStatement(now, func(u *upstreamStatement) {
		if u.is(up.process()) {
			u.observe(s, sent, now)
		}
	})
}

// AdoptLeaving records that a process leaves, which an earlier process of this node knew. The
// upstream need not have announced itself yet.
func (t *Target) AdoptLeaving(p Process, now time.Time) {
	t.adoptStatement(&Statement{Process: p, Leaving: true}, now)
}

// adoptStatement applies the statement that came with a call.
func (t *Target) adoptStatement(s *Statement, now time.Time) {
	if s != nil {
		t.changeStatement(now, func(u *upstreamStatement) { u.hear(*s) })
	}
}

// changeStatement changes what is known of the local upstream and applies it.
func (t *Target) changeStatement(now time.Time, change func(u *upstreamStatement)) {
	t.mu.Lock()
	before := t.statement.current()
	change(&t.statement)
	after := t.statement.current()
	if after != before {
		t.gate.applyStatement(after, now)
	}
	t.mu.Unlock()
	if after.Leaving != before.Leaving {
		t.onState()
	}
}

// statementToSend returns the statement of the local upstream, or nil if it is empty.
func (t *Target) statementToSend() *Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.statement.current(); t.upstream != nil && !s.isEmpty() {
		return &s
	}
	return nil
}

// LeavingProcess returns the process of the upstream, and whether it leaves: it says so, has
// announced that it drains, or was withdrawn. A node that shuts down is no reason.
func (t *Target) LeavingProcess() (Process, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstream == nil {
		return Process{}, false
	}
	if s := t.statement.current(); s.Leaving {
		return s.Process, true
	}
	return t.upstream.process(), t.upstream.State == Draining
}

// heardStatement is a statement that a calling node received.
type heardStatement struct {
	Statement
	at          time.Time
	incarnation uint64 // of the node that sent it, if from the list of targets; otherwise 0
}

// recordStatement keeps the statement that came with the reply of a target. A response of
// the upstream without one ends an earlier statement; a refusal doesn't, since a node that
// has just started doesn't know what its upstream said.
func (b *Balancer) recordStatement(service string, from Candidate, reply *ReplyHead, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := reply.Statement
	switch {
	case s != nil:
		b.keepStatement(from.Instance, heardStatement{Statement: *s, at: now})
	case reply.Refusal == nil:
		delete(b.statements, from.Instance)
	default:
		return
	}
	targets := b.ensureSet(service).picker
	changed := targets.SetLimited(now, from.ID, s != nil && s.Limited)
	leaving := s != nil && s.Leaving
	if leaving {
		targets.Drain(from.ID)
	}
	if changed || leaving {
		b.throttle.SetLimited(service, targets.AllLimited())
	}
}

// keepStatement keeps a statement about the upstream beside an instance and removes old
// ones. The caller holds mu.
func (b *Balancer) keepStatement(instance string, s heardStatement) {
	for name, old := range b.statements {
		if s.at.Sub(old.at) > statementRetention {
			delete(b.statements, name)
		}
	}
	b.statements[instance] = s
}

// learnLeaving keeps what the list of targets says about upstreams that leave. The node of
// such an upstream may restart and not know it. If the same node lists the upstream as
// ready again, the upstream has changed its mind. The caller holds mu.
func (b *Balancer) learnLeaving(c Candidate, now time.Time) {
	old, known := b.statements[c.Instance]
	switch {
	case c.State == Draining && c.Leaving.ID != "":
		s := Statement{Process: c.Leaving, Leaving: true}
		if known && old.Process == c.Leaving {
			s.Limited, s.PerSec = old.Limited, old.PerSec
		}
		b.keepStatement(c.Instance, heardStatement{Statement: s, at: now, incarnation: c.Incarnation})
	case known && c.State != Draining && old.incarnation != 0 && old.incarnation == c.Incarnation:
		delete(b.statements, c.Instance)
	}
}

// statement returns the statement of the upstream beside an instance, or nil if none is
// known.
func (b *Balancer) statement(instance string) *Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h, ok := b.statements[instance]; ok {
		return &h.Statement
	}
	return nil
}
