package quota

import "time"

// Times of loans.
const (
	// LoanTime is how long a loan may be used. Tokens that a lost borrower had
	// are wasted for this time.
	LoanTime = time.Second
	// DriftMargin is added at the holder: 5% of LoanTime, far above the 0.02% by
	// which common clocks differ.
	DriftMargin = 50 * time.Millisecond
	// ReserveTime is the demand of the own zone that a holder keeps from other
	// zones.
	ReserveTime = 250 * time.Millisecond
	// demandTime is how long the demand that a borrower reported counts.
	demandTime = time.Second
	// Times before the next request after a short grant. minRetry bounds the
	// requests of a node to an empty share to 100 a second, borrowerRetry those of
	// all nodes together to 500 a second.
	minRetry      = 10 * time.Millisecond
	maxRetry      = 250 * time.Millisecond
	borrowerRetry = 2 * time.Millisecond
)

// Bucket is the token bucket of one share at its holder. Level plus
// outstanding loans never exceed the burst, except that a lowered burst takes
// effect as the loans end.
type Bucket struct {
	share       Share
	level       Amount
	outstanding Amount
	accrual     accrual
	at          time.Time // up to when the rate is added
	loans       map[LoanID]*loan
	queue       []*loan // by expiry, closed ones included
	borrowers   map[borrower]*account
	pruned      time.Time
}

type loan struct {
	id       LoanID
	amount   Amount
	spent    Amount
	returned Amount
	valid    time.Duration
	expires  time.Time
}

func (l *loan) open() Amount {
	return l.amount - l.spent - l.returned
}

type borrower struct {
	name        string
	incarnation uint64
}

// account is what a holder keeps about a borrower.
type account struct {
	seq    uint64 // highest number that was seen
	own    bool   // the borrower is in the zone of the holder
	demand Amount
	at     time.Time
}

// NewBucket returns the bucket of a share. It starts full only for a customer
// that is new, see Holder.ReadTo, and empty for a successor.
func NewBucket(s Share, full bool, now time.Time) *Bucket {
	b := &Bucket{
		share:     s,
		at:        now,
		loans:     map[LoanID]*loan{},
		borrowers: map[borrower]*account{},
		pruned:    now,
	}
	if full {
		b.level = s.Burst
	}
	return b
}

// Share returns the share in force.
func (b *Bucket) Share() Share {
	return b.share
}

// Level returns the tokens that can be lent.
func (b *Bucket) Level(now time.Time) Amount {
	b.advance(now)
	return b.level
}

// Outstanding returns the sum of the loans that are neither spent, returned nor
// expired.
func (b *Bucket) Outstanding(now time.Time) Amount {
	b.advance(now)
	return b.outstanding
}

// SetShare puts another rate and burst in force. Up to now the earlier rate
// counts. A higher burst adds no token.
func (b *Bucket) SetShare(s Share, now time.Time) {
	b.advance(now)
	b.share = s
	b.cap()
}

// advance adds the rate up to now and ends the loans that expired, each in its
// order of time: a loan counts against the burst until it expired.
func (b *Bucket) advance(now time.Time) {
	for len(b.queue) > 0 && !now.Before(b.queue[0].expires) {
		l := b.queue[0]
		b.queue = b.queue[1:]
		if _, ok := b.loans[l.id]; !ok {
			continue
		}
		b.accrue(l.expires)
		b.outstanding -= l.open()
		delete(b.loans, l.id)
	}
	b.accrue(now)
	b.prune(now)
}

func (b *Bucket) accrue(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	b.level += b.accrual.add(b.share.Rate, d)
	b.cap()
}

// cap drops what exceeds the burst.
func (b *Bucket) cap() {
	if room := max(b.share.Burst-b.outstanding, 0); b.level >= room {
		b.level = room
		b.accrual.rem = 0
	}
}

// prune drops borrowers that reported nothing for ten times demandTime.
func (b *Bucket) prune(now time.Time) {
	if now.Sub(b.pruned) < demandTime {
		return
	}
	b.pruned = now
	for key, a := range b.borrowers {
		if now.Sub(a.at) > 10*demandTime {
			delete(b.borrowers, key)
		}
	}
}

// Borrow applies the reports of a request and grants a loan. until is when the
// zone lease of the holder ends; no loan outlasts it. The grant is deducted
// before Borrow returns. A request that repeats one with a live loan gets the
// same answer, one that was overtaken by a later request gets nothing.
func (b *Bucket) Borrow(req BorrowRequest, until, now time.Time) BorrowReply {
	b.advance(now)
	b.report(req)
	reply := BorrowReply{ShareID: req.ShareID, Seq: req.Seq, IsHolder: true}
	if l, ok := b.loans[req.LoanID]; ok {
		reply.Grant, reply.Valid = l.amount, l.valid
		return reply
	}
	if !b.account(req, now) || req.Amount <= 0 {
		return reply
	}
	reply.Valid = min(LoanTime, until.Sub(now))
	if reply.Valid <= 0 {
		return BorrowReply{ShareID: req.ShareID, Seq: req.Seq}
	}
	free := b.free(req.BorrowerZone, now)
	reply.Grant = grant(req, free)
	reply.Spare = free - reply.Grant
	reply.FillRatio = float64(reply.Spare) / float64(b.share.Burst)
	if reply.Grant < req.Amount {
		reply.RetryAfter = b.retry(Token-reply.Spare, now)
	}
	if reply.Grant > 0 {
		b.lend(req.LoanID, reply, now)
	}
	return reply
}

// report applies the sums of a request to the loans that are still open.
func (b *Bucket) report(req BorrowRequest) {
	for _, r := range req.Reports {
		id := req.LoanID
		id.Seq = r.Seq
		l, ok := b.loans[id]
		if !ok || r.Spent < 0 || r.Returned < 0 || r.Spent > l.amount || r.Returned > l.amount-r.Spent {
			continue
		}
		spent, returned := max(r.Spent-l.spent, 0), max(r.Returned-l.returned, 0)
		if spent+returned > l.open() {
			continue
		}
		l.spent += spent
		l.returned += returned
		b.outstanding -= spent + returned
		b.level += returned
		if l.open() == 0 {
			delete(b.loans, id)
		}
	}
	b.cap()
}

// account notes the borrower and reports whether the request is later than
// every one seen before.
func (b *Bucket) account(req BorrowRequest, now time.Time) bool {
	key := borrower{req.Borrower, req.Incarnation}
	a := b.borrowers[key]
	if a == nil {
		a = &account{}
		b.borrowers[key] = a
	}
	if req.Seq <= a.seq {
		return false
	}
	*a = account{seq: req.Seq, own: req.BorrowerZone == b.share.Zone, demand: max(req.Demand, 0), at: now}
	return true
}

// free returns what the bucket can lend to a zone.
func (b *Bucket) free(zone string, now time.Time) Amount {
	if zone == b.share.Zone {
		return b.level
	}
	return max(b.level-b.reserve(now), 0)
}

// grant returns how much of the free amount a request gets. An urgent request
// takes any part, as it combines parts of several holders. Other requests take
// whole tokens only.
func grant(req BorrowRequest, free Amount) Amount {
	n := min(req.Amount, free)
	if !req.Urgent && n < req.Amount {
		n -= n % Token
	}
	return n
}

// reserve returns what is kept from other zones: the demand of the own zone in
// ReserveTime, this slot's part of it, and at most half of the burst, so that a
// burst shorter than the reserve still serves other zones.
func (b *Bucket) reserve(now time.Time) Amount {
	var demand Amount
	for _, a := range b.borrowers {
		if a.own && now.Sub(a.at) < demandTime {
			demand = min(demand+a.demand, maxAmount)
		}
	}
	part := float64(demand) * ReserveTime.Seconds() / float64(max(b.share.Slots, 1))
	return min(Amount(part), b.share.Burst/2)
}

// retry returns how long a borrower that got too little waits: until the share
// gains the missing amount, and longer with many borrowers.
func (b *Bucket) retry(missing Amount, now time.Time) time.Duration {
	active := 0
	for _, a := range b.borrowers {
		if now.Sub(a.at) < demandTime {
			active++
		}
	}
	d := min(max(after(b.share.Rate, missing), minRetry), maxRetry)
	return max(d, time.Duration(active)*borrowerRetry)
}

func (b *Bucket) lend(id LoanID, reply BorrowReply, now time.Time) {
	expires := now.Add(reply.Valid + DriftMargin)
	if n := len(b.queue); n > 0 && expires.Before(b.queue[n-1].expires) {
		expires = b.queue[n-1].expires
	}
	l := &loan{id: id, amount: reply.Grant, valid: reply.Valid, expires: expires}
	b.level -= reply.Grant
	b.outstanding += reply.Grant
	b.loans[id] = l
	b.queue = append(b.queue, l)
}
