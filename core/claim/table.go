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
	// DefaultMaxEntries bounds the keys in memory. It allows 218 callers' keys a
	// second with MaxAge. A node of the target size carries 113 calls a second,
	// so 68,000 in MaxAge if all of them were at most once.
	DefaultMaxEntries = 1 << 17
	// DefaultTotalResponseBytes bounds the stored responses of all keys.
	DefaultTotalResponseBytes = 4 << 20
	// DefaultMaxResponseBytes bounds one stored response, so that a large one
	// doesn't evict all others.
	DefaultMaxResponseBytes = 256 << 10
)

// Ownership is what this node knows about its right to run a caller's key. It
// is not used for issued keys.
type Ownership struct {
	Owner      bool // this node owns the key under the epoch that it adopted
	LeaseValid bool // its zone lease is valid now
	// ExclusiveSince is the time, by this node's clock, at which every earlier epoch was
	// retired in which another node owned the key; zero if there was none. An
	// owner that keeps a key over several epochs so keeps running it.
	ExclusiveSince time.Time
}

// Response is a complete response of an upstream.
type Response struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// bytes estimates the memory that the response takes.
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

// Verdict says what to do with a request.
type Verdict uint8

// Verdicts.
const (
	Run    Verdict = iota + 1 // dispatch it, using Ticket
	Join                      // wait for the request that is running, using Wait
	Replay                    // give Response
	Refuse                    // give Refusal
)

// Decision is the result of a claim. Only the field of its verdict is set.
type Decision struct {
	Verdict  Verdict
	Ticket   *Ticket
	Waiter   *Waiter
	Response *Response // shared; not to be changed
	Refusal  *refuse.Error
}

// Waiter is the place of a request that joined another one.
type Waiter struct {
	run *run
}

// Done returns a channel that is closed when the other request has ended.
func (w *Waiter) Done() <-chan struct{} {
	return w.run.done
}

// Result returns an Answer or Refuse decision. It may be called after Done is
// closed. If the refusal says executed "no" and the request still has time, it
// may claim again. A request that stops waiting earlier must report its
// execution as unknown.
func (w *Waiter) Result() Decision {
	<-w.run.done
	return w.run.result
}

// run is one try to run the request of a key.
type run struct {
	done     chan struct{}
	result   Decision // set before done is closed
	deadline time.Time
}

// end wakes the requests that joined. Only the first call has an effect.
func (r *run) end(d Decision) {
	if r.result.Verdict != 0 {
		return
	}
	r.result = d
	close(r.done)
}

type state uint8

const (
	stateOpen       state = iota // surely not dispatched; may be claimed
	stateClaimed                 // a ticket is out
	stateDispatched              // sent to an upstream
	stateDone                    // the outcome is known
	stateUnknown                 // dispatched without a known outcome
)

// entry is the knowledge about one key. Its size decides how many keys fit into
// memory, hence the small integers.
type entry struct {
	id       ID
	content  content
	state    state
	issued   bool
	left     int32 // attempts that remain to the root
	status   int32 // of the response
	bytes    int32 // of the stored response
	keyMS    int64 // time of the key, milliseconds since 1970
	root     string
	run      *run
	response *Response     // nil if it was not stored or was evicted
	stored   *list.Element // place in Table.stored if response is set
}

// Table holds the claims of one node. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	issuer   *Issuer
	start    time.Time
	index    *Index
	queue    *Queue
	entries  map[ID]*entry
	bySecond map[int64][]ID // by second of the key time, for expiry
	expired  int64          // keys of earlier seconds were dropped
	stored   list.List      // entries with a response, oldest first
	bytes    int            // of the stored responses
	settled  []ID           // issued keys that were run, oldest first

	maxEntries  int
	maxBytes    int
	maxResponse int
}

// Option changes a setting of a table.
type Option func(*Table)

// WithIndex sets the index of the log's records that resolves keys which other
// owners ran.
func WithIndex(ix *Index) Option {
	return func(t *Table) { t.index = ix }
}

// WithQueue sets the queue that takes the records of this table.
func WithQueue(q *Queue) Option {
	return func(t *Table) { t.queue = q }
}

// WithMaxEntries bounds the number of keys in memory.
func WithMaxEntries(n int) Option {
	return func(t *Table) { t.maxEntries = n }
}

// WithResponseBytes bounds the stored responses together and each.
func WithResponseBytes(all, each int) Option {
	return func(t *Table) { t.maxBytes, t.maxResponse = all, each }
}

// NewTable returns an empty table. As its memory starts at now, it treats every
// caller's key from before as one that an earlier owner may have run.
func NewTable(issuer *Issuer, now time.Time, opts ...Option) *Table {
	t := &Table{
		issuer:      issuer,
		start:       now,
		entries:     map[ID]*entry{},
		bySecond:    map[int64][]ID{},
		expired:     now.Add(-MaxAge).Unix(),
		maxEntries:  DefaultMaxEntries,
		maxBytes:    DefaultTotalResponseBytes,
		maxResponse: DefaultMaxResponseBytes,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Claim decides about a request at the node that dispatches its key. own must
// have been determined at now.
func (t *Table) Claim(now time.Time, own Ownership, req *Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if t.issuer.IsOwn(req.Key) && !t.issuer.Valid(req.Key, req.Call.Customer) {
		return refused(refuse.New(refuse.IdempotencyKeyInvalid, "the key was not issued to this customer"))
	}
	id := req.ID()
	e := t.entries[id]
	if e != nil {
		if d := t.repeat(now, e, req); d.Verdict != 0 {
			return d
		}
	} else if d := t.resolve(now, id, req); d.Verdict != 0 {
		return d
	}
	if err := t.mayRun(now, own, req); err != nil {
		return refused(err)
	}
	return t.claim(now, id, e, req)
}

// Resolve answers a request whose key no reachable node may run, such as an
// issued key of an incarnation that is gone: with the outcome in the log, or as
// unknown.
func (t *Table) Resolve(now time.Time, req *Request) Decision {
	if d := t.resolve(now, req.ID(), req); d.Verdict != 0 {
		return d
	}
	return refused(unknown("no node that can be reached knows the outcome of this key"))
}

// RemoveExpired drops what is too old. Claim does the same; RemoveExpired is for times without
// requests.
func (t *Table) RemoveExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
}

// repeat decides about a request whose key is in memory. The verdict is zero if
// the request may run as far as the entry says.
func (t *Table) repeat(now time.Time, e *entry, req *Request) Decision {
	if part := e.content.differs(req.Fingerprint.compact()); part != "" {
		return refused(mismatch(part).WithExecuted(e.executed()))
	}
	if e.state == stateClaimed && passed(now, e.run.deadline) {
		// The ticket can't dispatch any more, so its holder need not return it.
		e.run.end(refused(refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch")))
		e.state, e.run = stateOpen, nil
	}
	switch e.state {
	case stateClaimed, stateDispatched:
		return Decision{Verdict: Join, Waiter: &Waiter{run: e.run}}
	case stateDone, stateUnknown:
		if d := t.resolve(now, e.id, req); d.Verdict == Replay && e.response == nil {
			return d // the log still has the response
		}
		return e.outcome()
	}
	return Decision{}
}

// executed says whether a request may have been run that is refused although
// its key is in memory. A key that was claimed here is never run elsewhere.
func (e *entry) executed() refuse.Executed {
	if e.state == stateOpen {
		return refuse.NotExecuted
	}
	return refuse.ExecutionUnknown
}

// outcome answers a request whose key was dispatched and has ended.
func (e *entry) outcome() Decision {
	switch {
	case e.response != nil:
		return Decision{Verdict: Replay, Response: e.response}
	case e.state == stateDone:
		return refused(ranUnkept(int(e.status)))
	}
	return refused(unknown("the request with this key was dispatched; its outcome is not known"))
}

// resolve answers from the records of the log.
func (t *Table) resolve(now time.Time, id ID, req *Request) Decision {
	if t.index == nil {
		return Decision{}
	}
	rec, ok := t.index.Lookup(now, id)
	if !ok {
		return Decision{}
	}
	if part := rec.Fingerprint.differs(req.Fingerprint.compact()); part != "" {
		return refused(mismatch(part).WithExecuted(refuse.ExecutionUnknown))
	}
	e := entry{state: stateUnknown, status: int32(rec.Status), response: rec.Response}
	if rec.State == RecordDone {
		e.state = stateDone
	}
	return e.outcome()
}

// mayRun says whether a key that is not in memory may be run now.
func (t *Table) mayRun(now time.Time, own Ownership, req *Request) *refuse.Error {
	if req.Key.Kind == KindIssued {
		return t.mayRunIssued(now, req.Key)
	}
	return t.mayRunCaller(now, own, req.Key)
}

func (t *Table) mayRunIssued(now time.Time, k Key) *refuse.Error {
	if !t.issuer.IsOwn(k) {
		return unknown("the node that issued this key is gone; no other node runs it")
	}
	return t.issuer.check(now, k)
}

func (t *Table) mayRunCaller(now time.Time, own Ownership, k Key) *refuse.Error {
	age := now.Sub(k.Time())
	switch {
	case age > MaxAge || k.Time().Unix() < t.expired:
		return expired(age)
	case !own.Owner:
		return notReady("this node doesn't own the key")
	case !own.LeaseValid:
		return notReady("the lease of the key's owner is not valid")
	case -age > MaxClockSkew:
		err := refuse.New(refuse.IdempotencyKeyInvalid, "the key's time is %v ahead of the clock; at most %v is accepted", -age.Round(time.Millisecond), MaxClockSkew)
		if !t.fresh(own, k) {
			err.Executed = refuse.ExecutionUnknown
		}
		return err
	case !t.fresh(own, k):
		return unknown("an earlier owner may have run this key, and the log has no outcome")
	}
	return nil
}

// fresh reports whether no earlier owner can have run the key.
func (t *Table) fresh(own Ownership, k Key) bool {
	since := own.ExclusiveSince
	if since.Before(t.start) {
		since = t.start
	}
	return k.Time().After(since.Add(2 * MaxClockSkew))
}

// claim gives the request a ticket. No one has dispatched the key.
func (t *Table) claim(now time.Time, id ID, e *entry, req *Request) Decision {
	if passed(now, req.Call.Deadline) {
		return refused(refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch"))
	}
	if e == nil {
		e = t.newEntry(id, req)
	}
	granted := min(int(e.left), req.Call.Attempts)
	if granted <= 0 {
		return refused(refuse.New(refuse.AttemptsExhausted, "no attempts are left to the first request with this key"))
	}
	if !t.insert(e) {
		return refused(refuse.New(refuse.Overloaded, "too many keys are in memory").WithRetryAfter(time.Second))
	}
	e.left -= int32(granted)
	e.state = stateClaimed
	e.run = &run{done: make(chan struct{}), deadline: req.Call.Deadline}
	return Decision{Verdict: Run, Ticket: &Ticket{
		Root:     e.root,
		Attempts: granted,
		table:    t,
		entry:    e,
		run:      e.run,
		key:      req.Key,
	}}
}

func (t *Table) newEntry(id ID, req *Request) *entry {
	e := &entry{
		id:      id,
		content: req.Fingerprint.compact(),
		issued:  req.Key.Kind == KindIssued,
		root:    req.Call.Root,
		left:    int32(min(req.Call.Attempts, math.MaxInt32)),
	}
	if e.issued {
		e.keyMS = t.issuer.start.Add(req.Key.SinceStart).UnixMilli()
	} else {
		e.keyMS = req.Key.Time().UnixMilli()
	}
	return e
}

func refused(err *refuse.Error) Decision {
	return Decision{Verdict: Refuse, Refusal: err}
}

func unknown(format string, args ...any) *refuse.Error {
	return refuse.New(refuse.OutcomeUnknown, format, args...).WithExecuted(refuse.ExecutionUnknown)
}

func ranUnkept(status int) *refuse.Error {
	return unknown("the request with this key ran with status %d; its response is not kept", status)
}

func expired(age time.Duration) *refuse.Error {
	detail := fmt.Sprintf("the key is %v old; keys expire after %v", age.Round(time.Second), MaxAge)
	return refuse.New(refuse.IdempotencyKeyInvalid, "%s", detail).WithExecuted(refuse.ExecutionUnknown)
}

func notReady(detail string) *refuse.Error {
	return refuse.New(refuse.NotReady, "%s", detail).WithExecuted(refuse.ExecutionUnknown).WithRetryAfter(time.Second)
}

func mismatch(part string) *refuse.Error {
	return refuse.New(refuse.IdempotencyKeyInvalid, "the key was used before for a request with a different %s", part)
}

// WithUnknownExecution returns a copy of a refusal for a request with a key by a node that
// is not the key's owner. Such a node can't know whether an earlier request
// with the key was dispatched.
func WithUnknownExecution(err *refuse.Error) *refuse.Error {
	return err.WithExecuted(refuse.ExecutionUnknown)
}

// passed reports whether a deadline is over. The zero time is no deadline.
func passed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
