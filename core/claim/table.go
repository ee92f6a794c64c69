package claim

import (
	"container/list"
	"fmt"
	"math"
	"sync"
	"time"

	"dogwoodsill.org/core/refuse"
)

// Limits of a table.
const (
	// DefaultMaxEntries is the default maximum number of keys in memory. It
	// allows 218 callers' keys per second with MaxAge. At the target fleet size
	// a node handles 113 calls per second, which is 68,000 keys in MaxAge if
	// all calls are on at-most-once routes.
	DefaultMaxEntries = 1 << 17
	// DefaultTotalResponseBytes is the default memory limit of all stored
	// responses together.
	DefaultTotalResponseBytes = 4 << 20
	// DefaultMaxResponseBytes is the default maximum size of one stored
	// response. It keeps one large response from evicting all others.
	DefaultMaxResponseBytes = 256 << 10
)

// Ownership is what this node knows about its right to run a caller's key. It
// is not used for issued keys.
type Ownership struct {
	Owner      bool // this node owns the key under the epoch that it has adopted
	LeaseValid bool // the zone lease of this node is valid now
	// ExclusiveSince is the time, by this node's clock, at which every earlier
	// epoch in which another node owned the key was retired; zero if there was
	// none. Epochs in which this node was the owner don't count, so a node that
	// stays the owner over several epochs continues to run the key.
	ExclusiveSince time.Time
}

// Response is a complete response of an upstream.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// bytes estimates the memory of the response.
func (r *Response) bytes() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Verdict says how to handle a request.
type Verdict uint8

// Verdicts and the field of Decision that each one sets.
const (
	Run    Verdict = iota + 1 // dispatch the request with Ticket
	Join                      // wait with Waiter for the execution that is in progress
	Replay                    // return Response, which an earlier request with the key received
	Refuse                    // return Refusal
)

// Decision is the result of a claim. Only the field that belongs to its verdict
// is set.
type Decision struct {
	Verdict  Verdict
	Ticket   *Ticket
	Waiter   *Waiter
	Response *Response // shared; must not be modified
	Refusal  *refuse.Error
}

// Waiter waits for the execution that a request has joined.
type Waiter struct {
	execution *execution
}

// Done returns a channel that is closed when the execution has ended.
func (w *Waiter) Done() <-chan struct{} {
	return w.execution.done
}

// Result waits for the execution to end and returns a Replay or Refuse
// decision. If the refusal reports executed "no" and the deadline of the joined
// request has not passed, that request may claim the key again. A request that
// stops waiting before Done is closed must report its execution as unknown.
func (w *Waiter) Result() Decision {
	<-w.execution.done
	return w.execution.result
}

// execution is one execution of the request of a key, from its claim to its
// result.
type execution struct {
	done     chan struct{}
	result   Decision // set before done is closed
	deadline time.Time
}

// complete sets the result and wakes the requests that joined. Only the first
// call has an effect.
func (e *execution) complete(d Decision) {
	if e.result.Verdict != 0 {
		return
	}
	e.result = d
	close(e.done)
}

type state uint8

const (
	stateUnclaimed  state = iota // not dispatched; may be claimed
	stateClaimed                 // a ticket was returned and is not dispatched yet
	stateDispatched              // sent to an upstream
	stateDone                    // the outcome is known
	stateUnknown                 // dispatched, but the outcome is not known
)

// entry is the state of one key. Its size determines how many keys fit into
// memory, hence the small integer types.
type entry struct {
	id            ID
	fingerprint   compactFingerprint
	state         state
	issued        bool
	attemptsLeft  int32 // attempts that the root has left
	status        int32 // of the response
	responseBytes int32 // of the stored response
	keyMS         int64 // time of the key in milliseconds since 1970
	root          string
	execution     *execution
	response      *Response     // nil if it was not stored or was evicted
	responseElem  *list.Element // element of Table.responses if response is set
}

// Table holds the claims of one node. It is safe for concurrent use.
type Table struct {
	mu             sync.Mutex
	issuer         *Issuer
	start          time.Time
	index          *Index
	queue          *Queue
	entries        map[ID]*entry
	bySecond       map[int64][]ID // identifiers by second of the key time, for expiry
	expiredBefore  int64          // keys of seconds before this one were removed
	responses      list.List      // entries with a response, oldest first
	responseBytes  int            // of the stored responses
	finishedIssued []ID           // issued keys whose execution ended, oldest first

	maxEntries            int
	maxTotalResponseBytes int
	maxResponseBytes      int
}

// Option configures a Table.
type Option func(*Table)

// WithIndex sets the index that supplies the outcomes of keys that other owners
// ran.
func WithIndex(ix *Index) Option {
	return func(t *Table) { t.index = ix }
}

// WithQueue sets the queue that receives the records of this table.
func WithQueue(q *Queue) Option {
	return func(t *Table) { t.queue = q }
}

// WithMaxEntries sets the maximum number of keys in memory.
func WithMaxEntries(n int) Option {
	return func(t *Table) { t.maxEntries = n }
}

// WithResponseBytes sets the memory limit of all stored responses together and
// the maximum size of each.
func WithResponseBytes(all, each int) Option {
	return func(t *Table) { t.maxTotalResponseBytes, t.maxResponseBytes = all, each }
}

// NewTable returns an empty table. It has no knowledge from before now, so it
// assumes that an earlier owner may have run any caller's key that is not
// clearly newer.
func NewTable(issuer *Issuer, now time.Time, opts ...Option) *Table {
	t := &Table{
		issuer:                issuer,
		start:                 now,
		entries:               map[ID]*entry{},
		bySecond:              map[int64][]ID{},
		expiredBefore:         now.Add(-MaxAge).Unix(),
		maxEntries:            DefaultMaxEntries,
		maxTotalResponseBytes: DefaultTotalResponseBytes,
		maxResponseBytes:      DefaultMaxResponseBytes,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Claim decides how to handle a request at the node that dispatches its key.
// own must have been determined at now.
func (t *Table) Claim(now time.Time, own Ownership, req *Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if t.issuer.IsOwn(req.Key) && !t.issuer.Valid(req.Key, req.Call.Customer) {
		return refusalDecision(refuse.New(refuse.IdempotencyKeyInvalid, "the key was not issued to this customer"))
	}
	id := req.ID()
	e := t.entries[id]
	if e != nil {
		if d := t.decideRepeat(now, e, req); d.Verdict != 0 {
			return d
		}
	} else if d := t.resolveFromLog(now, id, req); d.Verdict != 0 {
		return d
	}
	if err := t.mayRun(now, own, req); err != nil {
		return refusalDecision(err)
	}
	return t.grant(now, id, e, req)
}

// Resolve decides about a request whose key no reachable node may run, such as
// an issued key of an incarnation that has ended. It returns the outcome that
// the log holds, or a refusal with an unknown outcome.
func (t *Table) Resolve(now time.Time, req *Request) Decision {
	if d := t.resolveFromLog(now, req.ID(), req); d.Verdict != 0 {
		return d
	}
	return refusalDecision(outcomeUnknown("no node that can be reached knows the outcome of this key"))
}

// RemoveExpired removes keys that are too old to run. Claim does so too;
// RemoveExpired is for periods without requests.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
}

// decideRepeat decides about a request whose key is in memory. The verdict is
// zero if the entry permits that the request runs.
func (t *Table) decideRepeat(now time.Time, e *entry, req *Request) Decision {
	if part := e.fingerprint.firstDifference(req.Fingerprint.compact()); part != "" {
		return refusalDecision(contentMismatch(part).WithExecuted(e.executed()))
	}
	if e.state == stateClaimed && deadlinePassed(now, e.execution.deadline) {
		// The holder of the ticket can no longer dispatch, so there is no need to wait
		// until it releases the ticket.
		e.execution.complete(refusalDecision(refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch")))
		e.state, e.execution = stateUnclaimed, nil
	}
	switch e.state {
	case stateClaimed, stateDispatched:
		return Decision{Verdict: Join, Waiter: &Waiter{execution: e.execution}}
	case stateDone, stateUnknown:
		if d := t.resolveFromLog(now, e.id, req); d.Verdict == Replay && e.response == nil {
			return d // the log still holds the response
		}
		return e.outcome()
	}
	return Decision{}
}

// executed returns the execution state to report when a request is refused
// although its key is in memory. A key that was claimed at this node is never
// run at another one.
func (e *entry) executed() refuse.Executed {
	if e.state == stateUnclaimed {
		return refuse.NotExecuted
	}
	return refuse.ExecutionUnknown
}

// outcome decides about a request whose key was dispatched and whose execution
// has ended.
func (e *entry) outcome() Decision {
	switch {
	case e.response != nil:
		return Decision{Verdict: Replay, Response: e.response}
	case e.state == stateDone:
		return refusalDecision(responseNotRetained(int(e.status)))
	}
	return refusalDecision(outcomeUnknown("the request with this key was dispatched; its outcome is not known"))
}

// resolveFromLog decides from the records of the log. The verdict is zero if
// there is no record of the key.
func (t *Table) resolveFromLog(now time.Time, id ID, req *Request) Decision {
	if t.index == nil {
		return Decision{}
	}
	rec, ok := t.index.Lookup(now, id)
	if !ok {
		return Decision{}
	}
	if part := rec.Fingerprint.firstDifference(req.Fingerprint.compact()); part != "" {
		return refusalDecision(contentMismatch(part).WithExecuted(refuse.ExecutionUnknown))
	}
	e := entry{state: stateUnknown, status: int32(rec.Status), response: rec.Response}
	if rec.State == RecordDone {
		e.state = stateDone
	}
	return e.outcome()
}

// mayRun returns nil if a key that was not dispatched according to memory and
// log may run now, or the refusal.
func (t *Table) mayRun(now time.Time, own Ownership, req *Request) *refuse.Error {
	if req.Key.Kind == KindIssued {
		return t.mayRunIssued(now, req.Key)
	}
	return t.mayRunCaller(now, own, req.Key)
}

func (t *Table) mayRunIssued(now time.Time, k Key) *refuse.Error {
	if !t.issuer.IsOwn(k) {
		return outcomeUnknown("the node that issued this key is gone; no other node runs it")
	}
	return t.issuer.checkDispatchable(now, k)
}

func (t *Table) mayRunCaller(now time.Time, own Ownership, k Key) *refuse.Error {
	age := now.Sub(k.Time())
	switch {
	case age > MaxAge || k.Time().Unix() < t.expiredBefore:
		return keyExpired(age)
	case !own.Owner:
		return notReady("this node doesn't own the key")
	case !own.LeaseValid:
		return notReady("the lease of the key's owner is not valid")
	case -age > MaxClockSkew:
		err := refuse.New(refuse.IdempotencyKeyInvalid, "the key's time is %v ahead of the clock; at most %v is accepted", -age.Round(time.Millisecond), MaxClockSkew)
		if !t.neverRunElsewhere(own, k) {
			err.Executed = refuse.ExecutionUnknown
		}
		return err
	case !t.neverRunElsewhere(own, k):
		return outcomeUnknown("an earlier owner may have run this key, and the log has no outcome")
	}
	return nil
}

// neverRunElsewhere reports whether the key is so new that no earlier owner can
// have run it.
func (t *Table) neverRunElsewhere(own Ownership, k Key) bool {
	since := own.ExclusiveSince
	if since.Before(t.start) {
		since = t.start
	}
	return k.Time().After(since.Add(2 * MaxClockSkew))
}

// grant returns a ticket for the request, unless its deadline, its attempts or
// the size of the table prevents it. The caller has checked that no one
// dispatched the key.
func (t *Table) grant(now time.Time, id ID, e *entry, req *Request) Decision {
	if deadlinePassed(now, req.Call.Deadline) {
		return refusalDecision(refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch"))
	}
	if e == nil {
		e = t.newEntry(id, req)
	}
	granted := min(int(e.attemptsLeft), req.Call.Attempts)
	if granted <= 0 {
		return refusalDecision(refuse.New(refuse.AttemptsExhausted, "no attempts are left to the first request with this key"))
	}
	if !t.insert(e) {
		return refusalDecision(refuse.New(refuse.Overloaded, "too many keys are in memory").WithRetryAfter(time.Second))
	}
	e.attemptsLeft -= int32(granted)
	e.state = stateClaimed
	e.execution = &execution{done: make(chan struct{}), deadline: req.Call.Deadline}
	return Decision{Verdict: Run, Ticket: &Ticket{
		Root:      e.root,
		Attempts:  granted,
		table:     t,
		entry:     e,
		execution: e.execution,
		key:       req.Key,
	}}
}

func (t *Table) newEntry(id ID, req *Request) *entry {
	e := &entry{
		id:           id,
		fingerprint:  req.Fingerprint.compact(),
		issued:       req.Key.Kind == KindIssued,
		root:         req.Call.Root,
		attemptsLeft: int32(min(req.Call.Attempts, math.MaxInt32)),
	}
	if e.issued {
		e.keyMS = t.issuer.start.Add(req.Key.SinceStart).UnixMilli()
	} else {
		e.keyMS = req.Key.Time().UnixMilli()
	}
	return e
}

func refusalDecision(err *refuse.Error) Decision {
	return Decision{Verdict: Refuse, Refusal: err}
}

func outcomeUnknown(format string, args ...any) *refuse.Error {
	return refuse.New(refuse.OutcomeUnknown, format, args...).WithExecuted(refuse.ExecutionUnknown)
}

func responseNotRetained(status int) *refuse.Error {
	return outcomeUnknown("the request with this key ran with status %d; its response is not kept", status)
}

func keyExpired(age time.Duration) *refuse.Error {
	detail := fmt.Sprintf("the key is %v old; keys expire after %v", age.Round(time.Second), MaxAge)
	return refuse.New(refuse.IdempotencyKeyInvalid, "%s", detail).WithExecuted(refuse.ExecutionUnknown)
}

func notReady(detail string) *refuse.Error {
	return refuse.New(refuse.NotReady, "%s", detail).WithExecuted(refuse.ExecutionUnknown).WithRetryAfter(time.Second)
}

func contentMismatch(part string) *refuse.Error {
	return refuse.New(refuse.IdempotencyKeyInvalid, "the key was used before for a request with a different %s", part)
}

// WithUnknownExecution returns a copy of a refusal with the execution state
// unknown. A node that is not the owner of a key uses it for its own refusals
// of requests with that key, because it can't know whether an earlier request
// with the key was dispatched.
func WithUnknownExecution(err *refuse.Error) *refuse.Error {
	return err.WithExecuted(refuse.ExecutionUnknown)
}

// deadlinePassed reports whether a deadline has passed. The zero time means no
// deadline.
func deadlinePassed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
