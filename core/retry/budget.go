package retry

// Budget is the attempt budget of one call. Each attempt costs one token. The
// other tokens are lent to the attempt for the calls below it, and those that
// it didn't use come back when it ends. So the sum of attempts below a root
// request never exceeds the tokens that the root started with, at any depth
// and fan-out. A Budget has at most one attempt at a time and is not safe for
// concurrent use.
type Budget struct {
	left int
	lent int
}

// NewBudget returns a budget of n tokens. A negative n counts as zero.
func NewBudget(n int) *Budget {
	return &Budget{left: max(0, n)}
}

// Begin spends a token on an attempt and lends it the rest. It returns the
// tokens for the calls below the attempt, to be sent as model.Call.Attempts,
// and false if no token is left.
func (b *Budget) Begin() (below int, ok bool) {
	if b.left == 0 {
		return 0, false
	}
	b.lent = b.left - 1
	b.left = 0
	return b.lent, true
}

// End takes back the tokens that the attempt didn't use. It accepts no more
// than were lent, whatever the remote node claims. An attempt without a known
// answer returns none: its calls may still be running.
func (b *Budget) End(unused int) {
	b.left = max(0, min(unused, b.lent))
	b.lent = 0
}

// Remaining returns the tokens that are not lent. The caller returns them to the
// parent call when the call ends.
func (b *Budget) Remaining() int {
	return b.left
}

// Split returns the tokens that a parent with left tokens gives to its next
// child call when it expects open child calls, this one included, to need
// tokens before any comes back. It returns 0 only if nothing is left. An open
// below 1 counts as 1: sequential children may each use the whole rest.
func Split(left, open int) int {
	if left <= 0 {
		return 0
	}
	open = max(1, open)
	return (left + open - 1) / open
}

// fanoutDecay is the part of the distance by which the expected fan-out falls
// after each call with fewer parallel children; it drops a rare wide call
// after about 50 narrow ones.
const fanoutDecay = 1.0 / 16

// Fanout estimates the number of child calls that calls of one route make in
// parallel. The zero value expects one. It is not safe for concurrent use.
type Fanout struct {
	peak float64
}

// Observe records the largest number of parallel children of a finished call.
// The estimate rises at once and falls slowly: too wide a split only makes
// retries rarer, too narrow a one leaves the last child without a token.
func (f *Fanout) Observe(parallel int) {
	p := float64(parallel)
	if p >= f.peak {
		f.peak = p
		return
	}
	f.peak += (p - f.peak) * fanoutDecay
}

// PendingChildren returns the number of children that still need tokens when active
// children already have theirs; use it as the argument open of Split.
func (f *Fanout) PendingChildren(active int) int {
	return max(1, int(f.peak+0.5)-active)
}

// ReturnToken takes back the token of an attempt that surely reached no upstream, after
// End.
func (b *Budget) ReturnToken() {
	b.left++
}

// Lent returns the tokens that the running attempt may use.
func (b *Budget) Lent() int {
	return b.lent
}
