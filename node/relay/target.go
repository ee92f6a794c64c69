package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/finish"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
)

// State is the state that an upstream announces.
type State string

// States of an upstream.
const (
	Ready    State = "ready"
	Cold     State = "cold"
	Draining State = "draining"
)

// Upstream describes the local upstream as it was announced to the node.
type Upstream struct {
	Service        string            `json:"service"`
	Addr           string            `json:"addr"` // IP and port
	Labels         map[string]string `json:"labels,omitempty"`
	Slots          int               `json:"slots,omitempty"`       // hint: calls served concurrently
	MaxConnections int               `json:"connections,omitempty"` // maximum number of connections
	State          State             `json:"state,omitempty"`
	ID             string            `json:"id,omitempty"`         // identifier of the process; changes with a restart
	FixedSlots     bool              `json:"fixedSlots,omitempty"` // Slots is exact, not a hint
	StartedMS      int64             `json:"startedMs,omitempty"`  // start of the process as Unix time in milliseconds; 0 if unknown
	TTLMS          int64             `json:"ttlMs,omitempty"`      // time to live of the announcement in milliseconds
	Load           float64           `json:"load,omitempty"`       // hint: used fraction of its capacity, 0 to 1
	ColdMS         int64             `json:"coldMs,omitempty"`     // time for which it stays cold in milliseconds; 0 if not cold or not known
}

// process returns the process that the upstream is.
func (u Upstream) process() Process {
	return Process{ID: u.ID, StartedMS: u.StartedMS}
}

// precedes reports whether next describes a later process than u.
func (u Upstream) precedes(next Upstream) bool {
	coldAgain := u.ID == "" && u.State != Cold && next.State == Cold // one with an identifier may become cold at any moment
	return u.Addr != next.Addr || !u.process().same(next.process()) || coldAgain
}

// Target admits the calls for the local upstream and dispatches them to it. It is
// safe for concurrent use.
type Target struct {
	store        *store.Store
	calls        *chain.Table
	balancer     *Balancer
	metrics      *metric.Set
	client       *upstreamClient
	onState      func()
	gate         *gate
	attempts     *attemptTable
	crashes      *crashWatch
	protocol     Protocol
	cold         coldGate
	zone         string // of the node; empty if its evacuation has no effect
	confirmsZone bool
	watchMu      sync.Mutex
	watch        evac.Watch

	incarnation uint64

	drainer super.Drainer
	finish  finish.Gate

	mu        sync.Mutex
	upstream  *Upstream
	announced time.Time // when upstream was announced last
	expires   time.Time
	statement upstreamStatement // of the upstream, or of the one that was withdrawn last
}

// Limits, sizes and times of a target.
const (
	copyBufferBytes = 32 << 10
	// maxDiscardBytes limits how much of the body of a discarded response is read
	// so that its connection can be reused. If more is left, the connection is
	// closed.
	maxDiscardBytes = 4 << 10
	// maxDiscardTime limits how long the end of that body is awaited.
	maxDiscardTime = 50 * time.Millisecond
	// staleRetryAfter is the time after which a node with a stale configuration
	// may have received a newer one from a peer.
	staleRetryAfter = time.Second
)

// NewTarget returns a target without an upstream, for the node process with the
// given incarnation. It calls onState after each change of the announced state.
func NewTarget(incarnation uint64, st *store.Store, calls *chain.Table, b *Balancer, m *metric.Set, onState func(), opts ...TargetOption) *Target {
	t := &Target{
		protocol:    defaultProtocol{},
		incarnation: incarnation, attempts: newAttemptTable(), crashes: newCrashWatch(),
		store:    st,
		calls:    calls,
		balancer: b,
		metrics:  m,
		onState:  onState,
		gate:     newGate(),
		client:   newUpstreamClient(),
		cold:     newColdGate(time.Now()),
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// TargetOption configures a Target.
type TargetOption func(*Target)

// WithProtocol sets the protocol between the target and its upstream.
func WithProtocol(p Protocol) TargetOption {
	return func(t *Target) { t.protocol = p }
}

// Announce sets the local upstream. The announcement expires after its time to
// live. An upstream without an identifier that becomes cold again is treated like a new process.
func (t *Target) Announce(u Upstream, now time.Time) {
	t.mu.Lock()
	newProcess := t.isNewProcess(u)
	left := t.statement.current().Leaving
	if former := t.upstream; former != nil && newProcess && former.State != Draining && !left {
		defer t.recordEnd(former.process(), now)
	}
	t.statement.setProcess(u.process(), newProcess, u.State == Draining)
	statement := t.statement.current()
	t.gate.applyStatement(statement, now)
	changedCold := t.cold.announce(u, newProcess, now)
	changed := changedCold || t.upstream == nil || t.upstream.State != u.State || t.upstream.Service != u.Service || statement.Leaving != left
	t.upstream, t.announced = &u, now
	t.expires = now.Add(time.Duration(u.TTLMS) * time.Millisecond)
	t.mu.Unlock()
	t.gate.applyHints(u, newProcess, now)
	if changed {
		t.onState()
	}
}

// isNewProcess reports whether an announcement describes another process than the one that is
// announced. One that was announced without its start has started before that. The caller
// holds mu.
func (t *Target) isNewProcess(next Upstream) bool {
	up := t.upstream
	return up == nil || up.precedes(next) || up.StartedMS == 0 && next.StartedMS > t.announced.UnixMilli()
}

// Withdraw ends the use of the local upstream. One with an identifier remains known as
// leaving until its announcement expires, so that other nodes hear which process it is.
func (t *Target) Withdraw() {
	t.mu.Lock()
	if t.upstream != nil && t.upstream.ID != "" {
		t.statement.Leaving = true
	} else {
		t.upstream = nil
	}
	t.mu.Unlock()
	t.onState()
}

// Restore announces an upstream again that was taken for an earlier process and withdrawn. Other
// nodes may have heard that it leaves and say so in their calls, which has no effect from now on.
func (t *Target) Restore(u Upstream, now time.Time) {
	t.Announce(u, now)
	t.mu.Lock()
	if t.statement.Process == u.process() {
		t.statement.Leaving, t.statement.restored = false, true
	}
	t.mu.Unlock()
	t.onState()
}

// Upstream returns the announced upstream, or false if there is none or its time
// to live has passed. While the target is draining or the upstream says that it leaves,
// the returned state is Draining.
func (t *Target) Upstream(now time.Time) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upstream == nil || now.After(t.expires) {
		return Upstream{}, false
	}
	u := *t.upstream
	if t.drainer.Draining() || t.statement.current().Leaving {
		u.State = Draining
	}
	u.State = t.coldState(u, now)
	return u, true
}

// RefuseNewCalls makes the target refuse all new calls.
func (t *Target) RefuseNewCalls() {
	t.drainer.Close()
	t.onState()
}

// EndBy tells the target that the process shuts down. Calls that can't end by the given time are
// refused, so that other targets serve them.
func (t *Target) EndBy(now, end time.Time) {
	t.finish.Begin(now, end)
}

// EndCalls ends all calls with a refusal, since the process is about to end.
func (t *Target) EndCalls() {
	t.drainer.Close()
	t.attempts.cancelAll(errStopped)
}

// errStopped is the cause of the end of a call that the shutdown of the node breaks off.
var errStopped = errors.New("the node of the target stops")

// Drain refuses new calls and waits for the running ones.
func (t *Target) Drain(ctx context.Context) error {
	t.drainer.Close()
	t.onState()
	return t.drainer.Drain(ctx)
}

// Close closes the idle connections to the upstream.
func (t *Target) Close() {
	t.client.CloseIdleConnections()
}

// PollQueue is the background task that drops queued calls that can't meet their
// deadline.
func (t *Target) PollQueue(ctx context.Context) error {
	return t.gate.poll(ctx)
}

// Load returns the current utilization of the local upstream.
func (t *Target) Load() Load {
	return t.gate.load()
}

// Serve handles a call stream from another node.
func (t *Target) Serve(s *frame.Stream) {
	now := time.Now()
	head, err := unpack[CallHead](s.Head())
	if err != nil || head.Attempt == "" {
		s.Reset(frame.CodeInvalid)
		return
	}
	head.Call.Deadline = head.deadline(now)
	if head.Incarnation != 0 && head.Incarnation != t.incarnation {
		t.refuseStream(s, &head, t.restartRefusal(&head))
		return
	}
	a, isNew := t.attempts.begin(head.Attempt, s, head.Call.Deadline, now)
	switch {
	case isNew:
		a.cancelWith(s)
		t.runAttempt(a, s, &head, now)
	case head.Resume:
		if e := a.resume(s); e != nil {
			t.refuseStream(s, &head, e)
		}
	default:
		// The attempt was resumed on another link before its first stream arrived
		// here. The reply goes to the newer stream.
		s.Reset(frame.CodeInvalid)
	}
}

// restartRefusal returns the refusal of an attempt that was sent to an earlier
// process of this node. If the attempt is resumed, the earlier process may have
// executed it.
func (t *Target) restartRefusal(h *CallHead) *refuse.Error {
	e := refuse.New(refuse.NoUpstream, "the node of the target was restarted")
	if h.Resume {
		e = e.WithExecuted(refuse.ExecutionUnknown)
	}
	return e
}

// runAttempt admits and dispatches a new attempt.
func (t *Target) runAttempt(a *attempt, s *frame.Stream, h *CallHead, now time.Time) {
	defer func() { t.attempts.end(a, time.Now()) }()
	t.balancer.StartCall(h.Service, now)
	t.gate.measureSchedulerDelay()
	t.adoptStatement(h.Statement, now)
	if !t.drainer.Enter() {
		t.refuseCall(a, h, refuse.New(refuse.NoUpstream, "the target is draining"), h.Call.Attempts)
		return
	}
	defer t.drainer.Leave()
	if records := t.crashes.unknownToCaller(h, now); len(records) > 0 {
		t.sendRefusal(a, h, ReplyHead{Refusal: refuse.New(refuse.NoUpstream, "the fingerprint of the request is needed"), AttemptsLeft: h.Call.Attempts, Crashes: records})
		return
	}
	up, refusal := t.checkCall(h, now)
	if refusal == nil {
		refusal = t.checkZone()
	}
	if refusal == nil && t.refuseCold(a, h, t.coldWait(h.Service, now)) {
		return
	}
	if refusal == nil {
		refusal = t.gate.enter(a.ctx, h, now)
		if refusal == nil {
			refusal = t.checkZone() // the zone may be evacuated while the call waits
			if refusal != nil {
				t.gate.cancel(time.Now())
			}
		}
	}
	if refusal != nil && errors.Is(context.Cause(a.ctx), errStopped) {
		refusal = refuse.New(refuse.NoUpstream, "the node of the target stops")
	}
	if refusal != nil {
		t.refuseCall(a, h, refusal, h.Call.Attempts)
		return
	}
	if t.refuseCold(a, h, t.takeCold(h.Service, time.Now())) {
		t.gate.cancel(time.Now())
		return
	}
	defer func() {
		ended := time.Now()
		t.finish.Record(h.Route, ended.Sub(now), ended)
	}()
	c := &upstreamCall{target: t, attempt: a, stream: s, head: h, active: t.calls.Begin(a.ctx, h.Route, h.RequestID, h.Call), began: time.Now(), process: up.process()}
	defer t.calls.End(c.active)
	c.dispatch(up)
}

// checkCall returns the upstream if the call may start, otherwise a refusal.
func (t *Target) checkCall(h *CallHead, now time.Time) (Upstream, *refuse.Error) {
	up, ok := t.Upstream(now)
	if !ok || up.Service != h.Service || up.State == Draining {
		return Upstream{}, refuse.New(refuse.NoUpstream, "no upstream of service %q at this node", h.Service)
	}
	if !now.Before(h.Call.Deadline) {
		return Upstream{}, refuse.New(refuse.DeadlineExceeded, "the deadline passed before the dispatch")
	}
	if !t.finish.Fits(h.Route, h.Call.Deadline, now) {
		return Upstream{}, refuse.New(refuse.NoUpstream, "the node of the target stops before the call can end")
	}
	cur := t.store.Current()
	if cur == nil {
		return Upstream{}, refuse.New(refuse.NotReady, "the target has no configuration yet")
	}
	if h.Fingerprint != nil && t.crashes.registry.Refuses(*h.Fingerprint, now) {
		return Upstream{}, crashRefusal()
	}
	known := h.Call.KeyID == "" || cur.View.ValidKey(h.Call.KeyID)
	if !known && cur.View.Next < h.ConfigOffset {
		return Upstream{}, refuse.New(refuse.ConfigStale, "the target's configuration is older than that of the entry").WithRetryAfter(staleRetryAfter)
	}
	if !known {
		return Upstream{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	if limit := time.Duration(cur.View.Routes[h.Route].MaxConfigAgeMS) * time.Millisecond; limit > 0 && t.store.Age(boot.Now()) > limit {
		return Upstream{}, refuse.New(refuse.ConfigStale, "the configuration is older than route %q permits", h.Route).WithRetryAfter(staleRetryAfter)
	}
	return up, nil
}

// replyWriter sends the reply to an attempt.
type replyWriter interface {
	SendHead(head []byte) error
	CloseWrite(trailer []byte) error
}

func (t *Target) refuseCall(w replyWriter, h *CallHead, e *refuse.Error, attemptsLeft int) {
	t.sendRefusal(w, h, ReplyHead{Refusal: e, AttemptsLeft: attemptsLeft})
}

func (t *Target) sendRefusal(w replyWriter, h *CallHead, r ReplyHead) {
	t.metrics.Add(metric.Refused+string(r.Refusal.Reason), 1)
	r.Feedback, r.Statement = t.feedback(h), t.statementToSend()
	data, err := pack(r)
	if err == nil {
		err = w.SendHead(data)
	}
	if err == nil {
		_ = w.CloseWrite(nil)
	}
}

// refuseStream refuses an attempt for which this stream isn't registered in the
// table of attempts.
func (t *Target) refuseStream(s *frame.Stream, h *CallHead, e *refuse.Error) {
	t.refuseCall(s, h, e, h.Call.Attempts)
}

func (t *Target) feedback(h *CallHead) Feedback {
	now := time.Now()
	f := t.balancer.MergeFeedback(h.Service, h.Call.Customer, t.gate.feedback(h.Call.Customer, now), now)
	cold, wait := t.coldFeedback(h.Service, now)
	return Feedback{Feedback: f, Draining: t.drainer.Draining(), Cold: cold, FullUS: wait.Microseconds()}
}
