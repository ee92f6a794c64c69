package claim

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var baseTime = time.UnixMilli(1_800_000_000_000)

// testNode is a node with an issuer and a table.
type testNode struct {
	issuer *Issuer
	table  *Table
	own    Ownership
	now    time.Time
}

func newTestNode(opts ...Option) *testNode {
	issuer, _ := NewIssuer("n", 1, baseTime, WithWindow(64))
	return &testNode{issuer: issuer, table: NewTable(issuer, baseTime, opts...), own: Ownership{Owner: true, LeaseValid: true}, now: baseTime.Add(time.Minute)}
}

func callerKey(at time.Time, n byte) Key {
	ms := uint64(at.UnixMilli())
	return Key{Kind: KindCaller, UUID: [16]byte{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 7 << 4, 0, 2 << 6, n}}
}

func request(k Key) *Request {
	return &Request{Key: k, Route: "r", Fingerprint: Fingerprint{Method: "POST", Path: "/p", Length: 3, Digest: []byte("a")}, Call: model.Call{Customer: "c", Attempts: 2}}
}

func (r *testNode) key(n byte) Key { return callerKey(r.now, n) }

func (r *testNode) issue(t testing.TB, customer string, n int) []Key {
	t.Helper()
	keys, err := r.issuer.Issue(r.now, customer, n)
	assert.Assert(t, err == nil, "%v", err)
	return keys
}

func (r *testNode) claim(k Key) Decision { return r.table.Claim(r.now, r.own, request(k)) }

func (r *testNode) dispatch(t testing.TB, k Key) *Ticket {
	t.Helper()
	d := r.claim(k)
	assert.Equal(t, d.Verdict, Run)
	assert.Assert(t, d.Ticket.Dispatch(r.now, r.own) == nil)
	return d.Ticket
}

func (r *testNode) run(t testing.TB, k Key, body string) {
	t.Helper()
	r.dispatch(t, k).Finish(r.now, &Response{Status: 201, Body: []byte(body)})
}

func wantRefusal(t testing.TB, d Decision, reason refuse.Reason, executed refuse.Executed, detail string) {
	t.Helper()
	assert.Equal(t, d.Verdict, Refuse)
	assert.Equal(t, d.Refusal.Reason, reason, d.Refusal.Detail)
	assert.Equal(t, d.Refusal.Executed, executed, d.Refusal.Detail)
	assert.Assert(t, strings.Contains(d.Refusal.Detail, detail), d.Refusal.Detail)
}

// Guards against refusals with the wrong reason or a false executed "no".
func TestClaimRefusals(t *testing.T) {
	tests := []struct {
		name     string
		change   func(r *testNode, q *Request, issued Key)
		reason   refuse.Reason
		executed refuse.Executed
		detail   string
	}{
		{"not owner", func(r *testNode, _ *Request, _ Key) { r.own.Owner = false }, refuse.NotReady, refuse.ExecutionUnknown, "own"},
		{"no lease", func(r *testNode, _ *Request, _ Key) { r.own.LeaseValid = false }, refuse.NotReady, refuse.ExecutionUnknown, "lease"},
		{"too old", func(r *testNode, _ *Request, _ Key) { r.now = r.now.Add(MaxAge + time.Millisecond) }, refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "expire"},
		{"ahead", func(r *testNode, _ *Request, _ Key) { r.now = r.now.Add(-MaxClockSkew - time.Millisecond) }, refuse.IdempotencyKeyInvalid, refuse.NotExecuted, "2.001s ahead"},
		{"ahead after retirement", func(r *testNode, _ *Request, _ Key) {
			r.now = r.now.Add(-3 * time.Second)
			r.own.ExclusiveSince = r.now
		}, refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "ahead"},
		{"before retirement", func(r *testNode, _ *Request, _ Key) { r.own.ExclusiveSince = r.now.Add(-2 * MaxClockSkew) }, refuse.OutcomeUnknown, refuse.ExecutionUnknown, "earlier owner"},
		{"before restart", func(r *testNode, _ *Request, _ Key) { r.table.start = r.now.Add(-2 * MaxClockSkew) }, refuse.OutcomeUnknown, refuse.ExecutionUnknown, "earlier owner"},
		{"deadline", func(r *testNode, q *Request, _ Key) { q.Call.Deadline = r.now }, refuse.DeadlineExceeded, refuse.NotExecuted, "deadline"},
		{"no attempts", func(_ *testNode, q *Request, _ Key) { q.Call.Attempts = 0 }, refuse.AttemptsExhausted, refuse.NotExecuted, "attempts"},
		{"full", func(r *testNode, _ *Request, _ Key) { r.table.maxEntries = 0 }, refuse.Overloaded, refuse.NotExecuted, "keys"},
		{"other customer", func(_ *testNode, q *Request, k Key) { q.Key = k; q.Call.Customer = "d" }, refuse.IdempotencyKeyInvalid, refuse.NotExecuted, "not issued"},
		{"forged", func(_ *testNode, q *Request, k Key) { q.Key = k; q.Key.Seq++ }, refuse.IdempotencyKeyInvalid, refuse.NotExecuted, "not issued"},
		{"issuer gone", func(_ *testNode, q *Request, k Key) { q.Key = k; q.Key.Incarnation++ }, refuse.OutcomeUnknown, refuse.ExecutionUnknown, "gone"},
		{"issued too old", func(r *testNode, q *Request, k Key) { q.Key = k; r.now = r.now.Add(MaxAge + time.Millisecond) }, refuse.IdempotencyKeyInvalid, refuse.NotExecuted, "expire"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestNode()
			q := request(r.key(1))
			tt.change(r, q, r.issue(t, "c", 1)[0])
			wantRefusal(t, r.table.Claim(r.now, r.own, q), tt.reason, tt.executed, tt.detail)
		})
	}
}

// Guards against a key that is accepted for a request that differs from the
// first one, and against identifiers that mix customers or routes.
func TestContentAndScope(t *testing.T) {
	tests := []struct {
		part   string
		change func(*Request)
	}{
		{"method", func(q *Request) { q.Fingerprint.Method = "PUT" }},
		{"path", func(q *Request) { q.Fingerprint.Path = "/q" }},
		{"body length", func(q *Request) { q.Fingerprint.Length = 4 }},
		{"body", func(q *Request) { q.Fingerprint.Digest = []byte("b") }},
	}
	r := newTestNode()
	r.run(t, r.key(1), "x")
	open := r.claim(r.key(2)).Ticket
	open.Release(2, refuse.New(refuse.Overloaded, "shed"))
	for _, tt := range tests {
		for n, x := range []refuse.Executed{1: refuse.ExecutionUnknown, 2: refuse.NotExecuted} {
			if n > 0 {
				q := request(r.key(byte(n)))
				tt.change(q)
				wantRefusal(t, r.table.Claim(r.now, r.own, q), refuse.IdempotencyKeyInvalid, x, "different "+tt.part)
			}
		}
	}
	for _, change := range []func(*Request){
		func(q *Request) { q.Route = "s" },
		func(q *Request) { q.Call.Customer = "d" },
	} {
		q := request(r.key(1))
		change(q)
		assert.Equal(t, r.table.Claim(r.now, r.own, q).Verdict, Run)
	}
	q := request(r.key(1))
	q.Fingerprint.Length, q.Fingerprint.Digest = UnknownLength, nil
	assert.Equal(t, r.table.Claim(r.now, r.own, q).Verdict, Replay)
}

// Guards against two owners that both run one key. The first owner claims it
// until the end of its lease, the second one starts when that lease has ended,
// and the clocks and the time of the key differ by as much as is permitted.
func TestTwoOwners(t *testing.T) {
	offset := rapid.SampledFrom([]time.Duration{-MaxClockSkew / 2, 0, MaxClockSkew / 2})
	ms := func(t *rapid.T, from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTestNode(), newTestNode()
		end := baseTime.Add(time.Hour)
		a.now = end.Add(offset.Draw(t, "clock a") - ms(t, 1, 100, "before"))
		k := callerKey(a.now.Add(ms(t, -100, 6000, "ahead")), 1)
		first := a.claim(k)
		offsetB := offset.Draw(t, "clock b")
		b.own.ExclusiveSince = end.Add(offsetB)
		b.now = b.own.ExclusiveSince.Add(ms(t, 0, 9000, "after"))
		if first.Verdict == Run && b.claim(k).Verdict == Run {
			t.Fatalf("key %v ran at both owners", k)
		}
	})
}

// Guards against a key that is dispatched twice by concurrent requests, and
// against joined requests that never get a result.
func TestSameMoment(t *testing.T) {
	r := newTestNode()
	for _, k := range []Key{r.key(1), r.issue(t, "c", 1)[0]} {
		var runs atomic.Int32
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				d := r.claim(k)
				if d.Verdict == Run && d.Ticket.Dispatch(r.now, r.own) == nil {
					runs.Add(1)
					d.Ticket.Finish(r.now, &Response{Status: 201})
				} else if d.Verdict == Join {
					<-d.Waiter.Done()
					d = d.Waiter.Result()
				}
				assert.Check(t, d.Verdict == Run || d.Response.Status == 201)
			})
		}
		wg.Wait()
		assert.Equal(t, runs.Load(), int32(1))
	}
}

// Guards against unbounded memory, and against an eviction that also loses the
// fact that a key ran.
func TestEviction(t *testing.T) {
	r := newTestNode(WithResponseBytes(20, 10), WithMaxEntries(4))
	for n, body := range []string{"old-8888", "new-8888", "last-888", "too large 11"} {
		r.run(t, r.key(byte(n)), body)
	}
	assert.Equal(t, r.table.Stats(), Stats{Keys: 4, Responses: 2, Bytes: 16})
	wantRefusal(t, r.claim(r.key(0)), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "status 201")
	wantRefusal(t, r.claim(r.key(3)), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "status 201")
	assert.Equal(t, string(r.claim(r.key(1)).Response.Body), "new-8888")
	wantRefusal(t, r.claim(r.key(4)), refuse.Overloaded, refuse.NotExecuted, "too many")
	r.now = r.now.Add(MaxAge + 2*time.Second)
	r.table.RemoveExpired(r.now)
	assert.Equal(t, r.table.Stats(), Stats{})
	keys := r.issue(t, "c", 5)
	for _, k := range keys {
		r.run(t, k, "issued")
	}
	assert.Equal(t, r.table.Stats().Keys, 4)
	wantRefusal(t, r.claim(keys[0]), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "no longer kept")
}

// Guards against a key that runs again after the owner's clock was set back or
// far ahead.
func TestClockSteps(t *testing.T) {
	r := newTestNode()
	k := r.key(1)
	r.run(t, k, "x")
	first := r.now
	r.now = first.Add(MaxAge + 3*time.Second)
	r.table.RemoveExpired(r.now)
	r.now = first.Add(MaxAge - time.Second)
	wantRefusal(t, r.claim(k), refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "expire")
	r.now = first.Add(100 * MaxAge)
	r.run(t, r.key(2), "y")
	assert.Equal(t, r.table.Stats().Keys, 1)
}

// Guards against a ticket that dispatches after another request has claimed the
// key, and against a repeated request that uses more attempts than its root has
// left.
func TestTicket(t *testing.T) {
	r := newTestNode()
	q := request(r.key(1))
	q.Call.Deadline = r.now.Add(time.Second)
	old := r.table.Claim(r.now, r.own, q)
	joined := r.claim(q.Key)
	r.now = r.now.Add(time.Second)
	wantRefusal(t, r.claim(q.Key), refuse.AttemptsExhausted, refuse.NotExecuted, "attempts")
	wantRefusal(t, joined.Waiter.Result(), refuse.DeadlineExceeded, refuse.NotExecuted, "deadline")
	assert.Equal(t, old.Ticket.Release(2, refuse.New(refuse.Overloaded, "late")).Executed, refuse.ExecutionUnknown)

	q = request(r.key(2))
	q.Call.Attempts, q.Call.Deadline = 4, r.now.Add(time.Second)
	old = r.table.Claim(r.now, r.own, q)
	old.Ticket.entry.attemptsLeft = 1 // as if some attempts had been returned
	r.now = r.now.Add(time.Second)
	next := r.claim(q.Key)
	assert.Equal(t, next.Ticket.Attempts, 1)
	r.now = r.now.Add(-time.Second) // the clock is set back to before the old deadline
	assert.Equal(t, old.Ticket.Dispatch(r.now, r.own).Executed, refuse.ExecutionUnknown)
	assert.Assert(t, next.Ticket.Dispatch(r.now, r.own) == nil)
	old.Ticket.Finish(r.now, &Response{Status: 500})
	assert.Equal(t, r.claim(q.Key).Verdict, Join)
	assert.Equal(t, next.Ticket.Release(1, refuse.New(refuse.Overloaded, "late")).Executed, refuse.ExecutionUnknown)
	wantRefusal(t, r.claim(q.Key), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "not known")

	large := r.dispatch(t, r.key(3))
	joined = r.claim(r.key(3))
	large.FinishStatus(r.now, 200)
	wantRefusal(t, joined.Waiter.Result(), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "status 200")
	wantRefusal(t, r.claim(r.key(3)), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "status 200")
	assert.Equal(t, WithUnknownExecution(refuse.New(refuse.RateLimited, "at entry")).Executed, refuse.ExecutionUnknown)
}

// Guards against a request that can't be sent to another target after the first
// one proved that it did not run there.
func TestUndo(t *testing.T) {
	r := newTestNode()
	for _, k := range []Key{r.key(1), r.issue(t, "c", 1)[0]} {
		ticket := r.dispatch(t, k)
		ticket.UndoDispatch()
		assert.Assert(t, ticket.Dispatch(r.now, r.own) == nil)
		ticket.UndoDispatch()
		assert.Equal(t, ticket.Release(1, refuse.New(refuse.Overloaded, "shed")).Executed, refuse.NotExecuted)
		r.run(t, k, "x")
	}
}

// Guards against a fingerprint that omits a body that was streamed.
func TestSetBody(t *testing.T) {
	r := newTestNode()
	q := request(r.key(1))
	q.Fingerprint.Length, q.Fingerprint.Digest = UnknownLength, nil
	r.table.Claim(r.now, r.own, q).Ticket.SetBody(3, []byte("a"))
	q = request(q.Key)
	q.Fingerprint.Digest = []byte("b")
	wantRefusal(t, r.table.Claim(r.now, r.own, q), refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "different body")
}

// Guards against keys that run after they left the window, and against one
// customer that fills the whole window.
func TestIssuerWindow(t *testing.T) {
	r := newTestNode()
	refused := func(customer string, n int, reason refuse.Reason) {
		t.Helper()
		_, err := r.issuer.Issue(r.now, customer, n)
		assert.Equal(t, err.Reason, reason)
	}
	refused("c", 0, refuse.BadRequest)
	refused("c", MaxKeysPerIssue+1, refuse.BadRequest)
	keys := r.issue(t, "c", 16)
	r.run(t, keys[0], "x")
	refused("c", 1, refuse.RateLimited)
	for _, customer := range []string{"d", "e", "f"} {
		r.issue(t, customer, 16)
	}
	refused("g", 1, refuse.RateLimited)
	r.now = r.now.Add(MaxAge + 2*time.Second)
	r.table.RemoveExpired(r.now)
	r.issue(t, "c", 16)
	wantRefusal(t, r.claim(keys[0]), refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "expire")
	for _, name := range []string{"", strings.Repeat("n", maxInstanceBytes+1)} {
		_, err := NewIssuer(name, 1, baseTime)
		assert.ErrorContains(t, err, "instance must have")
	}
}
