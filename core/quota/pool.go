package quota

import (
	"slices"
	"time"
)

// Durations that apply to the borrower.
const (
	// StockTime is the period of estimated demand for which a pool keeps tokens in
	// stock. It covers many round trips between zones (1.5 ms) and withholds at most
	// a tenth of a second of the rate from other nodes.
	StockTime = 100 * time.Millisecond
	// MaxWaitTime is how long a request may wait for a borrowed token before it is
	// refused: one round trip within the zone and two to other zones.
	MaxWaitTime = 5 * time.Millisecond
	// reportDelay is how long reports are collected before they are sent. Tokens that
	// are spent but not reported prevent the bucket from refilling.
	reportDelay = 50 * time.Millisecond
	// HedgeDelay is how long waiting requests rely on a pending request to a holder in
	// the own zone before NextRequest also asks another holder. It covers several round
	// trips of 0.2 ms and leaves half of MaxWaitTime for other zones, so that the
	// failure of one holder causes no refusals.
	HedgeDelay = time.Millisecond
	// otherZoneHedgeDelay is the same for requests to other zones. It is less than
	// their round trip of 1.5 ms, so that four holders can be asked in MaxWaitTime.
	otherZoneHedgeDelay = time.Millisecond
	// replyTimeout is the age at which a pending request counts as lost. Its holder is
	// then not asked for failureRetry, which doubles with each lost request up to
	// maxFailureRetry. A late reply is still used.
	replyTimeout    = 20 * time.Millisecond
	failureRetry    = 250 * time.Millisecond
	maxFailureRetry = 2 * time.Second
	// shortGrantRetry limits the delay after the first grant of less than the
	// requested amount. The limit doubles with each further such grant; the delay is
	// at most the RetryAfter of the holder. A waiting request combines fractions of a
	// token from several shares, so it must not wait until one share has a whole token.
	// On the other hand, nodes must not send requests all the time for a customer that
	// exceeds its rate. In the simulation of the tests, half of this value leads to no
	// fewer refusals.
	shortGrantRetry = 50 * time.Millisecond
	// returnTime is how long before its expiry an unused loan is returned, so that the
	// message arrives before the loan expires at the holder.
	returnTime = 250 * time.Millisecond
)

// Pool holds the borrowed tokens of one customer at one node. The caller takes a
// token for each root request and exchanges messages with the holders:
//
//   - After each Take, and about every 25 ms while the pool is not idle, it calls
//     NextRequest until that returns false and sends the requests.
//   - If Take fails, the request waits: the caller calls NextRequest after each reply
//     and at least every HedgeDelay, passes each reply to HandleReply and each
//     failure to HandleFailure, and then calls RetryTake. It refuses the request when
//     NextRequest returns none and InFlight returns 0, or after MaxWaitTime.
type Pool struct {
	opts        PoolOptions
	seq         uint64
	demand      rateEstimator
	loans       []*borrowedLoan // ordered by expiry
	pending     map[uint64]*pendingRequest
	sources     map[ShareID]*source
	sourceOrder []ShareID // keys of sources in order of creation, for deterministic messages
	expired     Amount    // tokens that expired unused since the last CollectExpired
}

// PoolOptions identify a pool: its customer and the process that it belongs to.
type PoolOptions struct {
	Customer    string
	Node        string // instance name
	Incarnation uint64 // of the process
	Zone        string
}

// borrowedLoan is a loan as its borrower records it.
type borrowedLoan struct {
	share    ShareID
	seq      uint64
	amount   Amount
	use      LoanReport // spent tokens include those that may still be released
	sent     LoanReport // totals in the latest message
	acked    LoanReport // latest totals that the holder acknowledged
	received time.Time
	expires  time.Time
}

// available returns the tokens of the loan that can be taken.
func (c *borrowedLoan) available() Amount {
	return c.amount - c.use.Spent - c.use.Returned
}

// pendingRequest is a request without a reply so far.
type pendingRequest struct {
	share   ShareID
	sent    time.Time
	amount  Amount
	reports []LoanReport
	lost    bool
}

// source is what a pool records about a share and its holder.
type source struct {
	lastRequest     time.Time
	retryAt         time.Time // earliest time of the next request for tokens
	failures        int       // consecutive requests without a reply
	shortGrants     int       // consecutive grants of less than the requested amount
	spare           Amount    // Spare of the last reply
	fillRatio       float64   // FillRatio of the last reply
	pendingSeq      uint64    // number of the pending request; 0 for none
	unreportedSince time.Time // time of the oldest use that no message reported; zero for none
}

// Charge is a token that was taken from a pool, with the loans that it came from.
type Charge struct {
	parts []chargePart
}

// chargePart is the amount that one loan contributed to a Charge.
type chargePart struct {
	seq    uint64
	amount Amount
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts, pending: map[uint64]*pendingRequest{}, sources: map[ShareID]*source{}}
}

// Take takes one token for a new request and counts the request as demand. It does
// not use loans that are expired at now.
func (p *Pool) Take(now time.Time) (Charge, bool) {
	p.demand.add(now)
	return p.RetryTake(now)
}

// RetryTake is Take for a request that an earlier call of Take counted.
func (p *Pool) RetryTake(now time.Time) (Charge, bool) {
	p.expire(now)
	if p.available() < Token {
		return Charge{}, false
	}
	var ch Charge
	need := Token
	for _, c := range p.loans {
		n := min(c.available(), need)
		if n <= 0 {
			continue
		}
		c.use.Spent += n
		need -= n
		ch.parts = append(ch.parts, chargePart{c.seq, n})
		p.markUnreported(c.share, now)
		if need == 0 {
			break
		}
	}
	return ch, true
}

// Release returns a token to the pool if its request was refused before it was
// executed. Amounts that were reported as spent, or whose loan has ended, are lost,
// because the holder may have refilled them already. The charge is empty afterwards.
func (p *Pool) Release(ch *Charge, now time.Time) {
	p.expire(now)
	for _, part := range ch.parts {
		i := slices.IndexFunc(p.loans, func(c *borrowedLoan) bool { return c.seq == part.seq })
		if i < 0 {
			continue
		}
		c := p.loans[i]
		c.use.Spent -= min(part.amount, c.use.Spent-c.sent.Spent)
	}
	ch.parts = nil
}

// CollectExpired returns the tokens that expired unused since the last call.
func (p *Pool) CollectExpired() Amount {
	n := p.expired
	p.expired = 0
	return n
}

// Demand returns the estimated demand in tokens per second.
func (p *Pool) Demand(now time.Time) Amount {
	return p.demand.rate(now)
}

// Available returns the tokens that can be taken.
func (p *Pool) Available(now time.Time) Amount {
	p.expire(now)
	return p.available()
}

// InFlight returns the number of pending requests for tokens that do not count as
// lost.
func (p *Pool) InFlight(now time.Time) int {
	p.expire(now)
	n := 0
	for _, r := range p.pending {
		if !r.lost && r.amount > 0 {
			n++
		}
	}
	return n
}

// Idle reports whether the pool has no loans, no pending requests and a demand below
// 0.1 tokens per second, so that it can be dropped. A later pool of the same customer
// in the same process must not reuse its request numbers; see SetSeq.
func (p *Pool) Idle(now time.Time) bool {
	p.expire(now)
	return len(p.loans) == 0 && len(p.pending) == 0 && p.demand.rate(now) < Token/10
}

// Seq returns the number of the latest request.
func (p *Pool) Seq() uint64 {
	return p.seq
}

// SetSeq makes the pool number its requests from n+1 if its numbers are lower. Call
// it on a new pool that replaces a dropped pool of the same customer in the same
// process.
func (p *Pool) SetSeq(n uint64) {
	p.seq = max(p.seq, n)
}

func (p *Pool) available() Amount {
	var sum Amount
	for _, c := range p.loans {
		sum += c.available()
	}
	return sum
}

// expire removes expired loans, marks requests older than replyTimeout as lost, and
// removes those older than LoanTime.
func (p *Pool) expire(now time.Time) {
	p.loans = slices.DeleteFunc(p.loans, func(c *borrowedLoan) bool {
		if now.Before(c.expires) {
			return false
		}
		p.expired += c.available()
		return true
	})
	for seq, r := range p.pending {
		age := now.Sub(r.sent)
		if age >= LoanTime {
			delete(p.pending, seq)
		}
		if age >= replyTimeout && !r.lost {
			r.lost = true
			p.markFailed(r.share, seq, now)
		}
	}
}

// markFailed records that a share's pending request failed and delays the next one.
func (p *Pool) markFailed(id ShareID, seq uint64, now time.Time) {
	if s := p.source(id); s.pendingSeq == seq {
		s.pendingSeq, s.spare = 0, 0
		s.retryAt = now.Add(min(failureRetry<<min(s.failures, 8), maxFailureRetry))
		s.failures++
	}
}

// source returns the record of a share and creates it if needed.
func (p *Pool) source(id ShareID) *source {
	s := p.sources[id]
	if s == nil {
		s = &source{spare: Token, fillRatio: 1}
		p.sources[id] = s
		p.sourceOrder = append(p.sourceOrder, id)
	}
	return s
}

// markUnreported records that the holder of a share must be sent a report.
func (p *Pool) markUnreported(id ShareID, now time.Time) {
	if s := p.source(id); s.unreportedSince.IsZero() {
		s.unreportedSince = now
	}
}

// HandleReply processes a reply. It ignores replies to unknown requests, which
// include duplicates. A loan that arrives after its expiry is not used and expires
// at the holder.
func (p *Pool) HandleReply(reply BorrowReply, now time.Time) {
	p.expire(now)
	r, ok := p.pending[reply.Seq]
	if !ok || r.share != reply.ShareID {
		return
	}
	delete(p.pending, reply.Seq)
	s := p.source(r.share)
	if s.pendingSeq == reply.Seq {
		s.pendingSeq = 0
	}
	s.failures, s.spare, s.fillRatio, s.retryAt = 0, reply.Spare, reply.FillRatio, now.Add(reply.RetryAfter)
	if !reply.IsHolder {
		s.retryAt = now.Add(failureRetry)
		return
	}
	switch {
	case reply.Grant < r.amount:
		s.retryAt = now.Add(min(reply.RetryAfter, shortGrantRetry<<min(s.shortGrants, 8)))
		s.shortGrants++
	case r.amount > 0:
		s.shortGrants = 0
	}
	p.acknowledge(r.reports)
	expires := r.sent.Add(reply.Valid)
	if reply.Grant <= 0 || reply.Grant > r.amount || !now.Before(expires) {
		return
	}
	unused := LoanReport{Seq: reply.Seq}
	c := &borrowedLoan{
		share:    r.share,
		seq:      reply.Seq,
		amount:   reply.Grant,
		use:      unused,
		sent:     unused,
		acked:    unused,
		received: now,
		expires:  expires,
	}
	i, _ := slices.BinarySearchFunc(p.loans, c, func(a, b *borrowedLoan) int { return a.expires.Compare(b.expires) })
	p.loans = slices.Insert(p.loans, i, c)
}

// acknowledge records which reports the holder has received and removes loans whose
// tokens are all accounted for.
func (p *Pool) acknowledge(reports []LoanReport) {
	for _, r := range reports {
		for _, c := range p.loans {
			if c.seq == r.Seq {
				c.acked.Spent = max(c.acked.Spent, r.Spent)
				c.acked.Returned = max(c.acked.Returned, r.Returned)
			}
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(c *borrowedLoan) bool {
		return c.acked.Spent+c.acked.Returned == c.amount
	})
}

// HandleFailure records that a request could not be sent or that its connection
// failed.
func (p *Pool) HandleFailure(seq uint64, now time.Time) {
	if r, ok := p.pending[seq]; ok {
		delete(p.pending, seq)
		p.markFailed(r.share, seq, now)
	}
}
