package quota

import (
	"slices"
	"time"
)

// NextRequest returns the next message to a holder, if one is due. shares are those of
// the customer, in any order; waiting is the number of requests that wait for a
// token. Call it until it returns false.
//
// It borrows for the waiting requests and to keep the demand of Horizon in
// stock, from the own zone's holders first and then from those of other zones,
// in turn. It returns tokens that the demand doesn't need and reports use.
func (p *Pool) NextRequest(shares []ShareID, waiting int, now time.Time) (BorrowRequest, bool) {
	p.expire(now)
	stock := p.stock(now)
	if n := p.want(stock, waiting, now); n > 0 {
		if id, ok := p.choose(shares, waiting > 0, now); ok {
			return p.request(id, n, waiting > 0, now), true
		}
	}
	p.giveUp(stock+Amount(waiting)*Token, now)
	for _, id := range p.order {
		s := p.sources[id]
		if !s.dirty.IsZero() && s.waiting == 0 && now.Sub(s.dirty) >= reportDelay && now.After(s.asked.Add(reportDelay)) {
			return p.request(id, 0, false, now), true
		}
	}
	return BorrowRequest{}, false
}

// stock returns the amount to keep: the demand of Horizon in whole tokens. Below
// one token a stock would keep tokens from other nodes most of the time.
func (p *Pool) stock(now time.Time) Amount {
	n := Amount(float64(p.Demand(now)) * StockTime.Seconds())
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
		return HedgeDelay
	default:
		return otherHedgeTime
	}
}

// choose returns the share to ask among those that may be asked.
func (p *Pool) choose(shares []ShareID, urgent bool, now time.Time) (ShareID, bool) {
	var best ShareID
	found := false
	for _, id := range shares {
		s := p.source(id)
		if s.waiting != 0 || now.Before(s.retry) {
			continue
		}
		if !found || p.before(id, best, urgent, now) {
			best, found = id, true
		}
	}
	return best, found
}

// before reports whether to ask a rather than b: own zone first, then holders
// that answer, then those that had a token left, then the fullest.
// The stock is filled from the fullest share, if those of the own zone are not
// three quarters full. Otherwise those of other zones would overflow while the own ones
// are empty, and the fleet would hold less than the customer's burst.
func (p *Pool) before(a, b ShareID, urgent bool, now time.Time) bool {
	x, y := p.source(a), p.source(b)
	if !urgent && x.failures == y.failures {
		if m, n := p.fill(a, now), p.fill(b, now); m != n {
			return m > n
		}
	}
	if own := a.Zone == p.opts.Zone; own != (b.Zone == p.opts.Zone) {
		return own
	}
	if x.failures != y.failures {
		return x.failures < y.failures
	}
	if rich := x.spare >= Token; rich != (y.spare >= Token) {
		return rich
	}
	if m, n := p.fill(a, now), p.fill(b, now); m != n {
		return m > n
	}
	return x.asked.Before(y.asked)
}

// fill estimates how full a share is, from 0 to 1. Shares of the own zone count
// as full above three quarters. An old answer counts less.
func (p *Pool) fill(id ShareID, now time.Time) float64 {
	s := p.source(id)
	f := s.fill + now.Sub(s.asked).Seconds()*refillGuess
	if s.asked.IsZero() || f > 1 || id.Zone == p.opts.Zone && f > 0.75 {
		return 1
	}
	return f
}

// refillGuess is the part of a burst by which a share may fill in a second
// after its last answer, for a burst of about five seconds of its unused rate.
const refillGuess = 0.2

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
func (p *Pool) reports(id ShareID) []LoanReport {
	var out []LoanReport
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
			if now.Sub(c.since) < StockTime || surplus < keep/2 {
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
