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
	// maintenanceInterval is how often pools report used tokens and return tokens that
	// they do not need.
	maintenanceInterval = 25 * time.Millisecond
	// sendTimeout limits the wait for a reply. A loan granted by a later reply would
	// have expired.
	sendTimeout = quota.LoanTime
)

// Limiter admits requests within the rate and burst of their account, which is a
// customer or an open route. It is safe for concurrent use.
type Limiter struct {
	zones     *zones.Zones
	store     *store.Store
	peers     Peers
	metrics   *metric.Set
	holder    *holder
	nodeCount func() int // number of nodes in the fleet; nil without a grace period

	graceMu sync.Mutex
	grace   *quota.GraceLimiter

	mu          sync.Mutex
	pools       map[string]*pool
	poolCreated chan struct{}     // signals MaintainPools that a pool was created
	lastSeqs    map[string]uint64 // latest request numbers of removed pools by account
}

// pool holds the borrowed tokens of one account and the requests that wait for them.
type pool struct {
	account string

	mu      sync.Mutex
	quota   *quota.Pool
	removed bool
	waiting int           // requests that wait for a token
	wake    chan struct{} // closed and replaced after each reply or failure
	config  *store.Config // configuration from which shares was computed
	shares  []quota.ShareID
}

// New returns the limiter of a node. It must be called before the background tasks of
// the store and of zones start.
func New(z *zones.Zones, st *store.Store, peers Peers, m *metric.Set, opts ...Option) *Limiter {
	t := &Limiter{
		zones: z, store: st, peers: peers, metrics: m, holder: newHolder(z, st, m),
		pools: map[string]*pool{}, poolCreated: make(chan struct{}, 1), lastSeqs: map[string]uint64{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithGracePeriod makes the limiter admit an equal fraction of each customer's rate
// without borrowed tokens for quota.GracePeriod after the start of the node, while it
// has no valid zone lease. nodes returns the number of nodes in the fleet, or 0 if it
// is unknown.
func WithGracePeriod(started time.Time, nodes func() int) Option {
	return func(t *Limiter) { t.grace, t.nodeCount = quota.NewGraceLimiter(started), nodes }
}

// takeGrace reports whether the grace period admits a request for which no token could
// be borrowed.
func (t *Limiter) takeGrace(account string, now time.Time) bool {
	if t.nodeCount == nil {
		return false
	}
	leased := false
	t.zones.WithView(func(v zones.View) { leased = v.Lease.Valid(now) })
	cur := t.store.Current()
	if leased || cur == nil {
		return false
	}
	n := t.nodeCount()
	t.graceMu.Lock()
	defer t.graceMu.Unlock()
	return t.grace.Take(now, account, cur.View.Customers[account].Rate, n)
}

// SyncShares is the background task that starts to lend tokens of pending shares after
// earlier epochs are retired.
func (t *Limiter) SyncShares(ctx context.Context) error {
	return t.holder.watch(ctx)
}

// ShareCount returns the number of shares that the node holds.
func (t *Limiter) ShareCount() int {
	n := 0
	t.zones.WithView(func(zones.View) { n = len(t.holder.quota.ShareIDs()) })
	return n
}

// Borrow handles a borrow request of a peer.
func (t *Limiter) Borrow(req quota.BorrowRequest) quota.BorrowReply {
	return t.holder.borrow(req)
}

// Take takes one token of an account for a request. It waits up to quota.MaxWaitTime
// for borrowed tokens. It returns a refusal, or a function that releases the token if
// the request was not executed.
func (t *Limiter) Take(ctx context.Context, account string, now time.Time) (func(time.Time), *refuse.Error) {
	p := t.lockedPool(account)
	charge, ok := p.quota.Take(now)
	t.send(ctx, p, now)
	p.mu.Unlock()
	if !ok {
		charge, ok = t.awaitToken(ctx, p, now.Add(quota.MaxWaitTime))
	}
	if !ok && t.takeGrace(account, time.Now()) {
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

// awaitToken borrows until it can take a token, no holder has one to lend, or the
// deadline has passed.
func (t *Limiter) awaitToken(ctx context.Context, p *pool, until time.Time) (quota.Charge, bool) {
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

// sleep waits until wake is closed or d has elapsed. It returns true if ctx ended
// first.
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

// lockedPool returns the pool of an account with its lock held. It does not return a
// pool that was removed in the meantime, because the next pool of the account already
// uses the following request numbers.
func (t *Limiter) lockedPool(account string) *pool {
	for {
		p := t.pool(account)
		p.mu.Lock()
		if !p.removed {
			return p
		}
		p.mu.Unlock()
	}
}

// pool returns the pool of an account and creates it if needed.
func (t *Limiter) pool(account string) *pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[account]
	if !ok {
		self := t.zones.Self()
		p = &pool{account: account, wake: make(chan struct{}), quota: quota.NewPool(quota.PoolOptions{
			Customer: account, Node: self.Name, Incarnation: self.Incarnation, Zone: self.Zone,
		})}
		p.quota.SetSeq(t.lastSeqs[account])
		t.pools[account] = p
		select {
		case t.poolCreated <- struct{}{}:
		default:
		}
	}
	return p
}

// shareIDs returns the shares of the pool's account in the current configuration. The
// caller must hold the lock of the pool.
func (t *Limiter) shareIDs(p *pool) []quota.ShareID {
	cur := t.store.Current()
	if cur == nil || cur == p.config {
		return p.shares
	}
	p.config, p.shares = cur, nil
	for _, s := range sharesOf(cur.View, p.account) {
		p.shares = append(p.shares, s.ShareID)
	}
	return p.shares
}

// send sends the messages of the pool that are due to the owners of the shares. The
// caller must hold the lock of the pool.
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
			p.handleReply(t.holder.borrow(req), now)
		default:
			go t.exchange(context.WithoutCancel(ctx), p, m.Address, req)
		}
	}
}

// owner returns the owner of a share in the current epoch of its zone.
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

// exchange sends a borrow request to a peer and processes the reply.
func (t *Limiter) exchange(ctx context.Context, p *pool, addr string, req quota.BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := t.peers.Borrow(ctx, addr, req)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.quota.HandleFailure(req.Seq, now)
		p.wakeWaiters()
		return
	}
	t.metrics.Add(metric.TokensBorrowed, milliTokens(reply.Grant))
	p.handleReply(reply, now)
}

// handleReply passes a reply to the pool and wakes waiting requests. The caller must
// hold the lock of the pool.
func (p *pool) handleReply(reply quota.BorrowReply, now time.Time) {
	p.quota.HandleReply(reply, now)
	p.wakeWaiters()
}

// wakeWaiters wakes all requests that wait in sleep. The caller must hold the lock of
// the pool.
func (p *pool) wakeWaiters() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// MaintainPools is the background task that lets pools report used tokens and return
// tokens, and that removes idle pools. It blocks while there are no pools.
func (t *Limiter) MaintainPools(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.poolCreated:
		}
		for super.Pause(ctx, maintenanceInterval) && t.maintainAll(ctx, time.Now()) {
		}
	}
}

// maintainAll maintains all pools and reports whether there were any.
func (t *Limiter) maintainAll(ctx context.Context, now time.Time) bool {
	pools := t.allPools()
	for _, p := range pools {
		t.maintain(ctx, p, now)
	}
	return len(pools) > 0
}

// allPools returns the pools of all accounts.
func (t *Limiter) allPools() []*pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*pool, 0, len(t.pools))
	for _, p := range t.pools {
		out = append(out, p)
	}
	return out
}

// maintain sends the messages of a pool that are due, counts its expired tokens and
// removes the pool if it is idle.
func (t *Limiter) maintain(ctx context.Context, p *pool, now time.Time) {
	p.mu.Lock()
	t.send(ctx, p, now)
	if n := milliTokens(p.quota.CollectExpired()); n > 0 {
		t.metrics.Add(metric.TokensExpired, n)
	}
	idle := p.waiting == 0 && p.quota.Idle(now)
	p.mu.Unlock()
	if idle {
		t.removeIdle(p, now)
	}
}

// removeIdle removes a pool if it is still idle. The next pool of the account continues
// its request numbers, because holders ignore numbers that are not above those seen.
func (t *Limiter) removeIdle(p *pool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == 0 && p.quota.Idle(now) && t.pools[p.account] == p {
		p.removed = true
		t.lastSeqs[p.account] = p.quota.Seq()
		delete(t.pools, p.account)
	}
}
