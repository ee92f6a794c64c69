package quota

import (
	"slices"
	"time"
)

// Next returns the next message to a holder, if one is due. shares are those of
// the customer, in any order; waiting is the number of requests that wait for a
// token. Call it until it returns false.
//
// It borrows for the waiting requests and to keep the demand of Horizon in
// stock, from the own zone's holders first and then from those of other zones,
// in turn. It returns tokens that the demand doesn't need and reports use.
func (p *Pool) Next(shares []ShareID, waiting int, now time.Time) (BorrowRequest, bool) {
	p.expire(now)
	stock := p.stock(now)
	if n := p.want(stock, waiting, now); n > 0 {
		if id, ok := p.choose(shares, now); ok {
			return p.request(id, n, waiting > 0, now), true
		}
	}
	p.giveUp(stock+Amount(waiting)*Token, now)
	for id, s := range p.sources {
		if !s.dirty.IsZero() && s.waiting == 0 && now.Sub(s.dirty) >= reportDelay && now.After(s.asked.Add(reportDelay)) {
			return p.request(id, 0, false, now), true
		}
	}
	return BorrowRequest{}, false
}

// stock returns the amount to keep: the demand of Horizon in whole tokens. Below
// one token a stock would keep tokens from other nodes most of the time.
func (p *Pool) stock(now time.Time) Amount {
	n := Amount(float64(p.Demand(now)) * Horizon.Seconds())
	return n - n%Token
}

// want returns the amount to ask for. It fills the stock when less than half is
// left.
func (p *Pool) want(stock Amount, waiting int, now time.Time) Amount {
	have := p.free()
	for _, r := range p.pending {
		if now.Sub(r.sent) < p.rely(r.share, waiting) {
			have += r.amount
		}
	}
	need := Amount(waiting) * Token
	if have >= need+stock/2 && (waiting == 0 || have >= need) {
		return 0
	}
	return need + stock - have
}

// rely returns how long an unanswered message counts as tokens to come.
func (p *Pool) rely(id ShareID, waiting int) time.Duration {
	switch {
	case waiting == 0:
		return answerTime
	case id.Zone == p.opts.Zone:
		return HedgeTime
	default:
		return otherHedgeTime
	}
}

// choose returns the share to ask among those that may be asked.
func (p *Pool) choose(shares []ShareID, now time.Time) (ShareID, bool) {
	var best ShareID
	found := false
	for _, id := range shares {
		s := p.source(id)
		if s.waiting != 0 || now.Before(s.retry) {
			continue
		}
		if !found || p.before(id, best) {
			best, found = id, true
		}
	}
	return best, found
}

// before reports whether to ask a rather than b: own zone first, then holders
// that answer, then those that had a token left, then the least recently asked.
func (p *Pool) before(a, b ShareID) bool {
	if own := a.Zone == p.opts.Zone; own != (b.Zone == p.opts.Zone) {
		return own
	}
	x, y := p.source(a), p.source(b)
	if x.failures != y.failures {
		return x.failures < y.failures
	}
	if rich := x.spare >= Token; rich != (y.spare >= Token) {
		return rich
	}
	return x.asked.Before(y.asked)
}

func (p *Pool) request(id ShareID, n Amount, urgent bool, now time.Time) BorrowRequest {
	p.seq++
	req := BorrowRequest{
		ShareID:      id,
		LoanID:       LoanID{Borrower: p.opts.Node, Incarnation: p.opts.Incarnation, Seq: p.seq},
		BorrowerZone: p.opts.Zone,
		Amount:       n,
		Urgent:       urgent,
		Demand:       p.Demand(now),
		Reports:      p.reports(id),
	}
	s := p.source(id)
	s.asked, s.waiting, s.dirty = now, p.seq, time.Time{}
	p.pending[p.seq] = &request{share: id, sent: now, amount: n, reports: req.Reports}
	return req
}

// reports returns the sums that the holder of a share doesn't have for certain.
// What is reported as spent can't be given back any more.
func (p *Pool) reports(id ShareID) []Report {
	var out []Report
	for _, c := range p.credits {
		if c.share != id || c.use == c.acked {
			continue
		}
		c.sent = c.use
		out = append(out, c.use)
	}
	return out
}

// giveUp takes tokens out of the pool to return them: those beyond what to keep
// once they are older than Horizon, and those that would expire unused.
func (p *Pool) giveUp(keep Amount, now time.Time) {
	surplus := p.free() - keep
	for _, c := range slices.Backward(p.credits) {
		n := c.free()
		ending := c.expires.Sub(now) < returnTime
		if !ending {
			if now.Sub(c.since) < Horizon || surplus < keep/2 {
				continue
			}
			n = min(n, surplus)
		}
		if n <= 0 {
			continue
		}
		c.use.Returned += n
		surplus -= n
		p.soil(c.share, now)
	}
}
