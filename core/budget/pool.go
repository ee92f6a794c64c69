package budget

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// ProgressBytes is the number of bytes that count as progress. Fewer don't, so that a
	// caller can't keep its memory by sending a byte a second.
	ProgressBytes = 4 << 10
	// StallTime is the time without progress after which a connection gives way.
	StallTime = time.Second
	// SmallBytes is what a connection may hold, beyond its own cost, while it makes progress
	// without giving way to others. It is the largest head that the settings permit.
	SmallBytes = 64 << 10

	// Bodies find room up to bodyParts of 8 parts, heads and requests up to highParts, and new
	// connections up to all of them, so that bodies leave room for ordinary requests. Beyond
	// its part each makes stalled accounts give way, until one part is free.
	bodyParts = 5
	highParts = 7
	parts     = 8

	// scanInterval is the least time between two searches for accounts that give way after one
	// that found none. Each search visits all accounts.
	scanInterval = 20 * time.Millisecond
)

// Pool is a number of bytes that is shared by accounts. It is safe for concurrent use.
type Pool struct {
	limit       int64
	maxAccounts int

	mu       sync.Mutex
	accounts map[*Account]struct{}
	held     int64 // bytes of all accounts
	leaving  int64 // of these, bytes of evicted accounts
	gone     int   // number of evicted accounts
	scanned  scans
	stats    Stats
}

// scans holds the times of the last searches that found no account to evict. Searches for bodies
// consider fewer accounts, so one of them says nothing about requests.
type scans struct {
	bodies, requests time.Time
}

// isRecent reports whether a search for r was made less than scanInterval before.
func (s *scans) isRecent(r need, now time.Time) bool {
	last := s.requests
	if r.stalledOnly && s.bodies.After(last) {
		last = s.bodies
	}
	return now.Sub(last) < scanInterval && now.After(last)
}

// record records a search for r that found no account.
func (s *scans) record(r need, now time.Time) {
	if r.stalledOnly {
		s.bodies = now
	} else {
		s.requests = now
	}
}

// Stats counts what a pool did. Bytes and Accounts are current, the other fields grow.
type Stats struct {
	Bytes    int64 // in use
	Accounts int   // open
	Evicted  int64 // accounts that had to give way
	Refused  int64 // requests for bytes that were refused
}

// Account is the part of a pool that one connection uses. All methods do nothing and permit
// everything on a nil Account. It is safe for concurrent use.
type Account struct {
	pool  *Pool
	base  int64
	evict func()

	// The fields below are guarded by Pool.mu.
	held     int64 // includes base
	customer string
	pins     int       // requests that wait for this process and not for the caller
	received int64     // bytes since the last progress
	progress time.Time // of the last progress
	evicted  bool
	closed   bool
}

// New returns a pool of limit bytes for at most maxAccounts accounts; 0 means no limit of accounts.
func New(limit int64, maxAccounts int) *Pool {
	return &Pool{limit: limit, maxAccounts: maxAccounts, accounts: map[*Account]struct{}{}}
}

// Limit returns the size of the pool in bytes.
func (p *Pool) Limit() int64 { return p.limit }

// Stats returns the counts of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Bytes, s.Accounts = p.held, len(p.accounts)
	return s
}

// Open returns an account that holds base bytes, or false if the pool has no room for it. The
// function evict is called at most once, without a lock, when the account has to give way; the
// owner must then close it soon.
func (p *Pool) Open(base int64, evict func(), now time.Time) (*Account, bool) {
	a := &Account{pool: p, base: base, held: base, evict: evict, progress: now}
	p.mu.Lock()
	victims := p.makeRoom(need{bytes: base, accounts: 1, most: p.part(highParts)}, now)
	ok := p.held+base <= p.limit && (p.maxAccounts == 0 || len(p.accounts) < p.maxAccounts)
	if ok {
		p.accounts[a] = struct{}{}
		p.held += base
	} else {
		p.stats.Refused++
	}
	p.mu.Unlock()
	evictAll(victims)
	return a, ok
}

// Grow takes n more bytes for a head or a request and reports whether the pool had room for them.
func (a *Account) Grow(n int64, now time.Time) bool {
	if a == nil || n <= 0 {
		return true
	}
	return a.grow(need{bytes: n, most: a.pool.part(highParts), requester: a}, now)
}

// GrowBody takes n more bytes for a body and reports whether the pool had room for them. Only
// stalled accounts give way to it, since a body can be streamed instead, and idle ones only if that
// frees a part of the pool.
func (a *Account) GrowBody(n int64, now time.Time) bool {
	if a == nil || n <= 0 {
		return true
	}
	return a.grow(need{bytes: n, most: a.pool.part(bodyParts), stalledOnly: true, requester: a}, now)
}

func (a *Account) grow(r need, now time.Time) bool {
	p, n := a.pool, r.bytes
	p.mu.Lock()
	victims := p.makeRoom(r, now)
	ok := !a.closed && !a.evicted && p.held+n <= r.most
	if ok {
		a.held += n
		p.held += n
	} else {
		p.stats.Refused++
	}
	p.mu.Unlock()
	evictAll(victims)
	return ok
}

// Shrink returns n bytes that Grow took.
func (a *Account) Shrink(n int64) {
	if a == nil || n <= 0 {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.closed {
		a.release(n)
	}
}

// release returns n bytes. The caller holds Pool.mu.
func (a *Account) release(n int64) {
	a.held -= n
	a.pool.held -= n
	if a.evicted {
		a.pool.leaving -= n
	}
}

// Receive records that n bytes were received.
func (a *Account) Receive(n int, now time.Time) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.received += int64(n); a.received >= ProgressBytes {
		a.received, a.progress = 0, now
	}
}

// Progress records that a request began or ended.
func (a *Account) Progress(now time.Time) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.received, a.progress = 0, now
}

// Pin records that the caller has sent all of a request, so that the account doesn't give way
// until Unpin is called.
func (a *Account) Pin() { a.pin(1) }

// Unpin undoes Pin.
func (a *Account) Unpin() { a.pin(-1) }

func (a *Account) pin(n int) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.pins += n
}

// Take takes n more bytes even if the pool has no room for them, and reports whether it had.
func (a *Account) Take(n int64, now time.Time) bool {
	if a == nil || n <= 0 {
		return true
	}
	p := a.pool
	p.mu.Lock()
	victims := p.makeRoom(need{bytes: n, most: p.part(highParts), requester: a}, now)
	if !a.closed {
		a.release(-n)
	}
	ok := p.held-p.leaving <= p.limit
	p.mu.Unlock()
	evictAll(victims)
	return ok
}

// Full reports whether the pool is used beyond its reserve.
func (a *Account) Full() bool {
	if a == nil {
		return false
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.pool.held-a.pool.leaving > a.pool.part(highParts)
}

// Evicted reports whether the account had to give way. Grow then returns false.
func (a *Account) Evicted() bool {
	if a == nil {
		return false
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.evicted
}

// SetCustomer sets the customer for which the account holds its bytes.
func (a *Account) SetCustomer(name string) {
	if a == nil {
		return
	}
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.customer = name
}

// Close returns all bytes of the account.
func (a *Account) Close() {
	if a == nil {
		return
	}
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.closed {
		return
	}
	a.release(a.held)
	if a.evicted {
		p.gone--
	}
	a.closed = true
	delete(p.accounts, a)
}

// need is a request for memory.
type need struct {
	bytes       int64
	accounts    int
	most        int64    // bytes that may be in use with it
	stalledOnly bool     // only stalled accounts give way
	requester   *Account // never gives way; may be nil
}

// part returns the given number of parts of the pool in bytes.
func (p *Pool) part(n int64) int64 { return p.limit / parts * n }

// makeRoom returns the accounts that give way if what r needs doesn't fit. They are marked as
// evicted. The caller holds mu.
func (p *Pool) makeRoom(r need, now time.Time) (victims []*Account) {
	full := p.maxAccounts > 0 && len(p.accounts)-p.gone+r.accounts > p.maxAccounts
	if p.held-p.leaving+r.bytes <= r.most && !full {
		return nil
	}
	if p.scanned.isRecent(r, now) {
		return nil
	}
	open := len(p.accounts) - p.gone
	if full {
		open -= max(1, p.maxAccounts/parts)
	}
	stalled := p.stalled(r.requester, now)
	if r.stalledOnly && !p.freesPart(stalled, r) {
		stalled = slices.DeleteFunc(stalled, (*Account).isIdle)
	}
	for _, a := range stalled {
		if p.held-p.leaving+r.bytes <= r.most-p.part(1) && len(p.accounts)-p.gone <= open {
			break
		}
		victims = append(victims, p.mark(a))
	}
	for !r.stalledOnly && p.held-p.leaving+r.bytes > r.most {
		a := p.largest(r.requester)
		if a == nil {
			break
		}
		victims = append(victims, p.mark(a))
	}
	if len(victims) == 0 {
		p.scanned.record(r, now)
	}
	return victims
}

// freesPart reports whether one part is free for r once the given accounts are closed. Otherwise
// others use the memory, and closing idle connections would not help for long. The caller holds mu.
func (p *Pool) freesPart(accounts []*Account, r need) bool {
	left := p.held - p.leaving
	for _, a := range accounts {
		left -= a.held
	}
	return left+r.bytes <= r.most-p.part(1)
}

// isIdle reports whether the account holds nothing beyond its own cost. The caller holds
// Pool.mu.
func (a *Account) isIdle() bool { return a.held <= a.base }

// mark marks an account as evicted. The caller holds mu.
func (p *Pool) mark(a *Account) *Account {
	a.evicted = true
	p.leaving += a.held
	p.gone++
	p.stats.Evicted++
	return a
}

// stalled returns the accounts without recent progress: those that hold memory, the longest
// without progress first, and then the idle ones in the same order. The caller holds mu.
func (p *Pool) stalled(requester *Account, now time.Time) []*Account {
	var out []*Account
	for a := range p.accounts {
		if !a.evicted && a.pins == 0 && a != requester && now.Sub(a.progress) >= StallTime {
			out = append(out, a)
		}
	}
	idle := func(a *Account) int {
		if a.isIdle() {
			return 1
		}
		return 0
	}
	slices.SortFunc(out, func(a, b *Account) int { return cmp.Or(idle(a)-idle(b), a.progress.Compare(b.progress)) })
	return out
}

// largest returns the account that holds most of the customer that holds most, among the
// accounts that hold more than SmallBytes. It returns nil if there is none. The caller holds mu.
func (p *Pool) largest(requester *Account) *Account {
	byCustomer := map[string]int64{}
	for a := range p.accounts {
		if !a.evicted {
			byCustomer[a.customer] += a.held
		}
	}
	var most *Account
	for a := range p.accounts {
		if a.evicted || a.pins > 0 || a == requester || a.held <= a.base+SmallBytes {
			continue
		}
		if most == nil || cmp.Or(cmp.Compare(byCustomer[a.customer], byCustomer[most.customer]), cmp.Compare(a.held, most.held)) > 0 {
			most = a
		}
	}
	return most
}

func evictAll(victims []*Account) {
	for _, a := range victims {
		a.evict()
	}
}
