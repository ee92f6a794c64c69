package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000_000, 0)

// callTree makes a tree of calls as upstreams do and counts attempts. Every
// call retries as long as it has a token.
type callTree struct {
	depth, fanout int
	fails         func() bool
	reports       func(unused int) int // unused tokens that a node reports
	attempts      int
}

func (tr *callTree) call(tokens, depth int) (unused int) {
	b := NewBudget(tokens)
	for {
		childTokens, ok := b.Begin()
		if !ok {
			return 0
		}
		tr.attempts++
		remaining := childTokens
		if depth < tr.depth {
			for i := range tr.fanout {
				grant := Split(remaining, tr.fanout-i)
				remaining += tr.call(grant, depth+1) - grant
			}
		}
		b.End(tr.reports(remaining))
		if !tr.fails() {
			return b.Remaining()
		}
	}
}

// Guards against retries that multiply: the attempts of a tree of calls must
// not exceed the budget of its root, even if a remote node reports more unused
// tokens than it was lent.
func TestBudgetBoundsTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 200).Draw(t, "budget")
		extra := rapid.IntRange(0, 50).Draw(t, "extra")
		tr := &callTree{
			depth:   rapid.IntRange(1, 13).Draw(t, "depth"),
			fanout:  rapid.IntRange(1, 5).Draw(t, "fanout"),
			fails:   func() bool { return rapid.Bool().Draw(t, "fails") },
			reports: func(unused int) int { return unused },
		}
		unused := tr.call(budget, 1)
		assert.Assert(t, tr.attempts+unused <= budget, "%d attempts, %d unused of %d", tr.attempts, unused, budget)

		b := NewBudget(budget)
		childTokens, ok := b.Begin()
		b.End(childTokens + extra)
		assert.Assert(t, !ok || b.Remaining() == childTokens)
	})
}

// Guards against a retry storm in a chain of 13 calls with a fan-out in which
// every call fails and is retried.
func TestBudgetStormOfFailures(t *testing.T) {
	tr := &callTree{depth: 13, fanout: 3, fails: func() bool { return true }, reports: func(n int) int { return n }}
	tr.call(40, 1)
	assert.Equal(t, tr.attempts, 40)
}

// Guards against a split of tokens that leaves calls deep in a chain without
// any when nothing fails.
func TestBudgetReachesDepth(t *testing.T) {
	tr := &callTree{depth: 13, fanout: 1, fails: func() bool { return false }, reports: func(n int) int { return n }}
	assert.Equal(t, tr.call(16, 1), 3)
	assert.Equal(t, tr.attempts, 13)
}

func TestFanoutRisesAtOnce(t *testing.T) {
	var f Fanout
	assert.Equal(t, f.PendingChildren(0), 1)
	f.Observe(4)
	assert.Equal(t, f.PendingChildren(0), 4)
	assert.Equal(t, f.PendingChildren(3), 1)
	for range 100 {
		f.Observe(1)
	}
	assert.Equal(t, f.PendingChildren(0), 1)
}

// Guards against a node whose retries exceed a tenth of its first attempts, and
// against an idle node that can't retry at all.
func TestRatio(t *testing.T) {
	for _, c := range []struct{ first, want int }{{0, 10}, {50, 10}, {1000, 100}, {10_000, 1000}} {
		r := NewRatioLimiter()
		for range c.first {
			r.RecordFirst(start)
		}
		got := 0
		for range c.first + 100 {
			if r.Allow(start.Add(time.Second)) {
				got++
			}
		}
		assert.Equal(t, got, c.want, "first attempts %d", c.first)
		later := start.Add(time.Second + DefaultWindow)
		assert.Assert(t, r.Allow(later), "window doesn't slide")
	}
}

// Guards against a second execution of a request that is not idempotent, and
// against retries after a refusal of the whole class.
func TestSafe(t *testing.T) {
	for _, c := range []struct {
		o                     Outcome
		idempotent, otherwise bool
	}{
		{Success, false, false},
		{NotDispatched, true, true},
		{Refused, true, true},
		{Excluded, false, false},
		{Shed, true, false},
		{Failed, true, false},
		{Expired, false, false},
		{Rejected, false, false},
	} {
		assert.Equal(t, c.o.SafeToRetry(true), c.idempotent, "outcome %d, idempotent", c.o)
		assert.Equal(t, c.o.SafeToRetry(false), c.otherwise, "outcome %d, not idempotent", c.o)
	}
}

func TestNext(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	base := Attempt{Outcome: Failed, Idempotent: true, TokensLeft: 1, Deadline: start.Add(time.Minute)}
	for _, c := range []struct {
		name   string
		change func(a *Attempt)
		want   Reason
	}{
		{"again", func(*Attempt) {}, Allowed},
		{"budget exceeded", func(a *Attempt) { a.TokensLeft = 0 }, BudgetExhausted},
		{"class refused", func(a *Attempt) { a.Outcome = Excluded }, Final},
		{"not idempotent", func(a *Attempt) { a.Idempotent = false }, Final},
		{"past deadline", func(a *Attempt) { a.Deadline = start }, DeadlineTooNear},
		{"no time to serve", func(a *Attempt) { a.ExpectedServiceTime = time.Minute }, DeadlineTooNear},
	} {
		a := base
		c.change(&a)
		assert.Equal(t, NewPolicy().Next(start, a, rng).Reason, c.want, c.name)
	}
	p := &Policy{Ratio: NewRatioLimiter(WithMinRetries(0)), Backoff: DefaultBackoff()}
	assert.Equal(t, p.Next(start, base, rng).Reason, RatioExhausted)
}

// Guards against delays outside [0, min(Max, Base*2^n)], also at large n, where
// the shift would overflow.
func TestBackoffBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := DefaultBackoff()
	for n := range 100 {
		maxDelay := b.Max
		if n < 6 {
			maxDelay = min(b.Max, b.Base<<n)
		}
		largest := time.Duration(0)
		for range 200 {
			d := b.Delay(n, rng)
			assert.Assert(t, d >= 0 && d <= maxDelay)
			largest = max(largest, d)
		}
		assert.Assert(t, largest > maxDelay/2, "no full jitter at %d", n)
	}
}

func ExampleBudget() {
	b := NewBudget(3)
	childTokens, _ := b.Begin() // first attempt
	fmt.Println("tokens for calls below:", childTokens)
	b.End(1) // it failed after its calls used one token
	_, ok := b.Begin()
	fmt.Println("retry:", ok)
	b.End(0)
	_, ok = b.Begin()
	fmt.Println("another retry:", ok)
	// Output:
	// tokens for calls below: 2
	// retry: true
	// another retry: false
}

func BenchmarkRatioTake(b *testing.B) {
	r := NewRatioLimiter()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Microsecond)
		r.RecordFirst(now)
		r.Allow(now)
	}
}

// Checks that an attempt that reached no upstream consumes neither a retry of
// the node's ratio nor, after ReturnToken, a token.
func TestUnsent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	p := &Policy{Ratio: NewRatioLimiter(WithMinRetries(0)), Backoff: DefaultBackoff()}
	a := Attempt{Outcome: NotDispatched, TokensLeft: 1, Deadline: start.Add(time.Minute)}
	assert.Equal(t, p.Next(start, a, rng).Reason, RatioExhausted)
	a.Unsent = true
	assert.Equal(t, p.Next(start, a, rng).Reason, Allowed)

	b := NewBudget(2)
	childTokens, ok := b.Begin()
	assert.Assert(t, ok)
	b.End(childTokens)
	b.ReturnToken()
	assert.Equal(t, b.Remaining(), 2)
}
