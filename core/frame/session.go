package frame

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/ring"
)

// Capacities of the rings between the streams and the writer, in frames. A full
// bulk ring of large data frames is 1 MiB.
const (
	controlRing = 128
	bulkRing    = 32
)

// drainTimeout limits the wait for the peer's end of the connection after a
// shutdown or a failed write.
const drainTimeout = time.Second

// Handler serves one stream that the peer opened, in a goroutine of its own.
// If it returns without CloseWrite, the stream is reset with CodeInternal.
type Handler func(s *Stream)

// Session carries streams over one connection. Its methods are safe for
// concurrent use.
type Session struct {
	conn   net.Conn
	opt    Options
	peer   hello
	client bool

	control *ring.Queue[outFrame] // opens, heads, windows, resets
	bulk    *ring.Queue[outFrame] // data and ends
	kick    *ring.Queue[struct{}] // wakes the writer for notes
	openSem chan struct{}         // held while a stream number is assigned and its open frame queued
	done    chan struct{}
	loops   sync.WaitGroup // reader and writer

	noted  atomic.Bool  // notes isn't empty
	heard  atomic.Int64 // nanoseconds from start to the last received frame
	start  time.Time
	pinged time.Duration // from start; only the watcher uses it

	mu         sync.Mutex // guards what follows and the state of all streams
	err        error
	draining   bool // Shutdown was called
	peerDrains bool // the peer accepts no new streams
	opening    bool // a stream is registered and its open frame not yet queued
	streams    map[uint32]*Stream
	opened     int    // streams in the map that this side opened
	lastOwn    uint32 // last number assigned by this side
	lastPeer   uint32 // last number opened by the peer
	credit     int    // bytes that may be sent on all streams
	unread     int    // received bytes that aren't returned as credit yet
	consumed   int    // of these, bytes that are no longer buffered
	starved    []*Stream
	quiet      chan struct{} // set by Shutdown; closed when no stream is left and the peer opens none
	peerQuiet  bool          // the peer opens no more streams
	flushed    chan struct{} // set by Shutdown; closed when all queues are flushed
	cut        bool          // the session ended before a stream was complete
	notes      notes
}

// Client performs the handshake as the side that dialled conn and returns the
// session. ctx limits only the handshake. It closes conn on failure.
func Client(ctx context.Context, conn net.Conn, opts ...Option) (*Session, error) {
	return newSession(ctx, conn, true, opts)
}

// Server performs the handshake as the side that accepted conn. h serves the
// streams that the peer opens. See Client.
func Server(ctx context.Context, conn net.Conn, h Handler, opts ...Option) (*Session, error) {
	if h != nil {
		opts = append(opts[:len(opts):len(opts)], WithHandler(h))
	}
	return newSession(ctx, conn, false, opts)
}

func newSession(ctx context.Context, conn net.Conn, client bool, opts []Option) (*Session, error) {
	o, err := newOptions(opts)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	conn, peer, err := handshake(ctx, conn, &o, client)
	if err != nil {
		return nil, err
	}
	s := makeSession(conn, o, peer, client)
	s.loops.Go(func() { s.fail(s.readLoop()) })
	s.loops.Go(func() { s.writeEnded(s.writeLoop()) })
	go func() {
		s.watchLoop()
		s.loops.Wait()
		if o.OnClose != nil {
			o.OnClose(s, s.Err())
		}
	}()
	return s, nil
}

// makeSession returns a session whose goroutines don't run yet.
func makeSession(conn net.Conn, o Options, peer hello, client bool) *Session {
	s := &Session{
		conn: conn, opt: o, peer: peer, client: client,
		control: ring.New[outFrame](controlRing),
		bulk:    ring.New[outFrame](bulkRing),
		kick:    ring.New[struct{}](1),
		openSem: make(chan struct{}, 1),
		done:    make(chan struct{}),
		start:   time.Now(),
		streams: make(map[uint32]*Stream),
		credit:  peer.SessionWindow,
	}
	// Client streams have odd numbers, server streams even ones from 2 on.
	if client {
		s.lastOwn, s.lastPeer = ^uint32(0), 0
	} else {
		s.lastOwn, s.lastPeer = 0, ^uint32(0)
	}
	return s
}

// Peer returns the authenticated instance name of the peer.
func (s *Session) Peer() string { return s.peer.Name }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Err returns nil while the session runs and then a *SessionError.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// InFlight returns the number of unfinished streams of both sides.
func (s *Session) InFlight() int {
	return s.state().streams
}

// Usable reports whether Open may succeed: the session runs, neither side is
// shutting down and the peer's stream limit isn't reached.
func (s *Session) Usable() bool {
	return s.state().usable
}

// sessionState is what a pool needs to know of a session.
type sessionState struct {
	ended   bool
	serving bool // neither side is shutting down
	usable  bool // Open may succeed
	streams int  // unfinished
}

func (s *Session) state() sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sessionState{
		ended:   s.err != nil,
		serving: s.err == nil && !s.draining && !s.peerDrains,
		usable:  s.openError() == nil,
		streams: len(s.streams),
	}
}

// Close ends the session and all its streams at once and waits for its
// goroutines.
func (s *Session) Close() error {
	s.fail(&SessionError{Reason: "closed"})
	s.loops.Wait()
	return nil
}

// Shutdown stops new streams of both sides, waits until the running ones have
// finished and their last frames are sent, and closes the session. It returns
// the error of ctx if ctx ends first, or that of the session if it ended
// before a stream was complete; both close it at once. No stream that the peer opened before it
// learnt of the shutdown is lost: it is refused with CodeRefused.
func (s *Session) Shutdown(ctx context.Context) error {
	defer s.Close()
	quiet := s.drain()
	if err := s.await(ctx, quiet); err != nil {
		return err
	}
	s.mu.Lock()
	flushed := make(chan struct{})
	s.flushed = flushed
	s.wakeWriter()
	s.mu.Unlock()
	if err := s.await(ctx, flushed); err != nil {
		return err
	}
	s.awaitPeer(ctx)
	return nil
}

// await waits for c, the end of the session or that of ctx.
func (s *Session) await(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-s.done:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.cut {
			return s.err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain marks the session and tells the peer. It returns a channel that is
// closed when no stream is left and the peer will open none.
func (s *Session) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.quiet = make(chan struct{})
		s.notes.goAway = true
		s.wakeWriter()
	}
	return s.quiet
}

// checkQuiet closes quiet when its condition holds. s.mu is held.
func (s *Session) checkQuiet() {
	if s.draining && s.peerQuiet && len(s.streams) == 0 && s.err == nil {
		select {
		case <-s.quiet:
		default:
			close(s.quiet)
		}
	}
}

// awaitPeer closes the sending direction and waits a short time for the peer to
// close. Closing at once could make the kernel drop the last frames, if frames
// of the peer are still unread.
func (s *Session) awaitPeer(ctx context.Context) {
	c, ok := s.conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_ = s.await(ctx, nil)
}

// writeEnded ends the session some time after the writer failed. The reader
// usually ends it before, when it has read the answers that the peer sent before
// it closed. After a shutdown has closed the sending direction, the writer fails
// at its next frame.
func (s *Session) writeEnded(err error) {
	t := time.NewTimer(drainTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
		s.fail(err)
	}
}

// fail ends the session with the first error it is called with.
func (s *Session) fail(err error) {
	var se *SessionError
	if !errors.As(err, &se) {
		se = &SessionError{Reason: "lost", Cause: err}
		var we *WireError
		switch {
		case errors.As(err, &we):
			se.Reason = "violated by peer"
		case errors.Is(err, io.EOF):
			// io.EOF as a cause would make errors.Is take a cut body for a complete one.
			se.Reason, se.Cause = "closed by peer", io.ErrUnexpectedEOF
		}
	}
	s.mu.Lock()
	if s.err != nil {
		s.mu.Unlock()
		return
	}
	s.err = se
	for _, st := range s.streams {
		s.cut = s.cut || !st.ended || !st.closing
		st.end(se, false)
	}
	s.mu.Unlock()
	close(s.done)
	_ = s.conn.Close()
}

// watchLoop sends pings, closes a silent session and resets streams without
// progress.
func (s *Session) watchLoop() {
	t := time.NewTimer(s.opt.PingInterval)
	defer t.Stop()
	due := s.sinceStart() + s.opt.PingInterval
	for {
		select {
		case <-t.C:
		case <-s.done:
			return
		}
		now := s.sinceStart()
		s.forgivePause(now, due)
		quiet := now - time.Duration(s.heard.Load())
		if quiet >= s.opt.KeepaliveTimeout {
			s.fail(&SessionError{Reason: "silent", Unreachable: true})
			return
		}
		if now-s.pinged >= s.opt.PingInterval {
			s.pinged = now
			s.tick(now)
		}
		wait := min(s.pinged+s.opt.PingInterval-now, s.opt.KeepaliveTimeout-quiet)
		due = now + wait
		t.Reset(wait)
	}
}

// forgivePause restarts the silence limit if the watcher runs late by more than
// a ping interval: then the process was paused, and the frames of that time wait
// in the kernel.
func (s *Session) forgivePause(now, due time.Duration) {
	if now-due > s.opt.PingInterval {
		s.heard.Store(int64(now))
	}
}

// tick notes a ping and resets the streams that made no progress.
func (s *Session) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes.ping = true
	s.wakeWriter()
	for _, st := range s.streams {
		if st.queued && st.patience > 0 && now-st.moved >= st.patience {
			s.notes.resets = append(s.notes.resets, resetNote{st.id, CodeStalled})
			st.end(&ResetError{Code: CodeStalled}, true)
		}
	}
}

// sinceStart returns the time since the session began.
func (s *Session) sinceStart() time.Duration { return time.Since(s.start) }

// Open opens a stream of the given kind with a head of at most MaxHeadBytes.
// When ctx ends before the stream has finished, the stream is reset. Open
// returns a *ResetError with CodeRefused if the peer's limit of streams is
// reached or one side is shutting down, and a *SessionError after the session
// has ended. The caller reads the stream to its end or resets it.
func (s *Session) Open(ctx context.Context, kind uint8, head []byte) (*Stream, error) {
	if len(head) > MaxHeadBytes {
		return nil, wireErrorf("head of %d bytes is too large", len(head))
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	select {
	case s.openSem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	st, err := s.register(ctx, kind)
	if err == nil {
		f := newOutFrame(TypeOpen, st.id, kind, head)
		err = st.opened(ctx, s.control.TryPush(f) || s.control.Push(st.ctx.Done(), f))
	}
	<-s.openSem
	if err != nil {
		return nil, err
	}
	if ctx.Done() != nil {
		st.watch(ctx)
	}
	return st, nil
}

// register assigns the next number to a new stream.
func (s *Session) register(ctx context.Context, kind uint8) (*Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.openError(); err != nil {
		return nil, err
	}
	if s.lastOwn != ^uint32(0) && s.lastOwn+2 < s.lastOwn {
		return nil, &SessionError{Reason: "has used all stream numbers"}
	}
	s.lastOwn += 2
	st := newStream(ctx, s, s.lastOwn, kind, true)
	s.streams[st.id] = st
	s.opened++
	s.opening = true
	return st, nil
}

// openError returns why no stream can be opened, or nil. s.mu is held.
func (s *Session) openError() error {
	switch {
	case s.err != nil:
		return s.err
	case s.draining || s.peerDrains || s.opened >= s.peer.MaxStreams:
		return &ResetError{Code: CodeRefused}
	}
	return nil
}

// remove drops a finished stream. s.mu is held.
func (s *Session) remove(st *Stream) {
	delete(s.streams, st.id)
	if st.local {
		s.opened--
	}
	s.checkQuiet()
}
