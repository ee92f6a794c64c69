package retry

// Budget is the attempt budget of one call. Each attempt costs one token. The
// remaining tokens are lent to the attempt for its child calls, and the unused
// ones are returned when the attempt ends. Thus the number of attempts below a
// root request that reach an upstream never exceeds the tokens that the root
// request started with, at any depth and fan-out. A Budget has at most one
// running attempt and is not safe for concurrent use.
type Budget struct {
	remaining int
	lent      int
}

// NewBudget returns a budget of n tokens. A negative n counts as zero.
func NewBudget(n int) *Budget {
	return &Budget{remaining: max(0, n)}
}

// Begin uses one token for an attempt and lends the remaining tokens to it. It
// returns the lent tokens, which are for the child calls of the attempt and to
// be sent as model.Call.Attempts, and false if no token remains.
func (b *Budget) Begin() (childTokens int, ok bool) {
	if b.remaining == 0 {
		return 0, false
	}
	b.lent = b.remaining - 1
	b.remaining = 0
	return b.lent, true
}

// End returns to the budget the tokens that the attempt didn't use. It accepts
// at most the tokens that were lent, whatever the remote node reports. An
// attempt without a known response returns none, as its child calls may still
// be running.
func (b *Budget) End(unused int) {
	b.remaining = max(0, min(unused, b.lent))
	b.lent = 0
}

// Remaining returns the number of tokens that are not lent. The caller returns
// them to the parent call when the call ends.
func (b *Budget) Remaining() int {
	return b.remaining
}

// Split returns the number of tokens that a parent call gives to its next child
// call. The number children is that of the child calls, this one included, that
// are expected to need tokens before any are returned; below 1 it counts as 1,
// as sequential child calls may each use all remaining tokens. Split returns 0
// only if no token remains.
func Split(remaining, children int) int {
	if remaining <= 0 {
		return 0
	}
	children = max(1, children)
	return (remaining + children - 1) / children
}

// fanoutDecay is the fraction of the difference by which the estimated fan-out
// falls after a call with fewer parallel child calls. A rare call with a large
// fan-out loses its effect after about 50 calls with a small one.
const fanoutDecay = 1.0 / 16

// Fanout estimates the number of child calls that calls of one route make in
// parallel. The estimate of the zero value is one. It is not safe for
// concurrent use.
type Fanout struct {
	estimate float64
}

// Observe records the largest number of parallel child calls of a finished
// call. The estimate rises at once and falls slowly: an estimate that is too
// high only makes retries rarer, but one that is too low leaves the last child
// call without a token.
func (f *Fanout) Observe(parallel int) {
	p := float64(parallel)
	if p >= f.estimate {
		f.estimate = p
		return
	}
	f.estimate += (p - f.estimate) * fanoutDecay
}

// PendingChildren returns the expected number of child calls that still need
// tokens while active child calls already have theirs. It is at least 1 and
// serves as the argument children of Split.
func (f *Fanout) PendingChildren(active int) int {
	return max(1, int(f.estimate+0.5)-active)
}

// ReturnToken returns the token of an attempt that certainly reached no
// upstream. Call it after End.
func (b *Budget) ReturnToken() {
	b.remaining++
}

// Lent returns the number of tokens that the running attempt may use.
func (b *Budget) Lent() int {
	return b.lent
}
