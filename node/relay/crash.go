package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

const (
	// endChecks is the number of refused connections, endCheckPause apart, by which a
	// process counts as ended. An upstream that is short of connections may refuse one.
	endChecks     = 3
	endCheckPause = 40 * time.Millisecond
	// suspectWindow is how long after a broken exchange a new process of the upstream
	// shows that the former one ended at that time.
	suspectWindow = 15 * time.Second
)

// crashWatch finds out that the process of the local upstream has ended without
// announcing it, and which calls it was executing. It is safe for concurrent use.
type crashWatch struct {
	registry *crash.Registry
	instance string
	log      hclog.Logger

	mu       sync.Mutex
	running  map[*upstreamCall]struct{}
	isolated map[crash.Fingerprint]int // running calls that must not run beside each other
	broken   *brokenProcess            // nil if no exchange broke off lately
}

// brokenProcess is a process of the upstream that broke off an exchange and may
// have ended.
type brokenProcess struct {
	Process
	at      time.Time
	running []crash.Fingerprint // calls that it was executing
	unknown bool                // it was executing calls whose fingerprint isn't known
}

func newCrashWatch() *crashWatch {
	return &crashWatch{
		registry: crash.NewRegistry(nil), log: hclog.NewNullLogger(),
		running: map[*upstreamCall]struct{}{}, isolated: map[crash.Fingerprint]int{},
	}
}

// WithCrashes sets the records of the requests that end upstream processes, the
// name of the instance and the logger of ended processes.
func WithCrashes(r *crash.Registry, instance string, l hclog.Logger) TargetOption {
	return func(t *Target) { t.crashes.registry, t.crashes.instance, t.crashes.log = r, instance, l }
}

// WithCrashRecords sets the records of the requests that end upstream processes,
// which the caller refuses.
func WithCrashRecords(r *crash.Registry) CallerOption {
	return func(c *Caller) { c.crashes = r }
}

// crashRefusal is the refusal of a request that ends the processes which execute it.
func crashRefusal() *refuse.Error {
	return refuse.New(refuse.UpstreamsEnded, "upstream processes ended while they executed this request").WithRetryAfter(crash.FirstRefusalTime)
}

// fingerprint returns the fingerprint of a call. It returns false if the digest of
// the body isn't known.
func (c *upstreamCall) fingerprint() (crash.Fingerprint, bool) {
	h := c.head
	body, ok := c.body.digest()
	return crash.Fingerprint{Head: crash.HeadDigest(h.Method, h.URI, h.Call.Customer), Body: body}, ok
}

// unknownToCaller returns the records that the caller of a call lacks, if the call may
// be one that must not be executed or not beside others. A caller whose body isn't
// buffered can't send the call again.
func (w *crashWatch) unknownToCaller(h *CallHead, now time.Time) []crash.Record {
	if w.registry.Empty() || h.Fingerprint != nil || h.ContentLength < 0 || h.ContentLength > maxBufferedRequest {
		return nil
	}
	return w.registry.IsolatedWithHead(crash.HeadDigest(h.Method, h.URI, h.Call.Customer), now)
}

// begin records that a call runs. It returns a refusal if the call must not run
// beside those that do.
func (w *crashWatch) begin(c *upstreamCall, now time.Time) *refuse.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f := c.head.Fingerprint; f != nil && w.registry.Isolates(*f, now) {
		if len(w.isolated) > 0 && w.isolated[*f] == 0 {
			return refuse.New(refuse.NoUpstream, "the upstream executes another request that may end it").WithRetryAfter(overloadRetryAfter)
		}
		w.isolated[*f]++
		c.isolated = f
	}
	w.running[c] = struct{}{}
	return nil
}

// end records that a call has ended.
func (w *crashWatch) end(c *upstreamCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.running, c)
	if c.isolated == nil {
		return
	}
	if w.isolated[*c.isolated]--; w.isolated[*c.isolated] == 0 {
		delete(w.isolated, *c.isolated)
	}
}

// responded records that the process of the upstream sent a complete response, so
// that it hasn't ended and the call is not the reason if it does later.
func (w *crashWatch) responded(c *upstreamCall) {
	w.mu.Lock()
	if w.broken != nil && w.broken.same(c.process) && c.began.After(w.broken.at) {
		w.broken = nil
	}
	w.mu.Unlock()
	if w.registry.Empty() {
		return
	}
	if f, ok := c.fingerprint(); ok {
		w.registry.RecordResponse(f)
	}
}

// brokeOff records that the upstream broke off an exchange without a response. It
// returns true if a check whether the process has ended should begin.
func (w *crashWatch) brokeOff(c *upstreamCall, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken != nil && w.broken.same(c.process) && now.Sub(w.broken.at) < endChecks*endCheckPause {
		return false
	}
	w.broken = &brokenProcess{Process: c.process, at: now}
	for r := range w.running {
		if r.conn.Load() == nil || !c.process.same(r.process) {
			continue
		}
		if f, ok := r.fingerprint(); ok {
			w.broken.running = append(w.broken.running, f)
		} else {
			w.broken.unknown = true
		}
	}
	return true
}

// ended records that a process of the upstream has ended. It reports false if the
// process broke off no exchange within the suspectWindow.
func (w *crashWatch) ended(p Process, now time.Time) bool {
	w.mu.Lock()
	b := w.broken
	if b == nil || !b.same(p) || now.Sub(b.at) > suspectWindow {
		w.mu.Unlock()
		return false
	}
	w.broken = nil
	w.mu.Unlock()
	w.log.Warn("a process of the upstream ended without announcing it", "upstream", p.ID, "running", len(b.running))
	started := p.StartedMS
	if p.ID == "" && started == 0 {
		started = now.UnixMilli() // the process can't be identified otherwise
	}
	w.registry.RecordEnd(crash.ProcessID(w.instance, p.ID, started), b.running, !b.unknown, now)
	return true
}

// noteIfBroken handles a failed exchange if the upstream broke it off.
func (c *upstreamCall) noteIfBroken(ctx context.Context, up Upstream) {
	t := c.target
	if c.conn.Load() == nil || ctx.Err() != nil || up.State == Draining || !t.crashes.brokeOff(c, time.Now()) {
		return
	}
	super.Go("check of the upstream", func(err error) {
		t.crashes.log.Error("checking the upstream panicked", "error", err)
	}, func() {
		if refusesConnections(up.Addr) && !t.leaves(up.process()) {
			t.recordEnd(up.process(), time.Now())
		}
	})
}

// recordEnd records that a process of the upstream has ended without announcing it.
func (t *Target) recordEnd(p Process, now time.Time) {
	if t.crashes.ended(p, now) {
		t.metrics.Add(metric.UpstreamsEnded, 1)
	}
}

// leaves reports whether a process of the upstream has said that it ends.
func (t *Target) leaves(p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statement.current()
	return s.same(p) && s.Leaving
}

// refusesConnections reports whether no process listens at an address.
func refusesConnections(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	for range endChecks {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		if err == nil {
			_ = conn.Close()
			return false
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
		super.Pause(ctx, endCheckPause)
	}
	return true
}

// refuseKnown refuses a request that ends the processes which execute it.
func (c *Caller) refuseKnown(req *Request, now time.Time) *refuse.Error {
	if c.crashes.Empty() || !c.learnFingerprint(req) || !c.crashes.Refuses(*req.fingerprint, now) {
		return nil
	}
	return crashRefusal()
}

// learnFingerprint determines the fingerprint of a request if its head is known, since
// the digest of the body may require to wait for the body. It reports whether the
// fingerprint is set.
func (c *Caller) learnFingerprint(req *Request) bool {
	if req.fingerprint != nil {
		return true
	}
	head := crash.HeadDigest(req.Method, req.URI, req.Call.Customer)
	if !c.crashes.KnowsHead(head) {
		return false
	}
	body, ok := req.Body.prefixDigest()
	if ok {
		req.fingerprint = &crash.Fingerprint{Head: head, Body: body}
	}
	return ok
}

// isSuspect reports whether a request may be one that ends the processes which execute
// it. Whether it has done so once more is known only a little after its exchange broke off,
// so it isn't retried.
func (c *Caller) isSuspect(req *Request, now time.Time) bool {
	return req.fingerprint != nil && c.crashes.Isolates(*req.fingerprint, now)
}
