package frame

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"dogwoodsill.org/core/ring"
)

// Defaults of PoolOptions.
const (
	DefaultMaxSessions       = 4
	DefaultStreamsPerSession = 64 // streams; above it one writer delays small exchanges
	DefaultMinBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second
	DefaultDialTimeout       = 3 * time.Second
)

// DialFunc connects to the peer address of a pool.
type DialFunc func(ctx context.Context) (net.Conn, error)

// PoolOptions are the parameters of a pool.
type PoolOptions struct {
	Dial              DialFunc // required
	Session           []Option // of each session
	MaxSessions       int      // sessions at the same time
	StreamsPerSession int      // streams on the least busy session above which another one is dialled
	MinBackoff        time.Duration
	MaxBackoff        time.Duration
	DialTimeout       time.Duration // of the connection and the handshake together
	OnDial            func(s *Session, err error)
}

// PoolOption changes PoolOptions.
type PoolOption func(*PoolOptions)

// WithDial sets the function that connects to the peer.
func WithDial(d DialFunc) PoolOption { return func(o *PoolOptions) { o.Dial = d } }

// WithSession adds options of each session.
func WithSession(opts ...Option) PoolOption {
	return func(o *PoolOptions) { o.Session = append(o.Session, opts...) }
}

// WithSessions sets the number of sessions and the number of streams on the
// least busy one above which another one is dialled.
func WithSessions(most, spread int) PoolOption {
	return func(o *PoolOptions) { o.MaxSessions, o.StreamsPerSession = most, spread }
}

// WithBackoff sets the range of the wait after failed dials. It doubles with
// each failure; each wait is drawn from its upper half.
func WithBackoff(least, most time.Duration) PoolOption {
	return func(o *PoolOptions) { o.MinBackoff, o.MaxBackoff = least, most }
}

// WithDialTimeout limits one dial including the handshake.
func WithDialTimeout(d time.Duration) PoolOption {
	return func(o *PoolOptions) { o.DialTimeout = d }
}

// WithOnDial calls f after each dial with its session or error.
func WithOnDial(f func(s *Session, err error)) PoolOption {
	return func(o *PoolOptions) { o.OnDial = f }
}

// DialError is the failure of the last dial of a pool. Until the end of the
// backoff each call that needs a new session gets it at once.
type DialError struct {
	Failures int           // in a row
	Backoff  time.Duration // until the next dial
	Cause    error
}

// Error implements error.
func (e *DialError) Error() string { return "frame: no session with the peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ErrPoolClosed is returned after Close or Shutdown.
var ErrPoolClosed = errors.New("frame: pool is closed")

// Pool keeps sessions with one peer address. It dials on demand: one session,
// and up to MaxSessions while many streams are in flight. It replaces a silent
// session at once. A Pool is safe for concurrent use.
type Pool struct {
	opt    PoolOptions
	want   *ring.Queue[struct{}]
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup

	mu       sync.Mutex // guards what follows
	sessions []*Session
	closed   bool
	dialling bool
	changed  chan struct{} // closed and replaced after each dial
	failure  *DialError    // of the last dial, nil after a success
	retryAt  time.Time
}

// NewPool returns a pool that hasn't dialled yet.
func NewPool(opts ...PoolOption) (*Pool, error) {
	o := PoolOptions{
		MaxSessions: DefaultMaxSessions, StreamsPerSession: DefaultStreamsPerSession,
		MinBackoff: DefaultMinBackoff, MaxBackoff: DefaultMaxBackoff, DialTimeout: DefaultDialTimeout,
	}
	for _, f := range opts {
		f(&o)
	}
	if o.Dial == nil || o.MaxSessions < 1 || o.StreamsPerSession < 1 || o.MinBackoff <= 0 || o.MaxBackoff < o.MinBackoff {
		return nil, errors.New("frame: pool options out of range")
	}
	if _, err := newOptions(o.Session); err != nil {
		return nil, err
	}
	p := &Pool{opt: o, want: ring.New[struct{}](1), changed: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.loops.Go(func() {
		for {
			if _, err := p.want.Pop(p.ctx); err != nil {
				return
			}
			p.dialOne()
		}
	})
	return p, nil
}

// Session returns the least busy usable session. Without one it waits for a
// dial until ctx ends, or returns a *DialError while the pool backs off.
func (p *Pool) Session(ctx context.Context) (*Session, error) {
	for {
		s, changed, err := p.pick()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Open opens a stream on the least busy session. See Session.Open.
func (p *Pool) Open(ctx context.Context, kind uint8, head []byte) (*Stream, error) {
	for {
		s, err := p.Session(ctx)
		if err != nil {
			return nil, err
		}
		st, err := s.Open(ctx, kind, head)
		if err == nil || s.Usable() || ctx.Err() != nil {
			return st, err
		}
		// The session ended or got full meanwhile; nothing was sent.
	}
}

// InFlight returns the number of unfinished streams on all sessions.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.sessions {
		n += s.InFlight()
	}
	return n
}

// Close ends all sessions at once.
func (p *Pool) Close() error {
	for _, s := range p.stop() {
		_ = s.Close()
	}
	p.loops.Wait()
	return nil
}

// Shutdown shuts all sessions down side by side. See Session.Shutdown.
func (p *Pool) Shutdown(ctx context.Context) error {
	sessions := p.stop()
	errs := make([]error, len(sessions))
	var wg sync.WaitGroup
	for i, s := range sessions {
		wg.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	wg.Wait()
	p.loops.Wait()
	return errors.Join(errs...)
}

func (p *Pool) stop() []*Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	p.announce()
	return p.sessions
}

// announce wakes those that wait for a dial. p.mu is held.
func (p *Pool) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// pick returns a usable session or an error, or a channel to wait for.
func (p *Pool) pick() (*Session, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrPoolClosed
	}
	best, load, serving := p.leastBusy()
	switch {
	case best != nil && (load < p.opt.StreamsPerSession || serving >= p.opt.MaxSessions):
		return best, nil, nil
	case best != nil:
		_ = p.request()
		return best, nil, nil
	case serving >= p.opt.MaxSessions:
		return nil, nil, &ResetError{Code: CodeRefused}
	}
	return nil, p.changed, p.request()
}

// leastBusy drops ended sessions and returns the least busy usable one, its
// streams, and the number of sessions that neither side is shutting down.
func (p *Pool) leastBusy() (best *Session, load, serving int) {
	p.sessions = slices.DeleteFunc(p.sessions, func(s *Session) bool {
		st := s.state()
		if st.serving {
			serving++
		}
		if st.usable && (best == nil || st.streams < load) {
			best, load = s, st.streams
		}
		return st.ended
	})
	return best, load, serving
}

// request asks for a dial unless one is under way. p.mu is held.
func (p *Pool) request() error {
	if p.dialling {
		return nil
	}
	if p.failure != nil {
		if wait := time.Until(p.retryAt); wait > 0 {
			return &DialError{Failures: p.failure.Failures, Backoff: wait, Cause: p.failure.Cause}
		}
	}
	p.dialling = true
	p.want.TryPush(struct{}{})
	return nil
}

func (p *Pool) dialOne() {
	s, err := p.dial()
	if p.opt.OnDial != nil {
		p.opt.OnDial(s, err)
	}
	if !p.adopt(s, err) {
		_ = s.Close()
	}
}

// adopt notes the result of a dial. It reports false if the pool was closed
// meanwhile and s is not needed.
func (p *Pool) adopt(s *Session, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = false
	switch {
	case err != nil:
		p.backOff(err)
	case p.closed:
		return false
	default:
		p.failure = nil
		p.sessions = append(p.sessions, s)
	}
	p.announce()
	return true
}

// dial connects and performs the handshake.
func (p *Pool) dial() (*Session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.opt.DialTimeout)
	defer cancel()
	conn, err := p.opt.Dial(ctx)
	if err != nil {
		return nil, err
	}
	return Client(ctx, conn, p.sessionOptions()...)
}

// sessionOptions adds the replacement of a silent session to the options.
func (p *Pool) sessionOptions() []Option {
	o, _ := newOptions(p.opt.Session)
	return append(p.opt.Session[:len(p.opt.Session):len(p.opt.Session)], WithOnClose(func(s *Session, err error) {
		p.replace(err)
		if o.OnClose != nil {
			o.OnClose(s, err)
		}
	}))
}

// replace dials at once if a session became silent.
func (p *Pool) replace(err error) {
	var se *SessionError
	if !errors.As(err, &se) || !se.Unreachable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		_ = p.request()
	}
}

// backOff notes a failed dial. p.mu is held.
func (p *Pool) backOff(err error) {
	n := 1
	if p.failure != nil {
		n += p.failure.Failures
	}
	wait := p.opt.MinBackoff
	for i := 1; i < n && wait < p.opt.MaxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, p.opt.MaxBackoff)
	wait -= rand.N(wait/2 + 1)
	p.failure = &DialError{Failures: n, Backoff: wait, Cause: err}
	p.retryAt = time.Now().Add(wait)
}
