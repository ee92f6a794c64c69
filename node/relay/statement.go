package relay

import "time"

// statementRetention is how long a node keeps the statement of an upstream from which it
// has no newer response.
const statementRetention = 5 * time.Minute

// Process identifies a process of an upstream.
type Process struct {
	ID        string `msgpack:"id"`      // identifier of the upstream, or its address if it has none
	StartedMS int64  `msgpack:"started"` // start of the process as Unix time in milliseconds; 0 if unknown
}

// same reports whether p and other may be the same process. A start that is not known
// equals any other.
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
}

// isEmpty reports whether the upstream says nothing that restricts its calls.
func (s Statement) isEmpty() bool {
	return !s.Limited
}

// upstreamStatement is the statement of the local upstream.
type upstreamStatement struct {
	Statement
	observed  bool      // this node has received a response of the process
	limitedAt time.Time // when the limit was last confirmed by a response
}

// setProcess discards the statement if it is that of another process.
func (u *upstreamStatement) setProcess(p Process) {
	if !u.same(p) {
		*u = upstreamStatement{}
	}
	if u.StartedMS == 0 {
		u.Process = p
	}
}

// observe applies the statement of a response to a request that was sent at the given
// time. A response can only end a limit if its request was sent after the last one that
// confirmed the limit: an earlier one may have been written before the limit began.
func (u *upstreamStatement) observe(s Statement, sent, now time.Time) {
	u.observed = true
	switch {
	case s.Limited:
		u.Limited, u.PerSec, u.limitedAt = true, s.PerSec, now
	case sent.After(u.limitedAt):
		u.Limited, u.PerSec = false, 0
	}
}

// adopt applies a statement that another node received. It has no effect on the limit
// once this node has a response of its own.
func (u *upstreamStatement) adopt(s Statement) {
	if s.Limited && !u.observed {
		u.Limited, u.PerSec = true, s.PerSec
	}
}

// recordStatement applies the statement of a response of the upstream up to a request that
// was sent at the given time.
func (t *Target) recordStatement(up Upstream, s Statement, sent, now time.Time) {
	t.changeStatement(up.process(), now, func(u *upstreamStatement) { u.observe(s, sent, now) })
}

// adoptStatement applies the statement that came with a call.
func (t *Target) adoptStatement(s *Statement, now time.Time) {
	if s != nil {
		t.changeStatement(s.Process, now, func(u *upstreamStatement) { u.adopt(*s) })
	}
}

// changeStatement changes the statement of the local upstream if that is the given process.
func (t *Target) changeStatement(p Process, now time.Time, change func(u *upstreamStatement)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstream != nil && t.statement.same(p) {
		change(&t.statement)
		t.gate.applyStatement(t.statement.Statement, now)
	}
}

// statementToSend returns the statement of the local upstream, or nil if it is empty.
func (t *Target) statementToSend() *Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.statement.Statement; t.upstream != nil && !s.isEmpty() {
		return &s
	}
	return nil
}

// heardStatement is a statement that a calling node received.
type heardStatement struct {
	Statement
	at time.Time
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
		for instance, old := range b.statements {
			if now.Sub(old.at) > statementRetention {
				delete(b.statements, instance)
			}
		}
		b.statements[from.Instance] = heardStatement{Statement: *s, at: now}
	case reply.Refusal == nil:
		delete(b.statements, from.Instance)
	default:
		return
	}
	b.ensureSet(service).picker.SetLimited(now, from.ID, s != nil && s.Limited)
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
