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
	// MaxWaitTime is how long a request may wait for the replies of holders before it is
	// refused. It allows for a holder that doesn't respond and for one whose processor is
	// busy. Usually the first reply, after 0.2 to 3 ms, decides.
	MaxWaitTime = 100 * time.Millisecond
	// urgentLoanTime is the maximum validity of a loan for one waiting request. It is used
	// when it arrives and ends at the holder about when a report would arrive, so that
	// none is sent.
	urgentLoanTime = 40 * time.Millisecond
	// reportDelay is how long reports are collected before they are sent. Tokens that
	// are spent but not reported prevent the bucket from refilling.
	reportDelay = 50 * time.Millisecond
	// HedgeDelay is how long the tokens of a pending request to the own zone count as
	// expected while requests wait for a token. After that, NextRequest also asks another
	// holder. It covers several round trips of 0.2 ms. Even after this delay for each of
	// the SlotsPerZone holders of the own zone, more than half of MaxWaitTime is left for
	// other zones, so that the failure of one holder causes no refusals.
	HedgeDelay = time.Millisecond
	// otherZoneHedgeDelay is the same for requests to other zones. It is less than
	// their round trip of 1.5 ms, so that four holders can be asked in MaxWaitTime.
	otherZoneHedgeDelay = time.Millisecond
	// groupHedgeDelay is the same for groups of shares. Their first holder usually has all
	// tokens of the group, and tokens of a second reply would be of no use.
	groupHedgeDelay = 10 * time.Millisecond
	// replyTimeout is the age at which a pending request counts as lost. A late reply is
	// still used. After a lost or failed request, the pool borrows nothing from the share
	// for failureRetry. This time doubles with each consecutive failure up to
	// maxFailureRetry. It is also the delay, without doubling, after a reply of a node
	// that does not hold the share.
	replyTimeout    = 40 * time.Millisecond
	failureRetry    = 250 * time.Millisecond
	maxFailureRetry = 2 * time.Second
	// shortGrantRetry is the maximum delay after a first grant of less than the
	// requested amount; it doubles with each further one in a row. If the RetryAfter of
	// the reply is shorter, it applies instead. The delay is short at first because a
	// waiting request can combine fractions of a token from several shares and need not
	// wait until one share has a whole token. It doubles so that nodes do not send
	// requests all the time for a customer that exceeds its rate. Half of this value
	// causes no fewer refusals in the simulation (sim_test.go).
	shortGrantRetry = 50 * time.Millisecond
	// noHolderDelay is when a refused request may come back while no share has a holder.
	// A new epoch and its leases take one to three seconds.
	noHolderDelay = time.Second
	// returnBeforeExpiry is how long before its expiry an unused loan is returned, so that the
	// message arrives before the loan expires at the holder.
	returnBeforeExpiry = 250 * time.Millisecond
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
	seq         uint64 // number of the latest request
	demand      rateEstimator
	loans       []*borrowedLoan // ordered by expiry
	pending     map[uint64]*pendingRequest
	shareStates map[ShareID]*shareState
	shareOrder  []ShareID // keys of shareStates in order of creation, for deterministic messages
	expired     Amount    // tokens that expired unused since the last CollectExpired
	maxDelay    time.Duration
	grouped     bool      // shares are combined in groups
	whole       bool      // fractions of a token are not combined
	heads       []ShareID // the candidates that are asked first of their groups
	nextToken   time.Time // when a refused request finds a token, according to the last holder that had none
	promised    time.Time // latest time at which a refused request was told to come back
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
	share   ShareID
	seq     uint64
	amount  Amount
	use     LoanReport // spent tokens include those that may still be released
	sent    LoanReport // totals in the latest message
	acked   LoanReport // latest totals that the holder acknowledged
	from    time.Time  // when the tokens have accrued and may be used
	valid   time.Duration
	expires time.Time
	short   bool // the loan ends so soon that spent tokens are not reported
	report  bool // the holder asked for a report at once
}

// available returns the tokens of the loan that can be taken at some time.
func (l *borrowedLoan) available() Amount {
	return l.amount - l.use.Spent - l.use.Returned
}

// availableAt returns the tokens of the loan that can be taken now.
func (l *borrowedLoan) availableAt(now time.Time) Amount {
	if now.Before(l.from) {
		return 0
	}
	return l.available()
}

// pendingRequest is a request without a reply so far.
type pendingRequest struct {
	share   ShareID
	sent    time.Time
	amount  Amount
	reports []LoanReport
	urgent  bool // a request waits for the tokens
	short   bool // the loan ends too soon to be reported
	lost    bool
}

// shareState is what a pool records about a share that it borrows from.
type shareState struct {
	lastRequest     time.Time
	retryAt         time.Time // earliest time of the next request for tokens
	restockAt       time.Time // earliest time of the next request for tokens that no request waits for
	failures        int       // consecutive requests without a reply
	shortGrants     int       // consecutive grants of less than the requested amount
	spare           Amount    // Spare of the last reply
	fillRatio       float64   // FillRatio of the last reply
	notHolder       bool      // the node that was asked last does not hold the share
	answered        bool      // the last reply came from a holder
	unreachable     bool      // the last request could not be sent, or its connection failed
	alone           bool      // Alone of the last reply
	pendingSeq      uint64    // number of the pending request; 0 for none
	reportNow       bool      // the report must not be delayed
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
	return &Pool{opts: opts, pending: map[uint64]*pendingRequest{}, shareStates: map[ShareID]*shareState{}}
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
	if p.availableAt(now) < Token {
		return Charge{}, false
	}
	var ch Charge
	need := Token
	for _, l := range p.loans {
		n := min(l.availableAt(now), need)
		if n <= 0 {
			continue
		}
		l.use.Spent += n
		need -= n
		ch.parts = append(ch.parts, chargePart{l.seq, n})
		if !l.short || l.report {
			p.markUnreported(l.share, now)
			p.shareStates[l.share].reportNow = l.report
		}
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
		i := slices.IndexFunc(p.loans, func(l *borrowedLoan) bool { return l.seq == part.seq })
		if i < 0 {
			continue
		}
		l := p.loans[i]
		l.use.Spent -= min(part.amount, l.use.Spent-l.sent.Spent)
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
	return p.availableAt(now)
}

// InFlight returns the number of pending requests for tokens that do not count as
// lost, and of loans whose tokens have not accrued yet.
func (p *Pool) InFlight(now time.Time) int {
	p.expire(now)
	n := 0
	for _, r := range p.pending {
		if !r.lost && r.amount > 0 {
			n++
		}
	}
	for _, l := range p.loans {
		if now.Before(l.from) && l.available() > 0 {
			n++
		}
	}
	return n
}

// WakeAt returns the next time at which a waiting request can take a token or another
// request can be sent to one of the candidates. It reports false if there is none before
// the given time.
func (p *Pool) WakeAt(candidates []ShareID, now, until time.Time) (time.Time, bool) {
	at, found := until, false
	consider := func(t time.Time) {
		if t.After(now) && t.Before(at) {
			at, found = t, true
		}
	}
	for _, r := range p.pending {
		consider(r.sent.Add(p.hedgeDelay(r.share, 1)))
		consider(r.sent.Add(replyTimeout))
	}
	for _, l := range p.loans {
		consider(l.from)
	}
	for _, id := range candidates {
		consider(p.shareState(id).retryAt)
	}
	return at, found
}

// AllowDelay sets how long a waiting request may wait for a token that has not accrued
// yet.
func (p *Pool) AllowDelay(d time.Duration) {
	p.maxDelay = d
}

// NextToken returns the time after which a refused request finds a token, as told by the
// holders. interval is the time in which one token accrues; requests that are refused
// one after the other get times that differ by it. While no holder responds, as after the
// loss of all processes, it is noHolderDelay.
func (p *Pool) NextToken(interval time.Duration, now time.Time) time.Duration {
	at := p.nextToken
	switch {
	case !p.hasHolder():
		return noHolderDelay
	case !at.After(now):
		at = now.Add(interval)
	}
	if later := p.promised.Add(interval); p.promised.After(now) && later.After(at) {
		at = later
	}
	at = minTime(at, now.Add(maxPromise))
	p.promised = at
	return at.Sub(now)
}

// Idle reports whether the pool has no loans, no pending requests and a demand below
// 0.1 tokens per second, so that it can be removed. A later pool of the same customer
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
// it on a new pool that replaces a removed pool of the same customer in the same
// process.
func (p *Pool) SetSeq(n uint64) {
	p.seq = max(p.seq, n)
}

// hasHolder reports whether the holder of some share responded to the last request to it.
func (p *Pool) hasHolder() bool {
	for _, s := range p.shareStates {
		if !s.lastRequest.IsZero() && s.failures == 0 && !s.notHolder {
			return true
		}
	}
	return false
}

// availableAt returns the tokens that can be taken now.
func (p *Pool) availableAt(now time.Time) Amount {
	var sum Amount
	for _, l := range p.loans {
		sum += l.availableAt(now)
	}
	return sum
}

// available returns the tokens that can be taken now or once they have accrued.
func (p *Pool) available() Amount {
	var sum Amount
	for _, l := range p.loans {
		sum += l.available()
	}
	return sum
}

// expire removes expired loans, marks requests older than replyTimeout as lost, and
// removes those older than LoanTime.
func (p *Pool) expire(now time.Time) {
	p.loans = slices.DeleteFunc(p.loans, func(l *borrowedLoan) bool {
		if now.Before(l.expires) {
			return false
		}
		p.expired += l.available()
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
	if s := p.shareState(id); s.pendingSeq == seq {
		s.pendingSeq, s.spare = 0, 0
		s.retryAt = now.Add(min(failureRetry<<min(s.failures, 8), maxFailureRetry))
		s.failures++
	}
}

// shareState returns the record of a share and creates it if needed.
func (p *Pool) shareState(id ShareID) *shareState {
	s := p.shareStates[id]
	if s == nil {
		s = &shareState{spare: Token, fillRatio: 1}
		p.shareStates[id] = s
		p.shareOrder = append(p.shareOrder, id)
	}
	return s
}

// markUnreported records that the holder of a share must be sent a report.
func (p *Pool) markUnreported(id ShareID, now time.Time) {
	if s := p.shareState(id); s.unreportedSince.IsZero() {
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
	s := p.shareState(r.share)
	if s.pendingSeq == reply.Seq {
		s.pendingSeq = 0
	}
	s.failures, s.spare, s.fillRatio, s.retryAt = 0, reply.Spare, reply.FillRatio, now.Add(reply.RetryAfter)
	s.notHolder, s.alone = !reply.IsHolder, reply.Alone
	s.answered, s.unreachable = reply.IsHolder, false
	if s.notHolder {
		s.retryAt = now.Add(failureRetry)
		return
	}
	switch {
	case reply.Grant < r.amount && !r.urgent:
		s.restockAt = now.Add(reply.RetryAfter)
		s.retryAt = now
	case reply.Grant < r.amount:
		s.retryAt = now.Add(min(reply.RetryAfter, shortGrantRetry<<min(s.shortGrants, 8)))
		s.shortGrants++
		p.nextToken = now.Add(reply.NextToken)
	case r.amount > 0:
		s.shortGrants = 0
	}
	p.acknowledge(r.reports)
	expires, from := r.sent.Add(reply.Valid), now.Add(max(reply.Delay, 0))
	if reply.Grant <= 0 || reply.Grant > r.amount || !from.Before(expires) {
		return
	}
	unused := LoanReport{Seq: reply.Seq}
	l := &borrowedLoan{
		share:   r.share,
		seq:     reply.Seq,
		amount:  reply.Grant,
		use:     unused,
		sent:    unused,
		acked:   unused,
		from:    from,
		valid:   reply.Valid,
		expires: expires,
		short:   r.short && reply.Valid-reply.Delay <= urgentLoanTime,
		report:  reply.Report,
	}
	i, _ := slices.BinarySearchFunc(p.loans, l, func(a, b *borrowedLoan) int { return a.expires.Compare(b.expires) })
	p.loans = slices.Insert(p.loans, i, l)
}

// acknowledge records which reports the holder has received and removes loans whose
// tokens are all accounted for.
func (p *Pool) acknowledge(reports []LoanReport) {
	for _, r := range reports {
		for _, l := range p.loans {
			if l.seq == r.Seq {
				l.acked.Spent = max(l.acked.Spent, r.Spent)
				l.acked.Returned = max(l.acked.Returned, r.Returned)
			}
		}
	}
	p.loans = slices.DeleteFunc(p.loans, func(l *borrowedLoan) bool {
		return l.acked.Spent+l.acked.Returned == l.amount
	})
}

// HandleFailure records that a request could not be sent, as its share has no owner, or that
// its connection failed.
func (p *Pool) HandleFailure(seq uint64, now time.Time) {
	if r, ok := p.pending[seq]; ok {
		s := p.shareState(r.share)
		s.unreachable = s.unreachable || s.pendingSeq == seq
		p.HandleNoReply(seq, now)
	}
}

// HandleNoReply records that a request got no reply, which says nothing about the holder.
func (p *Pool) HandleNoReply(seq uint64, now time.Time) {
	if r, ok := p.pending[seq]; ok {
		delete(p.pending, seq)
		p.markFailed(r.share, seq, now)
	}
}
