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

// Default values of PoolOptions.
const (
	DefaultMaxSessions       = 4
	DefaultStreamsPerSession = 64 // with more streams, small exchanges wait for the session's single writer
	DefaultMinBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second
	DefaultDialTimeout       = 3 * time.Second
)

// DialFunc connects to the peer address of a pool.
type DialFunc func(ctx context.Context) (net.Conn, error)

// PoolOptions configures a Pool.
type PoolOptions struct {
	Dial              DialFunc // required
	Session           []Option // options of every session
	MaxSessions       int      // maximum concurrent sessions
	StreamsPerSession int      // another session is dialed when each session has this many streams
	MinBackoff        time.Duration
	MaxBackoff        time.Duration
	DialTimeout       time.Duration // covers the connection and the handshake
	OnDial            func(s *Session, err error)
}

// PoolOption sets a field of PoolOptions.
type PoolOption func(*PoolOptions)

// WithDial sets the function that connects to the peer.
func WithDial(d DialFunc) PoolOption { return func(o *PoolOptions) { o.Dial = d } }

// WithSession appends options that apply to every session.
func WithSession(opts ...Option) PoolOption {
	return func(o *PoolOptions) { o.Session = append(o.Session, opts...) }
}

// WithSessions sets the maximum number of sessions and the number of streams on
// the least busy session at which the pool dials another one.
func WithSessions(maxSessions, streamsPerSession int) PoolOption {
	return func(o *PoolOptions) { o.MaxSessions, o.StreamsPerSession = maxSessions, streamsPerSession }
}

// WithBackoff sets the bounds of the backoff after failed dials. The backoff
// doubles with each consecutive failure, and each wait is drawn at random from
// the upper half of the current value.
func WithBackoff(minBackoff, maxBackoff time.Duration) PoolOption {
	return func(o *PoolOptions) { o.MinBackoff, o.MaxBackoff = minBackoff, maxBackoff }
}

// WithDialTimeout limits the duration of a dial including the handshake.
func WithDialTimeout(d time.Duration) PoolOption {
	return func(o *PoolOptions) { o.DialTimeout = d }
}

// WithOnDial sets a function that is called after each dial with the new
// session or the error.
func WithOnDial(f func(s *Session, err error)) PoolOption {
	return func(o *PoolOptions) { o.OnDial = f }
}

// DialError reports the failure of the last dial of a pool. Until the backoff
// has elapsed, calls that need a new session fail with it immediately.
type DialError struct {
	Failures int           // number of consecutive failures
	Backoff  time.Duration // time until the next dial
	Cause    error
}

// Error implements error.
func (e *DialError) Error() string { return "frame: no session with the peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ErrPoolClosed is returned by Session and Open after Close or Shutdown.
var ErrPoolClosed = errors.New("frame: pool is closed")

// Pool maintains sessions with one peer address. It dials on demand, and dials
// further sessions, up to MaxSessions, while each session has StreamsPerSession
// streams. Sessions stay open until they fail or are shut down. When a session
// ends because its peer is unreachable, the pool dials a new one at once unless
// a backoff is running. A Pool is safe for concurrent use.
type Pool struct {
	opt          PoolOptions
	dialRequests *ring.Queue[struct{}]
	ctx          context.Context
	cancel       context.CancelFunc
	dialLoop     sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	sessions    []*Session
	closed      bool
	dialing     bool
	dialDone    chan struct{} // closed and replaced after each dial
	lastFailure *DialError    // failure of the last dial; nil after a success
	retryAt     time.Time
}

// NewPool returns a pool without sessions. The first use dials.
func NewPool(opts ...PoolOption) (*Pool, error) {
	o := PoolOptions{
		MaxSessions: DefaultMaxSessions, StreamsPerSession: DefaultStreamsPerSession,
		MinBackoff: DefaultMinBackoff, MaxBackoff: DefaultMaxBackoff, DialTimeout: DefaultDialTimeout,
	}
	for _, f := range opts {
		f(&o)
	}
	if o.Dial == nil || o.MaxSessions < 1 || o.StreamsPerSession < 1 || o.MinBackoff <= 0 || o.MaxBackoff < o.MinBackoff {
		return nil, errors.New("frame: pool options: Dial is missing or a limit is out of range")
	}
	if _, err := newOptions(o.Session); err != nil {
		return nil, err
	}
	p := &Pool{opt: o, dialRequests: ring.New[struct{}](1), dialDone: make(chan struct{})}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.dialLoop.Go(func() {
		for {
			if _, err := p.dialRequests.Pop(p.ctx); err != nil {
				return
			}
			p.dialOne()
		}
	})
	return p, nil
}

// Session returns the usable session with the fewest streams. If there is none,
// it waits for a dial until ctx ends. It returns a *DialError during the
// backoff, a *ResetError with CodeRefused if MaxSessions sessions have reached
// their stream limit, and ErrPoolClosed after Close or Shutdown.
func (p *Pool) Session(ctx context.Context) (*Session, error) {
	for {
		s, dialDone, err := p.pick()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-dialDone:
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
		// The session ended or reached its stream limit after it was picked.
		// Nothing was sent, so another session is safe.
	}
}

// InFlight returns the number of unfinished streams of all sessions.
func (p *Pool) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.sessions {
		n += s.InFlight()
	}
	return n
}

// Close ends all sessions and their streams immediately.
func (p *Pool) Close() error {
	for _, s := range p.stop() {
		_ = s.Close()
	}
	p.dialLoop.Wait()
	return nil
}

// Shutdown shuts down all sessions concurrently. See Session.Shutdown.
func (p *Pool) Shutdown(ctx context.Context) error {
	sessions := p.stop()
	errs := make([]error, len(sessions))
	var wg sync.WaitGroup
	for i, s := range sessions {
		wg.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	wg.Wait()
	p.dialLoop.Wait()
	return errors.Join(errs...)
}

func (p *Pool) stop() []*Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	p.notifyWaiters()
	return p.sessions
}

// notifyWaiters wakes the callers that wait for a dial. p.mu is held.
func (p *Pool) notifyWaiters() {
	close(p.dialDone)
	p.dialDone = make(chan struct{})
}

// pick returns a usable session, an error, or a channel that is closed after
// the next dial.
func (p *Pool) pick() (*Session, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrPoolClosed
	}
	best, streams, serving := p.leastBusy()
	switch {
	case best != nil && (streams < p.opt.StreamsPerSession || serving >= p.opt.MaxSessions):
		return best, nil, nil
	case best != nil:
		_ = p.requestDial()
		return best, nil, nil
	case serving >= p.opt.MaxSessions:
		return nil, nil, &ResetError{Code: CodeRefused}
	}
	return nil, p.dialDone, p.requestDial()
}

// leastBusy removes ended sessions. It returns the usable session with the
// fewest streams, the number of these streams, and the number of sessions that
// neither side is shutting down. p.mu is held.
func (p *Pool) leastBusy() (best *Session, streams, serving int) {
	p.sessions = slices.DeleteFunc(p.sessions, func(s *Session) bool {
		st := s.state()
		if st.serving {
			serving++
		}
		if st.usable && (best == nil || st.streams < streams) {
			best, streams = s, st.streams
		}
		return st.ended
	})
	return best, streams, serving
}

// requestDial starts a dial unless one is in progress. It returns a *DialError
// during the backoff. p.mu is held.
func (p *Pool) requestDial() error {
	if p.dialing {
		return nil
	}
	if p.lastFailure != nil {
		if wait := time.Until(p.retryAt); wait > 0 {
			return &DialError{Failures: p.lastFailure.Failures, Backoff: wait, Cause: p.lastFailure.Cause}
		}
	}
	p.dialing = true
	p.dialRequests.TryPush(struct{}{})
	return nil
}

func (p *Pool) dialOne() {
	s, err := p.dial()
	if p.opt.OnDial != nil {
		p.opt.OnDial(s, err)
	}
	if !p.recordDial(s, err) {
		_ = s.Close()
	}
}

// recordDial records the result of a dial and wakes the waiting callers. It
// returns false if the pool was closed during the dial; the caller then closes
// s.
func (p *Pool) recordDial(s *Session, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
	switch {
	case err != nil:
		p.recordFailure(err)
	case p.closed:
		return false
	default:
		p.lastFailure = nil
		p.sessions = append(p.sessions, s)
	}
	p.notifyWaiters()
	return true
}

// dial connects to the peer and performs the handshake.
func (p *Pool) dial() (*Session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, p.opt.DialTimeout)
	defer cancel()
	conn, err := p.opt.Dial(ctx)
	if err != nil {
		return nil, err
	}
	return Client(ctx, conn, p.sessionOptions()...)
}

// sessionOptions returns the session options with an OnClose function that
// replaces an unreachable session before it calls the configured function.
func (p *Pool) sessionOptions() []Option {
	o, _ := newOptions(p.opt.Session)
	return append(p.opt.Session[:len(p.opt.Session):len(p.opt.Session)], WithOnClose(func(s *Session, err error) {
		p.replaceUnreachable(err)
		if o.OnClose != nil {
			o.OnClose(s, err)
		}
	}))
}

// replaceUnreachable requests a dial if err says that the peer of a session was
// unreachable. During the backoff it does nothing.
func (p *Pool) replaceUnreachable(err error) {
	var se *SessionError
	if !errors.As(err, &se) || !se.Unreachable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		_ = p.requestDial()
	}
}

// recordFailure records a failed dial and computes the backoff. p.mu is held.
func (p *Pool) recordFailure(err error) {
	n := 1
	if p.lastFailure != nil {
		n += p.lastFailure.Failures
	}
	wait := p.opt.MinBackoff
	for i := 1; i < n && wait < p.opt.MaxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, p.opt.MaxBackoff)
	wait -= rand.N(wait/2 + 1)
	p.lastFailure = &DialError{Failures: n, Backoff: wait, Cause: err}
	p.retryAt = time.Now().Add(wait)
}
