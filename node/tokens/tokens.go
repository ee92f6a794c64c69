package tokens

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// Peers sends borrow requests to peer addresses.
type Peers interface {
	Borrow(ctx context.Context, addr string, req quota.BorrowRequest) (quota.BorrowReply, error)
}

const (
	// sweepEvery is how often pools report use and return tokens that they don't
	// need.
	sweepEvery = 25 * time.Millisecond
	// sendTimeout bounds an exchange. A later grant would have expired.
	sendTimeout = quota.LoanTime
)

// Limiter admits requests by the rate and burst of their account, which is a
// customer or an open route. It is safe for concurrent use.
type Limiter struct {
	zones   *zones.Zones
	store   *store.Store
	peers   Peers
	metrics *metric.Set
	holder  *holder
	nodes   func() int // nodes of the fleet; nil without grace

	graceMu sync.Mutex
	grace   *quota.GraceLimiter

	mu    sync.Mutex
	pools map[string]*pool
	kick  chan struct{}     // tells Sweep that there is a pool
	seqs  map[string]uint64 // last numbers of dropped pools
}

// pool is the stock of one account.
type pool struct {
	account string

	mu      sync.Mutex
	quota   *quota.Pool
	dropped bool
	waiting int
	wake    chan struct{} // closed and replaced after each answer
	view    *store.Config
	shares  []quota.ShareID
}

// New returns the limiter of a node. It must be called before the duties of
// the store and of zones start.
func New(z *zones.Zones, st *store.Store, peers Peers, m *metric.Set, opts ...Option) *Limiter {
	t := &Limiter{
		zones: z, store: st, peers: peers, metrics: m, holder: newHolder(z, st, m),
		pools: map[string]*pool{}, kick: make(chan struct{}, 1), seqs: map[string]uint64{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Option changes a limiter.
type Option func(*Limiter)

// WithGracePeriod admits the node's part of each rate in the first seconds after a
// start, while the zone has no lease. nodes returns the number of nodes of the
// fleet, 0 if it is not known.
func WithGracePeriod(started time.Time, nodes func() int) Option {
	return func(t *Limiter) { t.grace, t.nodes = quota.NewGraceLimiter(started), nodes }
}

// excused reports whether a request is admitted although no holder lent a token
// for it.
func (t *Limiter) excused(account string, now time.Time) bool {
	if t.nodes == nil {
		return false
	}
	leased := false
	t.zones.WithView(func(v zones.View) { leased = v.Lease.Valid(now) })
	cur := t.store.Current()
	if leased || cur == nil {
		return false
	}
	n := t.nodes()
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	return t.grace.Take(now, account, cur.View.Customers[account].Rate, n)
}

// SyncShares is the duty that starts shares after the retirement of earlier epochs.
func (t *Limiter) SyncShares(ctx context.Context) error {
	return t.holder.watch(ctx)
}

// ShareCount returns the number of shares that the node holds.
func (t *Limiter) ShareCount() int {
	n := 0
	t.zones.WithView(func(zones.View) { n = len(t.holder.quota.ShareIDs()) })
	return n
}

// Borrow answers a borrow request of a peer.
func (t *Limiter) Borrow(req quota.BorrowRequest) quota.BorrowReply {
	return t.holder.borrow(req)
}

// Take charges one request to an account. It waits up to quota.WaitTime for
// borrowed tokens. It returns a function that gives the token back, for a
// request that was not run, or a refusal.
func (t *Limiter) Take(ctx context.Context, account string, now time.Time) (func(time.Time), *refuse.Error) {
	p := t.locked(account)
	charge, ok := p.quota.Take(now)
	t.send(ctx, p, now)
	p.mu.Unlock()
	if !ok {
		charge, ok = t.await(ctx, p, now.Add(quota.MaxWaitTime))
	}
	if !ok && t.excused(account, time.Now()) {
		return func(time.Time) {}, nil
	}
	if !ok {
		return nil, refuse.New(refuse.RateLimited, "the rate of %q is used up", account).WithRetryAfter(time.Second)
	}
	return func(now time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.quota.Release(&charge, now)
	}, nil
}

// await borrows until a token is there, no holder can give one, or the time is
// over.
func (t *Limiter) await(ctx context.Context, p *pool, until time.Time) (quota.Charge, bool) {
	p.mu.Lock()
	p.waiting++
	defer func() {
		p.waiting--
		p.mu.Unlock()
	}()
	for {
		now := time.Now()
		t.send(ctx, p, now)
		if charge, ok := p.quota.RetryTake(now); ok {
			return charge, true
		}
		if p.quota.InFlight(now) == 0 || !now.Before(until) {
			return quota.Charge{}, false
		}
		wake := p.wake
		p.mu.Unlock()
		ended := sleep(ctx, wake, min(quota.HedgeDelay, until.Sub(now)))
		p.mu.Lock()
		if ended {
			return quota.Charge{}, false
		}
	}
}

// sleep waits for a wake-up or a time. It reports whether ctx ended.
func sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return true
	}
	return false
}

// locked returns the pool of an account with its lock held. A pool that was
// dropped meanwhile must not be used, as its successor uses the next numbers.
func (t *Limiter) locked(account string) *pool {
	for {
		p := t.pool(account)
		p.mu.Lock()
		if !p.dropped {
			return p
		}
		p.mu.Unlock()
	}
}

func (t *Limiter) pool(account string) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[account]
	if !ok {
		self := t.zones.Self()
		p = &pool{account: account, wake: make(chan struct{}), quota: quota.NewPool(quota.PoolOptions{
			Customer: account, Node: self.Name, Incarnation: self.Incarnation, Zone: self.Zone,
		})}
		p.quota.SetSeq(t.seqs[account])
		t.pools[account] = p
		select {
		case t.kick <- struct{}{}:
		default:
		}
	}
	return p
}

// shareIDs returns the shares of the account in force. The caller holds the
// lock of the pool.
func (t *Limiter) shareIDs(p *pool) []quota.ShareID {
	cur := t.store.Current()
	if cur == nil || cur == p.view {
		return p.shares
	}
	p.view, p.shares = cur, nil
	for _, s := range sharesOf(cur.View, p.account) {
		p.shares = append(p.shares, s.ShareID)
	}
	return p.shares
}

// send delivers what the pool wants to tell holders. The caller holds the lock
// of the pool.
func (t *Limiter) send(ctx context.Context, p *pool, now time.Time) {
	ids := t.shareIDs(p)
	for {
		req, ok := p.quota.NextRequest(ids, p.waiting, now)
		if !ok {
			return
		}
		m, ok := t.owner(req.ShareID)
		switch {
		case !ok:
			p.quota.HandleFailure(req.Seq, now)
		case m.Same(t.zones.Self()):
			p.answer(t.holder.borrow(req), now)
		default:
			go t.exchange(context.WithoutCancel(ctx), p, m.Address, req)
		}
	}
}

// owner returns the holder of a share.
func (t *Limiter) owner(id quota.ShareID) (epoch.Member, bool) {
	var m epoch.Member
	found := false
	t.zones.WithView(func(v zones.View) {
		if e, ok := v.State.Current(id.Zone); ok {
			m, found = quota.OwnerOf(id)(e), true
		}
	})
	return m, found
}

func (t *Limiter) exchange(ctx context.Context, p *pool, addr string, req quota.BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := t.peers.Borrow(ctx, addr, req)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.quota.HandleFailure(req.Seq, now)
		p.signal()
		return
	}
	t.metrics.Add(metric.TokensBorrowed, milli(reply.Grant))
	p.answer(reply, now)
}

func (p *pool) answer(reply quota.BorrowReply, now time.Time) {
	p.quota.HandleReply(reply, now)
	p.signal()
}

func (p *pool) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// MaintainPools is the duty that lets pools report use, return tokens and go away when
// they are idle. It sleeps while there is no pool.
func (t *Limiter) MaintainPools(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.kick:
		}
		for super.Pause(ctx, sweepEvery) && t.sweepAll(ctx, time.Now()) {
		}
	}
}

// sweepAll reports whether there were pools.
func (t *Limiter) sweepAll(ctx context.Context, now time.Time) bool {
	pools := t.all()
	for _, p := range pools {
		t.sweep(ctx, p, now)
	}
	return len(pools) > 0
}

func (t *Limiter) all() []*pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*pool, 0, len(t.pools))
	for _, p := range t.pools {
		out = append(out, p)
	}
	return out
}

func (t *Limiter) sweep(ctx context.Context, p *pool, now time.Time) {
	p.mu.Lock()
	t.send(ctx, p, now)
	if n := milli(p.quota.CollectExpired()); n > 0 {
		t.metrics.Add(metric.TokensExpired, n)
	}
	idle := p.waiting == 0 && p.quota.Idle(now)
	p.mu.Unlock()
	if idle {
		t.drop(p, now)
	}
}

// drop removes an idle pool. The next pool of the account continues its
// numbers, since holders ignore numbers that they saw.
func (t *Limiter) drop(p *pool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == 0 && p.quota.Idle(now) && t.pools[p.account] == p {
		p.dropped = true
		t.seqs[p.account] = p.quota.Seq()
		delete(t.pools, p.account)
	}
}
