package quota

import (
	"slices"
	"time"
)

// Candidates returns the shares to borrow from: of each group the first one whose holder
// is not known to fail, and those after it while that holder lacks tokens and has not
// collected their capacity. If all fail, it is the one that can be asked again first.
func (p *Pool) Candidates(groups []Group, now time.Time) []ShareID {
	p.expire(now)
	p.grouped, p.heads = false, p.heads[:0]
	out := make([]ShareID, 0, len(groups))
	for _, g := range groups {
		p.grouped = p.grouped || len(g) > 1
		out = p.appendCandidates(out, g, now)
	}
	p.whole = p.grouped || len(out) == 1
	return out
}

// appendCandidates appends the shares of one group to borrow from.
func (p *Pool) appendCandidates(out []ShareID, g Group, now time.Time) []ShareID {
	n, next := len(out), g[0].ShareID
	for _, s := range g {
		st := p.shareStates[s.ShareID]
		if st != nil && (st.failures > 0 || st.notHolder) && now.Before(st.retryAt) {
			if st.retryAt.Before(p.shareStates[next].retryAt) {
				next = s.ShareID
			}
			continue
		}
		out = append(out, s.ShareID)
		if st == nil || !st.alone || !now.Before(st.retryAt) {
			break
		}
	}
	if len(out) == n {
		out = append(out, next)
	}
	if len(g) > 1 {
		p.heads = append(p.heads, out[n])
	}
	return out
}

// NextRequest returns the next message to a holder, if one is due. shares are all
// shares of the customer, in any order; waiting is the number of requests that
// wait for a token. Call it until it returns false.
//
// It borrows for the waiting requests and to keep the estimated demand of
// StockTime in the pool, from holders in the pool's own zone first, then from
// those in other zones, one after another. It also reports used tokens and
// returns tokens that the demand does not need.
func (p *Pool) NextRequest(shares []ShareID, waiting int, now time.Time) (BorrowRequest, bool) {
	p.expire(now)
	stock := p.targetStock(now)
	if n := p.amountToBorrow(stock, waiting, now); n > 0 {
		if id, others := p.selectShare(shares, waiting > 0, now); others >= 0 {
			req := p.newRequest(id, n, waiting > 0, now)
			if waiting > 0 && stock == 0 {
				p.forOneRequest(&req, others == 0)
			}
			return req, true
		}
	}
	p.returnSurplus(stock+Amount(waiting)*Token, now)
	for _, id := range p.shareOrder {
		s := p.shareStates[id]
		if s.reportDue(now) {
			return p.newRequest(id, 0, false, now), true
		}
	}
	return BorrowRequest{}, false
}

// reportDue reports whether a report to the holder of the share is due.
func (s *shareState) reportDue(now time.Time) bool {
	if s.unreportedSince.IsZero() || s.pendingSeq != 0 {
		return false
	}
	return s.reportNow || now.Sub(s.unreportedSince) >= reportDelay && now.After(s.lastRequest.Add(reportDelay))
}

// targetStock returns the amount to keep in the pool beyond what waiting requests
// need: the estimated demand of StockTime, rounded down to whole tokens. A node
// whose demand in StockTime is below one token keeps none, because it would
// withhold that token from other nodes most of the time.
func (p *Pool) targetStock(now time.Time) Amount {
	n := Amount(float64(p.Demand(now)) * StockTime.Seconds())
	return n - n%Token
}

// amountToBorrow returns the amount to request from a holder, 0 for none. The
// stock is refilled when less than half of it is left. Pending requests count as
// available tokens for hedgeDelay.
func (p *Pool) amountToBorrow(stock Amount, waiting int, now time.Time) Amount {
	have := p.available()
	for _, r := range p.pending {
		if now.Sub(r.sent) < p.hedgeDelay(r.share, waiting) {
			have += r.amount
		}
	}
	need := Amount(waiting) * Token
	if have >= need+stock/2 && (waiting == 0 || have >= need) {
		return 0
	}
	return need + stock - have
}

// hedgeDelay returns how long the amount of a pending request counts as expected
// tokens, so that no other holder is asked for them.
func (p *Pool) hedgeDelay(id ShareID, waiting int) time.Duration {
	switch {
	case waiting == 0:
		return replyTimeout
	case p.grouped:
		return groupHedgeDelay
	case id.Zone == p.opts.Zone:
		return HedgeDelay
	default:
		return otherZoneHedgeDelay
	}
}

// selectShare returns the share to borrow from: the preferred one of those that
// have no pending request and whose retry delay has elapsed. It also returns how many
// others there are, -1 if there is none at all.
func (p *Pool) selectShare(shares []ShareID, urgent bool, now time.Time) (ShareID, int) {
	var best ShareID
	others := -1
	for _, id := range shares {
		s := p.shareState(id)
		if s.pendingSeq != 0 || now.Before(s.retryAt) || !urgent && now.Before(s.restockAt) {
			continue
		}
		others++
		if others == 0 || p.preferred(id, best, urgent, now) {
			best = id
		}
	}
	return best, others
}

// preferred reports whether to borrow from share a rather than b. The order for
// waiting requests is: shares of the pool's own zone, holders with fewer
// consecutive failures, holders that had at least one token left, shares with a
// higher estimated fill ratio, and shares that were asked longer ago.
//
// If no request waits, or the shares are first ones of groups, and both holders have
// equally many failures, the share with the higher estimated fill ratio is preferred.
// Always borrowing from the own zone would
// empty its buckets while those of other zones overflow, and the fleet would hold
// less than the customer's burst. In all other cases the order for waiting requests
// applies.
func (p *Pool) preferred(a, b ShareID, urgent bool, now time.Time) bool {
	x, y := p.shareState(a), p.shareState(b)
	if (!urgent || p.grouped) && x.failures == y.failures {
		if m, n := p.estimatedFill(a, now), p.estimatedFill(b, now); m != n {
			return m > n
		}
	}
	if own := a.Zone == p.opts.Zone; own != (b.Zone == p.opts.Zone) {
		return own
	}
	if x.failures != y.failures {
		return x.failures < y.failures
	}
	if hasToken := x.spare >= Token; hasToken != (y.spare >= Token) {
		return hasToken
	}
	if m, n := p.estimatedFill(a, now), p.estimatedFill(b, now); m != n {
		return m > n
	}
	return x.lastRequest.Before(y.lastRequest)
}

// estimatedFill estimates the fill ratio of a share, from 0 to 1. It adds the
// refill since the last request to the ratio in the last reply, so an old reply has
// little influence. Shares of the own zone count as full above three quarters, so that
// they are used first while they are nearly full.
func (p *Pool) estimatedFill(id ShareID, now time.Time) float64 {
	s := p.shareState(id)
	f := s.fillRatio + now.Sub(s.lastRequest).Seconds()*estimatedRefill
	if s.lastRequest.IsZero() || f > 1 || id.Zone == p.opts.Zone && f > 0.75 {
		return 1
	}
	return f
}

// estimatedRefill is the fraction of its burst by which a share is assumed to
// refill per second. It is accurate for a burst of about five times the tokens per
// second that the share gains and does not lend.
const estimatedRefill = 0.2

// newRequest returns a borrow request for n tokens with the due reports and records
// it as pending.
func (p *Pool) newRequest(id ShareID, n Amount, urgent bool, now time.Time) BorrowRequest {
	p.seq++
	req := BorrowRequest{
		ShareID:      id,
		LoanID:       LoanID{Borrower: p.opts.Node, Incarnation: p.opts.Incarnation, Seq: p.seq},
		BorrowerZone: p.opts.Zone,
		Amount:       n,
		Urgent:       urgent,
		Demand:       p.Demand(now),
		Reports:      p.unacknowledgedReports(id),
	}
	req.Collect = n > 0 && slices.Contains(p.heads, id)
	s := p.shareState(id)
	s.lastRequest, s.pendingSeq, s.unreportedSince, s.reportNow = now, p.seq, time.Time{}, false
	p.pending[p.seq] = &pendingRequest{share: id, sent: now, amount: n, reports: req.Reports, urgent: urgent}
	return req
}

// forOneRequest changes a request for tokens that waiting requests use at once. The last
// holder that can be asked may reserve tokens for them.
func (p *Pool) forOneRequest(req *BorrowRequest, last bool) {
	req.Whole, req.MaxValid = p.whole, urgentLoanTime
	if last {
		req.MaxDelay = p.maxDelay
	}
	p.pending[req.Seq].short = true
}

// unacknowledgedReports returns the reports of loans from a share that its holder
// has not acknowledged. Tokens that were reported as spent can no longer be
// released.
func (p *Pool) unacknowledgedReports(id ShareID) []LoanReport {
	var out []LoanReport
	for _, l := range p.loans {
		if l.share != id || l.use == l.acked || l.short && !l.report && l.use.Returned == 0 {
			continue
		}
		l.sent = l.use
		out = append(out, l.use)
	}
	return out
}

// returnSurplus removes tokens from the pool and marks them as returned; the next
// report tells the holder. It returns all tokens of loans that expire soon. If the pool
// has more than keep by at least half of keep, it also returns this surplus from loans
// that could be used for StockTime.
func (p *Pool) returnSurplus(keep Amount, now time.Time) {
	surplus := p.available() - keep
	for _, l := range slices.Backward(p.loans) {
		n := l.available()
		nearExpiry := l.expires.Sub(now) < min(returnBeforeExpiry, l.valid/4)
		if !nearExpiry {
			if now.Sub(l.from) < min(StockTime, l.valid/4) || surplus < keep/2 {
				continue
			}
			n = min(n, surplus)
		}
		if n <= 0 {
			continue
		}
		l.use.Returned += n
		surplus -= n
		p.markUnreported(l.share, now)
		p.shareStates[l.share].reportNow = l.short // a later report would arrive after the end of the loan
	}
}
