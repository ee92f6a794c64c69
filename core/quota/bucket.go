package quota

import (
	"slices"
	"time"
)

// Durations that apply to loans.
const (
	// LoanTime is the maximum time for which a loan may be used. The tokens of a
	// borrower that failed are unusable for this time.
	LoanTime = time.Second
	// DriftMargin is the time by which the holder keeps a loan longer than the
	// borrower, in case its clock runs faster: 5% of LoanTime, far above the 0.02%
	// by which the speeds of common clocks differ.
	DriftMargin = 50 * time.Millisecond
	// ReserveTime determines the tokens that a holder does not lend to other zones: the
	// demand of its own zone in this time.
	ReserveTime = 250 * time.Millisecond
	// demandTTL is how long the demand that a borrower reported is used.
	demandTTL = time.Second
	// minRetry and maxRetry bound the delay before the next request of a node after a
	// grant of less than the requested amount. minRetry limits the requests of one node
	// to an empty share to 100 per second. The delay is also at least retryPerBorrower
	// times the number of active borrowers, even above maxRetry, which limits the
	// requests of all nodes together to 500 per second.
	minRetry         = 10 * time.Millisecond
	maxRetry         = 250 * time.Millisecond
	retryPerBorrower = 2 * time.Millisecond
	// collectDelay is the delay before the next request while the capacity of the group is
	// collected, several round trips between zones.
	collectDelay = 20 * time.Millisecond
	// reportBurst and reportRate (per second) are the burst below which and the rate above
	// which a loan that ends soon is reported as well. At a lower rate next to nothing
	// accrues until the loan ends, and an unreported token can still be released.
	reportBurst = 4 * Token
	reportRate  = Token / 4
	// maxPromise is the latest time at which a refused request is told to come back.
	maxPromise = 5 * time.Second
)

// Bucket is the token bucket of one share at its holder. The level plus the
// outstanding loans never exceed the burst, except after the burst was lowered:
// then outstanding loans may exceed it until they end.
type Bucket struct {
	share        Share
	level        Amount
	outstanding  Amount
	accrual      accrual
	accruedUntil time.Time // time up to which the rate has been accrued
	loans        map[LoanID]*loan
	expiryQueue  []*loan // ordered by expiry; includes loans that were closed before
	borrowers    map[borrower]*borrowerState
	lastPruned   time.Time
	grouped      bool                          // the bucket serves all zones alike, see Group
	later        int                           // number of shares that come later in the group
	lent         *lentCapacity                 // loan of the share's own capacity; nil if it isn't lent
	collected    map[ShareID]collectedCapacity // capacity of other shares that the bucket uses
	lastCollect  time.Time                     // time of the last request for tokens with Collect
	promised     time.Time                     // latest time at which a refused request was told to come back
}

// loan is a loan as its holder records it.
type loan struct {
	id       LoanID
	amount   Amount
	spent    Amount
	returned Amount
	valid    time.Duration
	expires  time.Time
}

// outstanding returns the tokens that were neither spent nor returned.
func (l *loan) outstanding() Amount {
	return l.amount - l.spent - l.returned
}

// borrower identifies a borrowing process.
type borrower struct {
	name        string
	incarnation uint64
}

// borrowerState is what a bucket records about a borrower.
type borrowerState struct {
	seq         uint64 // highest request number seen
	sameZone    bool   // the borrower is in the zone of the share
	demand      Amount
	lastRequest time.Time
}

// NewBucket returns the bucket of a share, full or empty. It may start full only if no
// earlier holder can have lent tokens of the share, see Holder.RecordConfigRead.
func NewBucket(s Share, full bool, now time.Time) *Bucket {
	b := &Bucket{
		share:        s,
		accruedUntil: now,
		loans:        map[LoanID]*loan{},
		borrowers:    map[borrower]*borrowerState{},
		collected:    map[ShareID]collectedCapacity{},
		lastPruned:   now,
	}
	if full {
		b.level = s.Burst
	}
	return b
}

// Share returns the share with its current rate and burst.
func (b *Bucket) Share() Share {
	return b.share
}

// Level returns the tokens in the bucket, which can be lent. It is negative while tokens
// are reserved that have not accrued yet.
func (b *Bucket) Level(now time.Time) Amount {
	b.advance(now)
	return b.level
}

// Outstanding returns the lent tokens that are neither reported as spent, nor
// returned, nor expired.
func (b *Bucket) Outstanding(now time.Time) Amount {
	b.advance(now)
	return b.outstanding
}

// SetShare applies a new rate and burst. Tokens accrue at the previous rate up to
// now. A higher burst adds no tokens. Capacity that was collected before the change is
// no longer used.
func (b *Bucket) SetShare(s Share, now time.Time) {
	b.advance(now)
	if s.Rate != b.share.Rate || s.Burst != b.share.Burst {
		clear(b.collected) // lent under the previous rate and burst
	}
	b.share = s
	b.limitLevel()
}

// advance accrues tokens up to now and removes expired loans. It accrues up to the
// expiry of each loan before it removes the loan, because a loan counts against
// the burst until it expires.
func (b *Bucket) advance(now time.Time) {
	for len(b.expiryQueue) > 0 && !now.Before(b.expiryQueue[0].expires) {
		l := b.expiryQueue[0]
		for b.endCapacity(l.expires) {
		}
		b.expiryQueue = b.expiryQueue[1:]
		if _, ok := b.loans[l.id]; !ok {
			continue
		}
		b.accrue(l.expires)
		b.outstanding -= l.outstanding()
		delete(b.loans, l.id)
	}
	for b.endCapacity(now) {
	}
	b.accrue(now)
	b.pruneBorrowers(now)
}

// accrue adds the tokens since the last accrual, limited by the burst.
func (b *Bucket) accrue(now time.Time) {
	d := now.Sub(b.accruedUntil)
	if d <= 0 {
		return
	}
	b.accruedUntil = now
	b.level += b.accrual.add(b.rate(), d)
	b.limitLevel()
}

// limitLevel discards tokens that exceed the burst minus the outstanding loans.
func (b *Bucket) limitLevel() {
	if capacity := max(b.burst()-b.outstanding, 0); b.level >= capacity {
		b.level = capacity
		b.accrual.rem = 0
	}
}

// pruneBorrowers removes borrowers that sent no new request for ten times
// demandTTL. It runs at most once per demandTTL.
func (b *Bucket) pruneBorrowers(now time.Time) {
	if now.Sub(b.lastPruned) < demandTTL {
		return
	}
	b.lastPruned = now
	for key, s := range b.borrowers {
		if now.Sub(s.lastRequest) > 10*demandTTL {
			delete(b.borrowers, key)
		}
	}
}

// Borrow applies the reports of a borrow request and grants a loan. until is when
// the zone lease of the holder expires; no loan outlasts it. The grant is deducted
// before Borrow returns. A duplicate of a request whose loan is still open gets the
// same grant. A request that arrives after a later one of the same borrower gets
// no grant.
func (b *Bucket) Borrow(req BorrowRequest, until, now time.Time) BorrowReply {
	b.advance(now)
	b.applyReports(req)
	reply := BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true}
	if l, ok := b.loans[req.LoanID]; ok {
		reply.Grant, reply.Valid = l.amount, l.valid
		return reply
	}
	if !b.updateBorrower(req, now) || req.Amount <= 0 {
		return reply
	}
	if req.Collect {
		b.lastCollect = now
	}
	reply.Alone = len(b.collected) < b.later
	left := until.Sub(now)
	reply.Valid = min(b.loanTime(), left)
	if reply.Valid <= 0 {
		return BorrowReply{ShareID: req.ShareID, Seq: req.Seq}
	}
	free := b.lendable(req.BorrowerZone, now)
	if delay, ok := b.reservation(req, min(left, groupLoanTime)); ok {
		reply.Grant, reply.Delay, reply.Valid = req.Amount, delay, delay+req.MaxValid
	} else {
		reply.Grant = grantAmount(req, free)
		reply.Spare = free - reply.Grant
		reply.FillRatio = float64(reply.Spare) / float64(max(b.burst(), Token))
	}
	switch {
	case reply.Grant < req.Amount:
		reply.RetryAfter = b.retryDelay(Token-reply.Spare, now)
		if reply.Alone && req.Collect {
			reply.RetryAfter = min(reply.RetryAfter, collectDelay)
		}
		reply.NextToken = b.nextToken(now)
	case req.MaxValid > 0 && reply.Delay == 0:
		reply.Valid = min(reply.Valid, req.MaxValid)
	}
	if reply.Grant > 0 {
		reply.Report = b.burst() < reportBurst && b.rate() > reportRate
		b.lend(req.LoanID, reply, now)
	}
	return reply
}

// loanTime returns the maximum validity of a loan.
func (b *Bucket) loanTime() time.Duration {
	if b.grouped {
		return groupLoanTime
	}
	return LoanTime
}

// reservation returns the delay after which the tokens of an urgent request have accrued,
// and whether the request can wait that long. limit bounds the delay by the lease. The
// reserved tokens and the loans that may be unspent must fit into the burst.
func (b *Bucket) reservation(req BorrowRequest, limit time.Duration) (time.Duration, bool) {
	if !req.Urgent || req.Amount <= b.level || b.lent != nil || b.outstanding+req.Amount > b.burst() {
		return 0, false
	}
	d := withDriftMargin(accrualTime(b.rate(), req.Amount-b.level))
	return d, req.MaxValid > 0 && d <= min(req.MaxDelay, limit-req.MaxValid)
}

// nextToken returns the time after which a refused request finds a token. Requests that
// are refused one after the other get different times, since each token serves one. If
// the capacity is lent, that is the end of the loan.
func (b *Bucket) nextToken(now time.Time) time.Duration {
	rate, from := b.rate(), now
	if b.lent != nil {
		rate, from = b.share.Rate, b.lent.expires
	}
	at := from.Add(accrualTime(rate, Token-b.level))
	if later := b.promised.Add(accrualTime(rate, Token)); later.After(at) && b.promised.After(now) {
		at = later
	}
	at = minTime(at, now.Add(maxPromise))
	b.promised = at
	return at.Sub(now)
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// applyReports applies the reports of a request to the loans that are still open.
// It ignores reports of more tokens than the loan has.
func (b *Bucket) applyReports(req BorrowRequest) {
	for _, r := range req.Reports {
		id := req.LoanID
		id.Seq = r.Seq
		l, ok := b.loans[id]
		if !ok || r.Spent < 0 || r.Returned < 0 || r.Spent > l.amount || r.Returned > l.amount-r.Spent {
			continue
		}
		spent, returned := max(r.Spent-l.spent, 0), max(r.Returned-l.returned, 0)
		if spent+returned > l.outstanding() {
			continue
		}
		l.spent += spent
		l.returned += returned
		b.outstanding -= spent + returned
		b.level += returned
		if l.outstanding() == 0 {
			delete(b.loans, id)
		}
	}
	b.limitLevel()
}

// updateBorrower records the borrower's number, zone and demand. It returns false
// and records nothing if a request with the same or a higher number was seen.
func (b *Bucket) updateBorrower(req BorrowRequest, now time.Time) bool {
	key := borrower{req.Borrower, req.Incarnation}
	s := b.borrowers[key]
	if s == nil {
		s = &borrowerState{}
		b.borrowers[key] = s
	}
	if req.Seq <= s.seq {
		return false
	}
	*s = borrowerState{seq: req.Seq, sameZone: req.BorrowerZone == b.share.Zone, demand: max(req.Demand, 0), lastRequest: now}
	return true
}

// lendable returns the tokens that the bucket can lend to a zone. A bucket in a group
// serves all zones alike.
func (b *Bucket) lendable(zone string, now time.Time) Amount {
	if zone == b.share.Zone || b.grouped {
		return max(b.level, 0)
	}
	return max(b.level-b.reserve(now), 0)
}

// grantAmount returns how much of the lendable amount a request gets. An urgent
// request gets any fraction of a token, because the borrower can combine the
// fractions of several holders, unless it says that it can't. Other requests get whole
// tokens only, unless they get their full amount.
func grantAmount(req BorrowRequest, free Amount) Amount {
	n := min(req.Amount, free)
	if (!req.Urgent || req.Whole) && n < req.Amount {
		n -= n % Token
	}
	return n
}

// reserve returns the tokens that are not lent to other zones: those that the own zone
// is expected to use in ReserveTime, divided by the zone's number of slots. It is at
// most half of the burst, so that a bucket with a low burst still lends to other zones.
func (b *Bucket) reserve(now time.Time) Amount {
	var demand Amount
	for _, s := range b.borrowers {
		if s.sameZone && now.Sub(s.lastRequest) < demandTTL {
			demand = min(demand+s.demand, maxAmount)
		}
	}
	reserved := float64(demand) * ReserveTime.Seconds() / float64(max(b.share.Slots, 1))
	return min(Amount(reserved), b.share.Burst/2)
}

// retryDelay returns how long a borrower must wait after a grant of less than the
// requested amount: until the missing amount has accrued, and longer if there are
// many borrowers.
func (b *Bucket) retryDelay(missing Amount, now time.Time) time.Duration {
	active := 0
	for _, s := range b.borrowers {
		if now.Sub(s.lastRequest) < demandTTL {
			active++
		}
	}
	d := min(max(accrualTime(b.rate(), missing), minRetry), maxRetry)
	return max(d, time.Duration(active)*retryPerBorrower)
}

// lend deducts a grant from the level and records the loan.
func (b *Bucket) lend(id LoanID, reply BorrowReply, now time.Time) {
	l := &loan{id: id, amount: reply.Grant, valid: reply.Valid, expires: now.Add(withDriftMargin(reply.Valid))}
	b.level -= reply.Grant
	b.outstanding += reply.Grant
	b.loans[id] = l
	i, _ := slices.BinarySearchFunc(b.expiryQueue, l, func(a, b *loan) int { return a.expires.Compare(b.expires) })
	b.expiryQueue = slices.Insert(b.expiryQueue, i, l)
}
