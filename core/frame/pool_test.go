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

// farSide is a peer address in memory. It serves each dial by a new session
// and counts the dials; while down is set they fail.
type farSide struct {
	t       testing.TB
	handler Handler
	down    atomic.Bool
	dials   atomic.Int64
	mu      sync.Mutex
	shut    []*atomic.Bool // one for each connection
	servers []*Session
}

var errDown = errors.New("peer is down")

func (f *farSide) dial(context.Context) (net.Conn, error) {
	f.dials.Add(1)
	if f.down.Load() {
		return nil, errDown
	}
	a, b := net.Pipe()
	shut := new(atomic.Bool)
	go func() {
		s, err := Server(bg, valve{b, shut}, f.handler, named("b")...)
		f.mu.Lock()
		defer f.mu.Unlock()
		if err == nil {
			f.shut = append(f.shut, shut)
			f.servers = append(f.servers, s)
		}
	}()
	return valve{a, shut}, nil
}

// last returns the newest session and its valve.
func (f *farSide) last() (*Session, *atomic.Bool) {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.servers) - 1
	return f.servers[n], f.shut[n]
}

// poolTest runs f in virtual time with a pool to a far side.
func poolTest(t *testing.T, h Handler, run func(t *testing.T, f *farSide, p *Pool), opts ...PoolOption) {
	synctest.Test(t, func(t *testing.T) {
		f := &farSide{t: t, handler: h}
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

func wait(st *Stream) { <-st.Context().Done() }

// Concurrent calls must share one dial, and further sessions come up only while
// many streams are in flight.
func TestPoolSharesSessions(t *testing.T) {
	poolTest(t, wait, func(t *testing.T, f *farSide, p *Pool) {
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

// A session that became silent must be replaced without a call that asks for
// one, so that the next call doesn't wait for a dial.
func TestPoolReplacesSilent(t *testing.T) {
	poolTest(t, wait, func(t *testing.T, f *farSide, p *Pool) {
		st, err := p.Open(bg, 1, nil)
		assert.NilError(t, err)
		_, shut := f.last()
		shut.Store(true)
		_, err = st.Read(make([]byte, 1))
		assertSilent(t, err)
		lost := time.Now()
		_, _ = f.last()
		assert.Equal(t, f.dials.Load(), int64(2))
		_, err = p.Open(bg, 1, nil)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(lost), time.Duration(0))
		assert.Equal(t, f.dials.Load(), int64(2))
	})
}

// A peer that is down must be dialled ever more rarely, calls must fail at once
// during the backoff, and the pool must recover.
func TestPoolBackoff(t *testing.T) {
	poolTest(t, wait, func(t *testing.T, f *farSide, p *Pool) {
		f.down.Store(true)
		for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(10 * time.Millisecond) {
			before := time.Now()
			_, err := p.Session(bg)
			var de *DialError
			assert.Assert(t, errors.As(err, &de) && errors.Is(err, errDown), "%v", err)
			assert.Assert(t, de.Backoff <= DefaultMaxBackoff)
			assert.Equal(t, time.Since(before), time.Duration(0))
		}
		// 6 dials until the backoff is at its maximum, then one in 1 to 2 s.
		n := f.dials.Load()
		assert.Assert(t, n >= 30 && n <= 70, "%d dials", n)
		f.down.Store(false)
		time.Sleep(DefaultMaxBackoff)
		_, err := p.Open(bg, 1, nil)
		assert.NilError(t, err)
		assert.Equal(t, f.dials.Load(), n+1)
	})
}

// A session that the peer shuts down must get no new streams, and its running
// ones must not keep the pool from dialling.
func TestPoolLeavesDraining(t *testing.T) {
	poolTest(t, func(st *Stream) {
		time.Sleep(time.Second) // virtual
		echo(st)
	}, func(t *testing.T, f *farSide, p *Pool) {
		s, err := p.Session(bg)
		assert.NilError(t, err)
		running := make(chan error, 1)
		go func() { running <- exchange(s, []byte("h"), []byte("body")) }()
		far, _ := f.last()
		go func() { _ = far.Shutdown(bg) }()
		synctest.Wait()
		next, err := p.Session(bg)
		assert.NilError(t, err)
		assert.Assert(t, next != s)
		assert.NilError(t, <-running)
		assert.NilError(t, exchange(next, []byte("h"), []byte("body")))
		<-s.Done()
		assert.NilError(t, p.Shutdown(bg))
		_, err = p.Session(bg)
		assert.Equal(t, err, ErrPoolClosed)
	}, WithSessions(1, 64))
}

// A full pool must refuse at once instead of dialling beyond its limit.
func TestPoolFull(t *testing.T) {
	poolTest(t, wait, func(t *testing.T, f *farSide, p *Pool) {
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

// A dial that hangs must not outlive the caller's context or the pool.
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
