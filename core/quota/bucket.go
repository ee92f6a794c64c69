package quota

import "time"

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

// Level returns the tokens in the bucket, which can be lent.
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
// now. A higher burst adds no tokens.
func (b *Bucket) SetShare(s Share, now time.Time) {
	b.advance(now)
	b.share = s
	b.limitLevel()
}

// advance accrues tokens up to now and removes expired loans. It accrues up to the
// expiry of each loan before it removes the loan, because a loan counts against
// the burst until it expires.
func (b *Bucket) advance(now time.Time) {
	for len(b.expiryQueue) > 0 && !now.Before(b.expiryQueue[0].expires) {
		l := b.expiryQueue[0]
		b.expiryQueue = b.expiryQueue[1:]
		if _, ok := b.loans[l.id]; !ok {
			continue
		}
		b.accrue(l.expires)
		b.outstanding -= l.outstanding()
		delete(b.loans, l.id)
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
	b.level += b.accrual.add(b.share.Rate, d)
	b.limitLevel()
}

// limitLevel discards tokens that exceed the burst minus the outstanding loans.
func (b *Bucket) limitLevel() {
	if capacity := max(b.share.Burst-b.outstanding, 0); b.level >= capacity {
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
	reply.Valid = min(LoanTime, until.Sub(now))
	if reply.Valid <= 0 {
		return BorrowReply{ShareID: req.ShareID, Seq: req.Seq}
	}
	free := b.lendable(req.BorrowerZone, now)
	reply.Grant = grantAmount(req, free)
	reply.Spare = free - reply.Grant
	reply.FillRatio = float64(reply.Spare) / float64(b.share.Burst)
	if reply.Grant < req.Amount {
		reply.RetryAfter = b.retryDelay(Token-reply.Spare, now)
	}
	if reply.Grant > 0 {
		b.lend(req.LoanID, reply, now)
	}
	return reply
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

// lendable returns the tokens that the bucket can lend to a zone.
func (b *Bucket) lendable(zone string, now time.Time) Amount {
	if zone == b.share.Zone {
		return b.level
	}
	return max(b.level-b.reserve(now), 0)
}

// grantAmount returns how much of the lendable amount a request gets. An urgent
// request gets any fraction of a token, because the borrower can combine the
// fractions of several holders. A request that is not urgent gets whole tokens only,
// unless it gets its full amount.
func grantAmount(req BorrowRequest, free Amount) Amount {
	n := min(req.Amount, free)
	if !req.Urgent && n < req.Amount {
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
	d := min(max(accrualTime(b.share.Rate, missing), minRetry), maxRetry)
	return max(d, time.Duration(active)*retryPerBorrower)
}

// lend deducts a grant from the level and records the loan. A loan never expires
// before the previous one, so that the queue stays ordered by expiry.
func (b *Bucket) lend(id LoanID, reply BorrowReply, now time.Time) {
	expires := now.Add(reply.Valid + DriftMargin)
	if n := len(b.expiryQueue); n > 0 && expires.Before(b.expiryQueue[n-1].expires) {
		expires = b.expiryQueue[n-1].expires
	}
	l := &loan{id: id, amount: reply.Grant, valid: reply.Valid, expires: expires}
	b.level -= reply.Grant
	b.outstanding += reply.Grant
	b.loans[id] = l
	b.expiryQueue = append(b.expiryQueue, l)
}
