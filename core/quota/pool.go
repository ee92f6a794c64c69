package quota

import (
	"slices"
	"time"
)

// Times of the borrower.
const (
	// StockTime is the demand that a pool keeps in stock. It covers many round
	// trips between zones (1.5 ms) and keeps a tenth of a second of the rate
	// from other nodes.
	StockTime = 100 * time.Millisecond
	// MaxWaitTime is how long a request may wait for a borrowed token before it is
	// refused: a round trip to the own zone and two to other zones.
	MaxWaitTime = 5 * time.Millisecond
	// reportDelay collects reports. Tokens that are spent but not reported keep
	// the bucket from refilling.
	reportDelay = 50 * time.Millisecond
	// HedgeDelay is how long waiting requests rely on an unanswered message to the
	// own zone before Next asks another holder: several round trips of 0.2 ms.
	// Half of WaitTime is left for other zones, so that a lost holder costs no
	// refusal.
	HedgeDelay = time.Millisecond
	// otherHedgeTime is the same for messages to other zones. It is less than
	// their round trip of 1.5 ms, so that four holders can be asked in WaitTime.
	otherHedgeTime = time.Millisecond
	// answerTime is when an unanswered message counts as lost. Its holder is then
	// not asked for failureRetry, which doubles with each loss up to
	// maxFailureRetry. A late answer is used all the same.
	answerTime      = 20 * time.Millisecond
	failureRetry    = 250 * time.Millisecond
	maxFailureRetry = 2 * time.Second
	// shortRetry bounds the wait after a first short grant, which doubles with
	// each further one up to what the holder asked for. A request combines parts
	// of several shares, so it must not wait until one of them has a whole token;
	// a customer beyond its rate must not make its nodes ask all the time. With
	// half of it no fewer requests are refused in the simulation of the tests.
	shortRetry = 50 * time.Millisecond
	// returnTime before its end an unused loan is returned, so that the message
	// arrives before the holder writes the loan off.
	returnTime = 250 * time.Millisecond
)

// Pool is the stock of tokens of one customer at one node. The caller takes a
// token for each root request. When Take fails it sends what Next returns,
// calls Answer with the reply, tries Retake, and goes on until Next returns
// nothing and InFlight is 0, or WaitTime has passed. While requests wait it calls
// Next after each answer and at least every HedgeTime. It also calls Next after
// each Take and every 25 ms or so while the pool isn't idle.
type Pool struct {
	opts    PoolOptions
	seq     uint64
	demand  meter
	credits []*credit // by expiry
	pending map[uint64]*request
	sources map[ShareID]*source
	order   []ShareID // keys of sources, so that equal inputs give equal messages
	expired Amount    // tokens of loans that ended unused
}

// PoolOptions are the identity of a pool.
type PoolOptions struct {
	Customer    string
	Node        string // instance name
	Incarnation uint64 // of the process
	Zone        string
}

// credit is a loan at the borrower.
type credit struct {
	share   ShareID
	seq     uint64
	amount  Amount
	use     LoanReport // spent includes tokens that may still be given back
	sent    LoanReport // latest sums in a message
	acked   LoanReport // latest sums that the holder has for certain
	since   time.Time
	expires time.Time
}

func (c *credit) free() Amount {
	return c.amount - c.use.Spent - c.use.Returned
}

type request struct {
	share   ShareID
	sent    time.Time
	amount  Amount
	reports []LoanReport
	lost    bool
}

type source struct {
	asked    time.Time
	retry    time.Time // not to be asked for tokens before
	failures int       // unanswered messages in a row
	short    int       // grants in a row that were less than asked for
	spare    Amount    // what the holder had left after its last grant
	fill     float64   // the same as a part of the burst
	waiting  uint64    // number of the unanswered request; 0 for none
	dirty    time.Time // when the oldest use that was not sent happened; zero for none
}

// Charge is a token that was taken, with the loans that it came from.
type Charge struct {
	parts []charged
}

type charged struct {
	seq    uint64
	amount Amount
}

// NewPool returns an empty pool.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts, pending: map[uint64]*request{}, sources: map[ShareID]*source{}}
}

// Take takes one token for a new request and counts the request as demand.
// Loans that are no longer valid at now are not used.
func (p *Pool) Take(now time.Time) (Charge, bool) {
	p.demand.add(now)
	return p.RetryTake(now)
}

// RetryTake is Take for a request that was counted before.
func (p *Pool) RetryTake(now time.Time) (Charge, bool) {
	p.expire(now)
	if p.free() < Token {
		return Charge{}, false
	}
	var ch Charge
	need := Token
	for _, c := range p.credits {
		n := min(c.free(), need)
		if n <= 0 {
			continue
		}
		c.use.Spent += n
		need -= n
		ch.parts = append(ch.parts, charged{c.seq, n})
		p.soil(c.share, now)
		if need == 0 {
			break
		}
	}
	return ch, true
}

// Release returns a token to the pool after a refusal that ran nothing. Parts
// that were reported as spent, or whose loan has ended, are lost: the holder
// may have replaced them already. The charge is empty afterwards.
func (p *Pool) Release(ch *Charge, now time.Time) {
	p.expire(now)
	for _, part := range ch.parts {
		i := slices.IndexFunc(p.credits, func(c *credit) bool { return c.seq == part.seq })
		if i < 0 {
			continue
		}
		c := p.credits[i]
		c.use.Spent -= min(part.amount, c.use.Spent-c.sent.Spent)
	}
	ch.parts = nil
}

// CollectExpired returns the tokens of loans that ended unused since the last call.
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
	return p.free()
}

// InFlight returns the number of requests that may still bring tokens.
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

// Idle reports whether the pool has no tokens, messages or demand, so that it
// can be dropped. A later pool of the same process must not reuse its numbers;
// see PoolOptions and SetSeq.
func (p *Pool) Idle(now time.Time) bool {
	p.expire(now)
	return len(p.credits) == 0 && len(p.pending) == 0 && p.demand.rate(now) < Token/10
}

// Seq returns the number of the last request.
func (p *Pool) Seq() uint64 {
	return p.seq
}

// SetSeq makes the pool number its requests above n. Call it on a new pool that
// follows a dropped one of the same customer in the same process.
func (p *Pool) SetSeq(n uint64) {
	p.seq = max(p.seq, n)
}

func (p *Pool) free() Amount {
	var sum Amount
	for _, c := range p.credits {
		sum += c.free()
	}
	return sum
}

// expire drops the loans that ended and marks requests as lost.
func (p *Pool) expire(now time.Time) {
	p.credits = slices.DeleteFunc(p.credits, func(c *credit) bool {
		if now.Before(c.expires) {
			return false
		}
		p.expired += c.free()
		return true
	})
	for seq, r := range p.pending {
		age := now.Sub(r.sent)
		if age >= LoanTime {
			delete(p.pending, seq)
		}
		if age >= answerTime && !r.lost {
			r.lost = true
			p.fail(r.share, seq, now)
		}
	}
}

func (p *Pool) fail(id ShareID, seq uint64, now time.Time) {
	if s := p.source(id); s.waiting == seq {
		s.waiting, s.spare = 0, 0
		s.retry = now.Add(min(failureRetry<<min(s.failures, 8), maxFailureRetry))
		s.failures++
	}
}

func (p *Pool) source(id ShareID) *source {
	s := p.sources[id]
	if s == nil {
		s = &source{spare: Token, fill: 1}
		p.sources[id] = s
		p.order = append(p.order, id)
	}
	return s
}

// soil notes that a share has to be told of a use.
func (p *Pool) soil(id ShareID, now time.Time) {
	if s := p.source(id); s.dirty.IsZero() {
		s.dirty = now
	}
}

// HandleReply takes in a reply. Replies to unknown requests, among them repeated
// ones, are ignored. A loan that came too late is left to expire at the holder.
func (p *Pool) HandleReply(reply BorrowReply, now time.Time) {
	p.expire(now)
	r, ok := p.pending[reply.Seq]
	if !ok || r.share != reply.ShareID {
		return
	}
	delete(p.pending, reply.Seq)
	s := p.source(r.share)
	if s.waiting == reply.Seq {
		s.waiting = 0
	}
	s.failures, s.spare, s.fill, s.retry = 0, reply.Spare, reply.FillRatio, now.Add(reply.RetryAfter)
	if !reply.IsHolder {
		s.retry = now.Add(failureRetry)
		return
	}
	switch {
	case reply.Grant < r.amount:
		s.retry = now.Add(min(reply.RetryAfter, shortRetry<<min(s.short, 8)))
		s.short++
	case r.amount > 0:
		s.short = 0
	}
	p.acknowledge(r.reports)
	expires := r.sent.Add(reply.Valid)
	if reply.Grant <= 0 || reply.Grant > r.amount || !now.Before(expires) {
		return
	}
	none := LoanReport{Seq: reply.Seq}
	c := &credit{
		share:   r.share,
		seq:     reply.Seq,
		amount:  reply.Grant,
		use:     none,
		sent:    none,
		acked:   none,
		since:   now,
		expires: expires,
	}
	i, _ := slices.BinarySearchFunc(p.credits, c, func(a, b *credit) int { return a.expires.Compare(b.expires) })
	p.credits = slices.Insert(p.credits, i, c)
}

func (p *Pool) acknowledge(reports []LoanReport) {
	for _, r := range reports {
		for _, c := range p.credits {
			if c.seq == r.Seq {
				c.acked.Spent = max(c.acked.Spent, r.Spent)
				c.acked.Returned = max(c.acked.Returned, r.Returned)
			}
		}
	}
	p.credits = slices.DeleteFunc(p.credits, func(c *credit) bool {
		return c.acked.Spent+c.acked.Returned == c.amount
	})
}

// HandleFailure tells that a request could not be sent or its link broke.
func (p *Pool) HandleFailure(seq uint64, now time.Time) {
	if r, ok := p.pending[seq]; ok {
		delete(p.pending, seq)
		p.fail(r.share, seq, now)
	}
}
