package tokens

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// Peers sends borrow requests to peer addresses.
type Peers interface {
	Borrow(ctx context.Context, addr string, req quota.BorrowRequest) (quota.BorrowReply, error)
	LendCapacity(ctx context.Context, addr string, req quota.CapacityRequest) (quota.CapacityReply, error)
}

const (
	// maintenanceInterval is how often pools report used tokens and return tokens that
	// they do not need.
	maintenanceInterval = 25 * time.Millisecond
	// sendTimeout limits the wait for a reply. A loan granted by a later reply would
	// have expired.
	sendTimeout = quota.LoanTime
	// collectInterval is how often a holder checks whether capacity requests are due.
	collectInterval = 200 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is told to come
	// back.
	minRetryAfter = 50 * time.Millisecond
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
	onError   func(error)

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

	mu       sync.Mutex
	quota    *quota.Pool
	removed  bool
	waiting  int           // requests that wait for a token
	wake     chan struct{} // closed and replaced after each reply or failure
	config   *store.Config // configuration from which groups and interval were computed
	groups   []quota.Group
	interval time.Duration // time in which one token accrues
}

// New returns the limiter of a node. It must be called before the background tasks of
// the store and of zones start.
func New(z *zones.Zones, st *store.Store, peers Peers, m *metric.Set, opts ...Option) *Limiter {
	l := &Limiter{
		zones: z, store: st, peers: peers, metrics: m, holder: newHolder(z, st, m),
		pools: map[string]*pool{}, poolCreated: make(chan struct{}, 1), lastSeqs: map[string]uint64{},
		onError: func(error) {},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithGracePeriod makes the limiter admit requests without borrowed tokens for
// quota.GracePeriod after the start of the node, while it has no valid zone lease: an
// equal fraction of the rate of those of the customer's shares that have no holder. Open
// routes have no grace period. nodes returns the number of nodes in the fleet, or 0 if it
// is unknown.
func WithGracePeriod(started time.Time, nodes func() int) Option {
	return func(l *Limiter) { l.grace, l.nodeCount = quota.NewGraceLimiter(started), nodes }
}

// WithErrorHook sets a function that is called with the panic of an exchange with a peer.
func WithErrorHook(f func(error)) Option {
	return func(l *Limiter) { l.onError = f }
}

// takeGrace reports whether the grace period admits a request for which no token could
// be borrowed.
func (l *Limiter) takeGrace(p *pool, now time.Time) bool {
	if l.nodeCount == nil || objectOf(p.account).Kind != model.KindCustomer {
		return false
	}
	leased := false
	l.zones.WithView(func(v zones.View) { leased = v.Lease.Valid(now) })
	if leased {
		return false
	}
	p.mu.Lock()
	rate := p.quota.RateWithoutHolder(l.currentGroups(p), now)
	p.mu.Unlock()
	n := l.nodeCount()
	l.graceMu.Lock()
	defer l.graceMu.Unlock()
	return l.grace.Take(now, p.account, rate.Float(), n)
}

// SyncShares is the background task that records reads of the configuration stream and
// creates the buckets of pending shares as soon as earlier epochs are retired.
func (l *Limiter) SyncShares(ctx context.Context) error {
	return l.holder.runSync(ctx)
}

// ShareCount returns the number of shares that the node holds.
func (l *Limiter) ShareCount() int {
	n := 0
	l.zones.WithView(func(zones.View) { n = len(l.holder.quota.ShareIDs()) })
	return n
}

// Borrow handles a borrow request of a peer.
func (l *Limiter) Borrow(req quota.BorrowRequest) quota.BorrowReply {
	return l.holder.borrow(req)
}

// Take takes one token of an account for a request. It waits up to quota.MaxWaitTime
// for the replies of holders, and up to patience for a token that has not accrued yet. It
// returns a refusal, or a function that releases the token if the request was not
// executed.
func (l *Limiter) Take(ctx context.Context, account string, patience time.Duration, now time.Time) (func(time.Time), *refuse.Error) {
	p := l.lockedPool(account)
	charge, ok := p.quota.Take(now)
	l.send(ctx, p, now)
	p.mu.Unlock()
	if !ok {
		charge, ok = l.awaitToken(ctx, p, patience, now)
	}
	if !ok && l.takeGrace(p, time.Now()) {
		return func(time.Time) {}, nil
	}
	if !ok {
		return nil, refuse.New(refuse.RateLimited, "the rate of %q is used up", account).WithRetryAfter(p.retryAfter(time.Now()))
	}
	return func(now time.Time) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.quota.Release(&charge, now)
	}, nil
}

// retryAfter returns the time after which a refused caller finds a token.
func (p *pool) retryAfter(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.quota.NextToken(p.interval, now), minRetryAfter)
}

// awaitToken borrows and waits until it can take a token. It gives up when no holder
// can be asked any more until the patience of the request ends, when a holder doesn't
// respond within quota.MaxWaitTime, or when ctx ends. started is when the wait began.
func (l *Limiter) awaitToken(ctx context.Context, p *pool, patience time.Duration, started time.Time) (quota.Charge, bool) {
	p.mu.Lock()
	p.waiting++
	defer func() {
		p.waiting--
		p.mu.Unlock()
	}()
	for {
		now := time.Now()
		p.quota.AllowDelay(patience)
		l.send(ctx, p, now)
		if charge, ok := p.quota.RetryTake(now); ok {
			l.send(ctx, p, now) // the use of a loan may be due to be reported
			return charge, true
		}
		until := started.Add(patience)
		if p.quota.InFlight(now) > 0 {
			until = started.Add(max(quota.MaxWaitTime, patience))
		}
		at, ok := p.quota.WakeAt(p.quota.Candidates(p.groups, now), now, until)
		if !ok {
			return quota.Charge{}, false
		}
		wake := p.wake
		p.mu.Unlock()
		ctxEnded := waitForWake(ctx, wake, at.Sub(now))
		p.mu.Lock()
		if ctxEnded {
			return quota.Charge{}, false
		}
	}
}

// waitForWake waits until wake is closed or d has elapsed. It returns true if ctx ended
// first.
func waitForWake(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
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
func (l *Limiter) lockedPool(account string) *pool {
	for {
		p := l.pool(account)
		p.mu.Lock()
		if !p.removed {
			return p
		}
		p.mu.Unlock()
	}
}

// pool returns the pool of an account and creates it if needed.
func (l *Limiter) pool(account string) *pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.pools[account]
	if !ok {
		self := l.zones.Self()
		p = &pool{account: account, wake: make(chan struct{}), quota: quota.NewPool(quota.PoolOptions{
			Customer: account, Node: self.Name, Incarnation: self.Incarnation, Zone: self.Zone,
		})}
		p.quota.SetSeq(l.lastSeqs[account])
		l.pools[account] = p
		select {
		case l.poolCreated <- struct{}{}:
		default:
		}
	}
	return p
}

// currentGroups returns the groups of shares of the pool's account in the current
// configuration. The caller must hold the lock of the pool.
func (l *Limiter) currentGroups(p *pool) []quota.Group {
	cur := l.store.Current()
	if cur == nil || cur == p.config {
		return p.groups
	}
	shares := sharesOf(cur.View, p.account)
	p.config, p.groups, p.interval = cur, quota.Groups(shares), quota.TokenInterval(shares)
	return p.groups
}

// send sends the messages of the pool that are due to the owners of the shares. The
// caller must hold the lock of the pool.
func (l *Limiter) send(ctx context.Context, p *pool, now time.Time) {
	groups := l.currentGroups(p)
	for {
		req, ok := p.quota.NextRequest(p.quota.Candidates(groups, now), p.waiting, now)
		if !ok {
			return
		}
		m, ok, known := l.owner(req.ShareID)
		switch {
		case !known:
			p.quota.HandleNoReply(req.Seq, now)
		case !ok:
			p.quota.HandleFailure(req.Seq, now)
		case m.Same(l.zones.Self()):
			p.handleReply(l.holder.borrow(req), now)
		default:
			super.Go("borrow", l.onError, func() { l.exchange(context.WithoutCancel(ctx), p, m.Address, req) })
		}
	}
}

// owner returns the owner of a share in the current epoch of its zone. It reports known as
// false while the node hasn't read the epochs yet, and ok as false if there is no owner.
func (l *Limiter) owner(id quota.ShareID) (m epoch.Member, ok, known bool) {
	l.zones.WithView(func(v zones.View) {
		var e epoch.Epoch
		if e, ok = v.State.Current(id.Zone); ok {
			m = quota.OwnerOf(id)(e)
		}
		known = ok || v.State.HasReachedEnd()
	})
	return m, ok, known
}

// exchange sends a borrow request to a peer and processes the reply.
func (l *Limiter) exchange(ctx context.Context, p *pool, addr string, req quota.BorrowRequest) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	reply, err := l.peers.Borrow(ctx, addr, req)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.quota.HandleFailure(req.Seq, now)
		p.wakeWaiters()
		return
	}
	l.metrics.Add(metric.TokensBorrowed, milliTokens(reply.Grant))
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

// CollectCapacity is the background task that requests the capacity of other shares for
// the shares that this node holds.
func (l *Limiter) CollectCapacity(ctx context.Context) error {
	t := time.NewTicker(collectInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-l.holder.alone:
		}
		for _, req := range l.holder.capacityRequests(time.Now()) {
			l.collect(ctx, req)
		}
	}
}

// collect sends a capacity request to the owner of its share.
func (l *Limiter) collect(ctx context.Context, req quota.CapacityRequest) {
	m, ok, _ := l.owner(req.ShareID)
	switch {
	case !ok:
	case m.Same(l.zones.Self()):
		l.holder.handleCapacity(req, l.holder.lendCapacity(req))
	default:
		super.Go("capacity request", l.onError, func() { l.requestCapacity(ctx, m.Address, req) })
	}
}

// requestCapacity sends a capacity request to a peer and processes the reply. After an
// error the holder repeats the request when its next one is due.
func (l *Limiter) requestCapacity(ctx context.Context, addr string, req quota.CapacityRequest) {
	ctx, cancel := context.WithTimeout(ctx, quota.CapacityTime)
	defer cancel()
	if reply, err := l.peers.LendCapacity(ctx, addr, req); err == nil {
		l.holder.handleCapacity(req, reply)
	}
}

// LendCapacity handles a capacity request of a peer.
func (l *Limiter) LendCapacity(req quota.CapacityRequest) quota.CapacityReply {
	return l.holder.lendCapacity(req)
}

// Release gives up the shares of this node, which shuts down, so that the holders of other
// shares serve its customers.
func (l *Limiter) Release(ctx context.Context) {
	for _, req := range l.holder.release(time.Now()) {
		l.collect(ctx, req)
	}
}

// MaintainPools is the background task that lets pools report used tokens and return
// tokens, and that removes idle pools. It blocks while there are no pools.
func (l *Limiter) MaintainPools(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.poolCreated:
		}
		for super.Pause(ctx, maintenanceInterval) && l.maintainAll(ctx, time.Now()) {
		}
	}
}

// maintainAll maintains all pools and reports whether there were any.
func (l *Limiter) maintainAll(ctx context.Context, now time.Time) bool {
	pools := l.allPools()
	for _, p := range pools {
		l.maintain(ctx, p, now)
	}
	return len(pools) > 0
}

// allPools returns the pools of all accounts.
func (l *Limiter) allPools() []*pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pool, 0, len(l.pools))
	for _, p := range l.pools {
		out = append(out, p)
	}
	return out
}

// maintain sends the messages of a pool that are due, counts its expired tokens and
// removes the pool if it is idle.
func (l *Limiter) maintain(ctx context.Context, p *pool, now time.Time) {
	p.mu.Lock()
	l.send(ctx, p, now)
	if n := milliTokens(p.quota.CollectExpired()); n > 0 {
		l.metrics.Add(metric.TokensExpired, n)
	}
	idle := p.waiting == 0 && p.quota.Idle(now)
	p.mu.Unlock()
	if idle {
		l.removeIdle(p, now)
	}
}

// removeIdle removes a pool if it is still idle. The next pool of the account continues
// its request numbers, because holders ignore numbers that are not above those seen.
func (l *Limiter) removeIdle(p *pool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == 0 && p.quota.Idle(now) && l.pools[p.account] == p {
		p.removed = true
		l.lastSeqs[p.account] = p.quota.Seq()
		delete(l.pools, p.account)
	}
}
