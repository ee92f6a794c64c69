package quota

import "time"

// Durations that apply to capacity loans.
const (
	// CapacityTime is the maximum time for which a capacity loan is valid. If the
	// collecting node fails, the tokens of the lent shares are unusable until then.
	CapacityTime = 1200 * time.Millisecond
	// capacityRenewal is the age at which a capacity loan is renewed, well before it can no
	// longer be used.
	capacityRenewal = 600 * time.Millisecond
	// capacityRetry is the delay after a capacity request that was not granted.
	capacityRetry = 300 * time.Millisecond
	// collectTime is how long a bucket collects capacity after a borrower last asked it as
	// the first of its group.
	collectTime = 3 * time.Second
	// groupLoanTime is the maximum validity of the token loans of a bucket in a group.
	// A capacity loan is used until this long before its end, so that all token loans
	// that it covered have ended when the lender uses its share again.
	groupLoanTime = 250 * time.Millisecond
)

// CapacityRequest asks the holder of a share for the share's whole capacity: its rate,
// its burst and the tokens in its bucket. While a share is lent, its own bucket neither
// accrues nor lends tokens, so that the rates and bursts in use never exceed those of
// the customer.
type CapacityRequest struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps
	_msgpack struct{} `msgpack:",as_array"`

	ShareID
	For         ShareID `msgpack:"for"` // share whose bucket collects the capacity
	Borrower    string  `msgpack:"borrower"`
	Incarnation uint64  `msgpack:"incarnation"`
	Seq         uint64  `msgpack:"seq"`
	// Return ends the loan instead, because the collecting node shuts down. Tokens is the
	// lender's part of the tokens that the node had left.
	Return bool   `msgpack:"return"`
	Tokens Amount `msgpack:"tokens"`
}

// CapacityReply is the reply to a CapacityRequest. A lost reply wastes the tokens in it
// and the capacity until the loan ends.
type CapacityReply struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps
	_msgpack struct{} `msgpack:",as_array"`

	ShareID
	Seq        uint64        `msgpack:"seq"`
	Granted    bool          `msgpack:"granted"`
	Rate       Amount        `msgpack:"rate"`
	Burst      Amount        `msgpack:"burst"`
	Tokens     Amount        `msgpack:"tokens"`
	Valid      time.Duration `msgpack:"valid"` // measured from the sending of the request
	RetryAfter time.Duration `msgpack:"retry"` // if not granted
}

// lentCapacity is the loan of a bucket's own capacity.
type lentCapacity struct {
	to          ShareID
	borrower    string
	incarnation uint64
	seq         uint64
	burst       Amount
	expires     time.Time
	returned    Amount // tokens that the borrower returned
}

// isOf reports whether a request renews the loan.
func (l *lentCapacity) isOf(req CapacityRequest) bool {
	return l.to == req.For && l.borrower == req.Borrower && l.incarnation == req.Incarnation
}

// collectedCapacity is the capacity of another share that a bucket uses.
type collectedCapacity struct {
	rate, burst Amount
	seq         uint64
	until       time.Time
}

// LendCapacity lends the capacity of the bucket's share. until is when the zone lease of
// the holder expires. It is not lent twice at a time, nor while tokens that have not
// accrued yet are reserved. Capacity that the bucket collected before is no longer
// used.
func (b *Bucket) LendCapacity(req CapacityRequest, until, now time.Time) CapacityReply {
	b.advance(now)
	reply := CapacityReply{ShareID: req.ShareID, Seq: req.Seq, RetryAfter: capacityRetry}
	if l := b.lent; l != nil && (!l.isOf(req) || req.Seq <= l.seq) {
		reply.RetryAfter = l.expires.Sub(now)
		return reply
	}
	clear(b.collected)
	b.lent = nil
	b.limitLevel()
	burst := b.share.Burst - b.outstanding
	valid := min(CapacityTime, until.Sub(now))
	if b.level < 0 || burst < 0 || valid <= groupLoanTime {
		return reply
	}
	b.lent = &lentCapacity{
		to: req.For, borrower: req.Borrower, incarnation: req.Incarnation, seq: req.Seq,
		burst: burst, expires: now.Add(withDriftMargin(valid)),
	}
	reply = CapacityReply{ShareID: req.ShareID, Seq: req.Seq, Granted: true, Rate: b.share.Rate, Burst: burst, Tokens: b.level, Valid: valid}
	b.level = 0
	return reply
}

// takeBack ends the loan of the bucket's capacity once no token loan of the borrower can be
// in use any more.
func (b *Bucket) takeBack(req CapacityRequest, now time.Time) {
	b.advance(now)
	if l := b.lent; l != nil && l.isOf(req) && req.Seq > l.seq {
		l.seq, l.returned = req.Seq, min(max(req.Tokens, 0), l.burst)
		l.expires = minTime(l.expires, now.Add(withDriftMargin(groupLoanTime)))
	}
}

// addCapacity adds the capacity of another share until the loan ends. sent is when the
// request was sent. A reply that was overtaken by a later one is ignored.
func (b *Bucket) addCapacity(reply CapacityReply, sent, now time.Time) {
	b.advance(now)
	until := sent.Add(reply.Valid - groupLoanTime)
	if b.lent != nil || !now.Before(until) || b.collected[reply.ShareID].seq > reply.Seq {
		return
	}
	b.collected[reply.ShareID] = collectedCapacity{rate: reply.Rate, burst: reply.Burst, seq: reply.Seq, until: until}
	b.level += max(reply.Tokens, 0)
	b.limitLevel()
}

// rate returns the rate at which tokens accrue now.
func (b *Bucket) rate() Amount {
	rate := b.share.Rate
	if b.lent != nil {
		rate = 0
	}
	for _, c := range b.collected {
		rate += c.rate
	}
	return rate
}

// burst returns the tokens that the bucket and its loans can hold now.
func (b *Bucket) burst() Amount {
	burst := b.share.Burst
	if b.lent != nil {
		burst = max(burst-b.lent.burst, 0)
	}
	for _, c := range b.collected {
		burst += c.burst
	}
	return burst
}

// endCapacity accrues tokens up to the next end of a capacity loan, if it is due, and
// reports whether there was one.
func (b *Bucket) endCapacity(due time.Time) bool {
	var next time.Time
	var ending ShareID
	for id, c := range b.collected {
		if next.IsZero() || c.until.Before(next) {
			next, ending = c.until, id
		}
	}
	ownEnds := b.lent != nil && (next.IsZero() || b.lent.expires.Before(next))
	if ownEnds {
		next = b.lent.expires
	}
	if next.IsZero() || due.Before(next) {
		return false
	}
	b.accrue(next)
	if ownEnds {
		b.level += b.lent.returned
		b.lent = nil
	} else {
		delete(b.collected, ending)
	}
	b.limitLevel()
	return true
}

// withDriftMargin returns the time for which a holder keeps a loan that the borrower may
// use for d, in case the holder's clock runs faster.
func withDriftMargin(d time.Duration) time.Duration {
	return d + d*DriftMargin/LoanTime
}

// capacityRequestState is what a holder records about its requests to one share.
type capacityRequestState struct {
	seq  uint64 // number of the pending request; 0 for none
	sent time.Time
	next time.Time // earliest time of the next request
}

// CapacityRequests returns the requests for capacity that are due: from all other shares
// of the group to each bucket that borrowers ask first, unless its own capacity is lent.
// Call it a few times a second, and at once after a reply with Alone.
func (h *Holder) CapacityRequests(now time.Time) []CapacityRequest {
	var out []CapacityRequest
	for id, b := range h.buckets {
		b.advance(now)
		if len(b.group) < 2 || b.lent != nil || b.lastCollect.IsZero() || now.Sub(b.lastCollect) > collectTime {
			continue
		}
		for _, s := range b.group[b.rank+1:] {
			if req, ok := h.capacityRequest(b, id, s.ShareID, now); ok {
				out = append(out, req)
			}
		}
	}
	return out
}

// capacityRequest returns the request of a bucket to one share if it is due.
func (h *Holder) capacityRequest(b *heldBucket, id, from ShareID, now time.Time) (CapacityRequest, bool) {
	s := b.requests[from]
	if now.Before(s.next) {
		return CapacityRequest{}, false
	}
	h.seq++
	b.requests[from] = capacityRequestState{seq: h.seq, sent: now, next: now.Add(capacityRenewal)}
	return CapacityRequest{ShareID: from, For: id, Borrower: h.self.Name, Incarnation: h.self.Incarnation, Seq: h.seq}, true
}

// HandleCapacity processes the reply to a capacity request. Replies to earlier requests
// are ignored.
func (h *Holder) HandleCapacity(req CapacityRequest, reply CapacityReply, now time.Time) {
	b := h.buckets[req.For]
	if b == nil || b.requests[req.ShareID].seq != req.Seq || reply.Seq != req.Seq {
		return
	}
	s := b.requests[req.ShareID]
	s.seq = 0
	if r := b.group.rank(req.ShareID); reply.Granted && r >= 0 {
		// The lender may still use an earlier configuration with a higher rate.
		reply.Rate, reply.Burst = min(reply.Rate, b.group[r].Rate), min(reply.Burst, b.group[r].Burst)
		b.addCapacity(reply, s.sent, now)
	} else {
		s.next = now.Add(min(max(reply.RetryAfter, capacityRetry), CapacityTime))
	}
	b.requests[req.ShareID] = s
}

// LendCapacity handles a capacity request of another node or of this node itself. The
// capacity is lent only to shares that come earlier in the group. until is when the
// lease of this node expires, see epoch.Lease.Expiry.
func (h *Holder) LendCapacity(req CapacityRequest, until, now time.Time) CapacityReply {
	b := h.buckets[req.ShareID]
	refused := CapacityReply{ShareID: req.ShareID, Seq: req.Seq, RetryAfter: capacityRetry}
	if b == nil || !now.Before(until) {
		return refused
	}
	if req.Return {
		b.takeBack(req, now)
		return refused
	}
	if r := b.group.rank(req.For); r < 0 || r >= b.rank {
		refused.RetryAfter = CapacityTime
		return refused
	}
	return b.LendCapacity(req, until, now)
}

// Release gives up all shares, because the node shuts down, and returns the messages to the
// lenders of collected capacity. They use their shares again a moment later and not only
// at the end of the loans. Afterwards the node holds no share any more.
func (h *Holder) Release(now time.Time) []CapacityRequest {
	h.released = true
	var out []CapacityRequest
	for id, b := range h.buckets {
		b.advance(now)
		for from := range b.collected {
			h.seq++
			out = append(out, CapacityRequest{
				ShareID: from, For: id, Borrower: h.self.Name, Incarnation: h.self.Incarnation, Seq: h.seq,
				Return: true, Tokens: max(b.level, 0) / Amount(len(b.collected)),
			})
		}
	}
	clear(h.buckets)
	return out
}
