package frame

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// testPeer is an in-memory peer address. It starts a server session for each
// dial and counts the dials. Dials fail while down is set.
type testPeer struct {
	t       testing.TB
	handler Handler
	down    atomic.Bool
	dials   atomic.Int64
	mu      sync.Mutex
	drops   []*atomic.Bool // drop flag of each connection
	servers []*Session
}

var errDown = errors.New("peer is down")

func (f *testPeer) dial(context.Context) (net.Conn, error) {
	f.dials.Add(1)
	if f.down.Load() {
		return nil, errDown
	}
	a, b := net.Pipe()
	drop := new(atomic.Bool)
	go func() {
		s, err := Server(bg, lossyConn{b, drop}, f.handler, named("b")...)
		f.mu.Lock()
		defer f.mu.Unlock()
		if err == nil {
			f.drops = append(f.drops, drop)
			f.servers = append(f.servers, s)
		}
	}()
	return lossyConn{a, drop}, nil
}

// last returns the newest server session and the drop flag of its connection.
func (f *testPeer) last() (*Session, *atomic.Bool) {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.servers) - 1
	return f.servers[n], f.drops[n]
}

// runPoolTest calls run with a new testPeer and a pool that dials it, under the
// virtual clock of synctest.
func runPoolTest(t *testing.T, h Handler, run func(t *testing.T, f *testPeer, p *Pool), opts ...PoolOption) {
	synctest.Test(t, func(t *testing.T) {
		f := &testPeer{t: t, handler: h}
		p, err := NewPool(append([]PoolOption{WithDial(f.dial), WithSession(named("a")...)}, opts...)...)
		assert.NilError(t, err)
		t.Cleanup(func() {
			assert.Check(t, p.Close())
			synctest.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			closeAll(f.servers...)
		})
		run(t, f, p)
	})
}

func waitForEnd(st *Stream) { <-st.Context().Done() }

// Concurrent calls must share one dial. The pool must dial more sessions only
// while many streams are in flight.
func TestPoolSharesSessions(t *testing.T) {
	runPoolTest(t, waitForEnd, func(t *testing.T, f *testPeer, p *Pool) {
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				_, err := p.Open(bg, 1, nil)
				assert.Check(t, err)
			})
		}
		wg.Wait()
		assert.Equal(t, f.dials.Load(), int64(1))
		assert.Equal(t, p.InFlight(), 4)
		for range 20 {
			_, err := p.Open(bg, 1, nil)
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, f.dials.Load(), int64(3))
		for _, s := range p.sessions {
			assert.Equal(t, s.InFlight(), 8)
		}
	}, WithSessions(3, 4))
}

// The pool must replace an unreachable session without waiting for a call, so
// that the next call doesn't wait for a dial.
func TestPoolReplacesSilent(t *testing.T) {
	runPoolTest(t, waitForEnd, func(t *testing.T, f *testPeer, p *Pool) {
		st, err := p.Open(bg, 1, nil)
		assert.NilError(t, err)
		_, drop := f.last()
		drop.Store(true)
		_, err = st.Read(make([]byte, 1))
		assertUnreachable(t, err)
		lost := time.Now()
		_, _ = f.last()
		assert.Equal(t, f.dials.Load(), int64(2))
		_, err = p.Open(bg, 1, nil)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(lost), time.Duration(0))
		assert.Equal(t, f.dials.Load(), int64(2))
	})
}

// While the peer is down, the interval between dials must grow and calls must
// fail immediately. The pool must recover once the peer is up.
func TestPoolBackoff(t *testing.T) {
	runPoolTest(t, waitForEnd, func(t *testing.T, f *testPeer, p *Pool) {
		f.down.Store(true)
		for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(10 * time.Millisecond) {
			before := time.Now()
			_, err := p.Session(bg)
			var de *DialError
			assert.Assert(t, errors.As(err, &de) && errors.Is(err, errDown), "%v", err)
			assert.Assert(t, de.Backoff <= DefaultMaxBackoff)
			assert.Equal(t, time.Since(before), time.Duration(0))
		}
		// 6 dials until the backoff is at its maximum, then one every 1 to 2 s.
		n := f.dials.Load()
		assert.Assert(t, n >= 30 && n <= 70, "%d dials", n)
		f.down.Store(false)
		time.Sleep(DefaultMaxBackoff)
		_, err := p.Open(bg, 1, nil)
		assert.NilError(t, err)
		assert.Equal(t, f.dials.Load(), n+1)
	})
}

// A session that the peer is shutting down must get no new streams, and its
// running streams must not prevent the pool from dialing.
func TestPoolLeavesDraining(t *testing.T) {
	runPoolTest(t, func(st *Stream) {
		time.Sleep(time.Second) // virtual time
		echo(st)
	}, func(t *testing.T, f *testPeer, p *Pool) {
		s, err := p.Session(bg)
		assert.NilError(t, err)
		inFlight := make(chan error, 1)
		go func() { inFlight <- exchange(s, []byte("h"), []byte("body")) }()
		server, _ := f.last()
		go func() { _ = server.Shutdown(bg) }()
		synctest.Wait()
		next, err := p.Session(bg)
		assert.NilError(t, err)
		assert.Assert(t, next != s)
		assert.NilError(t, <-inFlight)
		assert.NilError(t, exchange(next, []byte("h"), []byte("body")))
		<-s.Done()
		assert.NilError(t, p.Shutdown(bg))
		_, err = p.Session(bg)
		assert.Equal(t, err, ErrPoolClosed)
	}, WithSessions(1, 64))
}

// A pool whose sessions are all full must refuse streams immediately and must
// not dial more than MaxSessions.
func TestPoolFull(t *testing.T) {
	runPoolTest(t, waitForEnd, func(t *testing.T, f *testPeer, p *Pool) {
		s, err := p.Session(bg)
		assert.NilError(t, err)
		for range DefaultMaxStreams {
			_, err := s.Open(bg, 1, nil)
			assert.NilError(t, err)
		}
		_, err = p.Open(bg, 1, nil)
		assertReset(t, err, CodeRefused, false)
		assert.Equal(t, f.dials.Load(), int64(1))
	}, WithSessions(1, 64))
}

// A dial that hangs must not block a caller beyond its context, and must not
// block Close.
func TestPoolDialHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, err := NewPool(WithSession(named("a")...), WithDial(func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(bg, time.Second)
		defer cancel()
		_, err = p.Session(ctx)
		assert.Equal(t, err, context.DeadlineExceeded)
		began := time.Now()
		_, err = p.Session(bg)
		assert.Assert(t, errors.As(err, new(*DialError)))
		assert.Equal(t, time.Since(began), DefaultDialTimeout-time.Second)
		assert.NilError(t, p.Close())
	})
}
