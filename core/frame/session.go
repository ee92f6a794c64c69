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
	"dogwoodsill.org/core/super"
)

// Capacities, in frames, of the queues between the streams and the writer. A
// bulk queue full of data frames of maximum size holds 1 MiB.
const (
	controlQueueFrames = 128
	bulkQueueFrames    = 32
)

// peerCloseTimeout limits how long a session waits for the peer to close the
// connection after a shutdown or a failed write.
const peerCloseTimeout = time.Second

// Handler serves one stream that the peer opened. It runs in its own goroutine.
// If it returns without calling CloseWrite, the stream is reset with
// CodeInternal.
type Handler func(s *Stream)

// Session multiplexes streams over one connection. Its methods are safe for
// concurrent use.
type Session struct {
	conn   net.Conn
	opt    Options
	peer   hello
	client bool

	control        *ring.Queue[outFrame] // open, head, window and reset frames
	bulk           *ring.Queue[outFrame] // data and end frames, and resets with CodeDone
	wake           *ring.Queue[struct{}] // wakes the writer when frames are pending
	openSem        chan struct{}         // held while a stream number is assigned and its open frame queued
	done           chan struct{}
	readWriteLoops sync.WaitGroup // read and write goroutines

	hasPending   atomic.Bool  // pending has frames to send
	lastReceived atomic.Int64 // time of the last received frame in nanoseconds since start
	start        time.Time
	lastPing     time.Duration // since start; used only by watchLoop

	mu           sync.Mutex // guards the fields below and the state of all streams
	err          error
	draining     bool // Shutdown was called
	peerDraining bool // the peer accepts no new streams
	opening      bool // a stream is registered but its open frame is not queued yet
	streams      map[uint32]*Stream
	localStreams int    // number of unfinished streams that this side opened
	lastLocal    uint32 // last stream number assigned by this side
	lastPeer     uint32 // last stream number opened by the peer
	sendWindow   int    // bytes that this side may send on all streams
	unreported   int    // received bytes not yet reported to the peer as consumed in a window frame
	consumed     int    // of these, bytes that are no longer buffered
	blocked      []*Stream
	drained      chan struct{} // set by Shutdown; closed when no stream is left and the peer opens no more
	goAwayAcked  bool          // the peer confirmed the go-away: it opens no more streams
	flushed      chan struct{} // set by Shutdown; closed when all queued frames are written and flushed
	incomplete   bool          // the session ended before all of its streams were complete
	pending      pendingFrames
}

// Client performs the handshake as the side that dialed conn and returns the
// session. ctx limits only the handshake. Client closes conn on failure.
func Client(ctx context.Context, conn net.Conn, opts ...Option) (*Session, error) {
	return newSession(ctx, conn, true, opts)
}

// Server performs the handshake as the side that accepted conn. h serves the
// streams that the peer opens. As in Client, ctx limits only the handshake, and
// conn is closed on failure.
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
	s.readWriteLoops.Go(func() { s.fail(super.Guard("read loop", s.readLoop)) })
	s.readWriteLoops.Go(func() { s.failAfterWriter(super.Guard("write loop", s.writeLoop)) })
	go func() {
		s.watchLoop()
		s.readWriteLoops.Wait()
		if o.OnClose != nil {
			o.OnClose(s, s.Err())
		}
	}()
	return s, nil
}

// makeSession returns a session without starting its goroutines.
func makeSession(conn net.Conn, o Options, peer hello, client bool) *Session {
	s := &Session{
		conn: conn, opt: o, peer: peer, client: client,
		control:    ring.New[outFrame](controlQueueFrames),
		bulk:       ring.New[outFrame](bulkQueueFrames),
		wake:       ring.New[struct{}](1),
		openSem:    make(chan struct{}, 1),
		done:       make(chan struct{}),
		start:      time.Now(),
		streams:    make(map[uint32]*Stream),
		sendWindow: peer.SessionWindow,
	}
	// Clients open streams 1, 3, 5, ..., servers 2, 4, 6, ... The initial value
	// ^uint32(0) wraps around to 1 at the first stream.
	if client {
		s.lastLocal, s.lastPeer = ^uint32(0), 0
	} else {
		s.lastLocal, s.lastPeer = 0, ^uint32(0)
	}
	return s
}

// Peer returns the instance name of the peer. With TLS the name is verified
// against the peer's certificate; otherwise it is the name sent by a peer that
// knows the fleet secret.
func (s *Session) Peer() string { return s.peer.Name }

// Done returns a channel that is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Err returns nil while the session is running, and a *SessionError after it
// has ended.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// InFlight returns the number of unfinished streams opened by either side.
func (s *Session) InFlight() int {
	return s.state().streams
}

// Usable reports whether Open can succeed: the session is running, neither side
// is shutting down and the peer's stream limit isn't reached. It doesn't
// consider exhausted stream numbers.
func (s *Session) Usable() bool {
	return s.state().usable
}

// sessionState is a snapshot of a session from which a pool selects sessions.
type sessionState struct {
	ended   bool
	serving bool // neither side is shutting down
	usable  bool // Open can succeed
	streams int  // unfinished streams
}

func (s *Session) state() sessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sessionState{
		ended:   s.err != nil,
		serving: s.err == nil && !s.draining && !s.peerDraining,
		usable:  s.openError() == nil,
		streams: len(s.streams),
	}
}

// Close ends the session and all its streams immediately. It waits for the read
// and write goroutines, but not for handlers or OnClose.
func (s *Session) Close() error {
	s.fail(&SessionError{Reason: "closed"})
	s.readWriteLoops.Wait()
	return nil
}

// Shutdown refuses new streams on both sides, waits until the running streams
// have finished and their last frames are sent, and closes the session. It
// closes the session immediately and returns an error if ctx ends first or if
// the session ends before all streams are complete. Streams that the peer opens
// before it learns of the shutdown are reset with CodeRefused.
func (s *Session) Shutdown(ctx context.Context) error {
	defer s.Close()
	drained := s.drain()
	if err := s.await(ctx, drained); err != nil {
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
	s.awaitPeerClose(ctx)
	return nil
}

// await waits until c is closed, the session ends or ctx ends. It returns the
// session error if the session ended with incomplete streams.
func (s *Session) await(ctx context.Context, c <-chan struct{}) error {
	select {
	case <-c:
		return nil
	case <-s.done:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.incomplete {
			return s.err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain starts the shutdown and sends a go-away to the peer. It returns a
// channel that is closed when no stream is left and the peer opens no more.
func (s *Session) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining {
		s.draining = true
		s.drained = make(chan struct{})
		s.pending.goAway = true
		s.wakeWriter()
	}
	return s.drained
}

// checkDrained closes s.drained once no stream is left and the peer opens no
// more. s.mu is held.
func (s *Session) checkDrained() {
	if s.draining && s.goAwayAcked && len(s.streams) == 0 && s.err == nil {
		select {
		case <-s.drained:
		default:
			close(s.drained)
		}
	}
}

// awaitPeerClose closes the sending direction and waits up to peerCloseTimeout
// for the peer to close the connection. If the connection were closed while
// frames of the peer are unread, the kernel could discard the last frames sent.
func (s *Session) awaitPeerClose(ctx context.Context) {
	c, ok := s.conn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	if c.CloseWrite() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCloseTimeout)
	defer cancel()
	// A nil channel is never ready, so this waits for the end of the session or
	// of ctx.
	_ = s.await(ctx, nil)
}

// failAfterWriter ends the session peerCloseTimeout after the writer ended.
// Usually the reader ends the session earlier, after it has read the responses
// that the peer sent before it closed the connection. A write failure is also
// normal after awaitPeerClose has closed the sending direction.
func (s *Session) failAfterWriter(err error) {
	t := time.NewTimer(peerCloseTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
		s.fail(err)
	}
}

// fail ends the session with err. Only the first call has an effect.
func (s *Session) fail(err error) {
	var se *SessionError
	if !errors.As(err, &se) {
		se = &SessionError{Reason: "lost", Cause: err}
		var we *WireError
		switch {
		case errors.As(err, &we):
			se.Reason = "violated by peer"
		case errors.Is(err, io.EOF):
			// With io.EOF as the cause, errors.Is would report a truncated body
			// as complete.
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
		s.incomplete = s.incomplete || !st.endReceived || !st.writeClosed
		st.abort(se, false)
	}
	s.mu.Unlock()
	close(s.done)
	_ = s.conn.Close()
}

// watchLoop sends pings, closes the session if the peer is unreachable and
// resets stalled streams.
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
		s.adjustForPause(now, due)
		idle := now - time.Duration(s.lastReceived.Load())
		if idle >= s.opt.KeepaliveTimeout {
			s.fail(&SessionError{Reason: "silent", Unreachable: true})
			return
		}
		if now-s.lastPing >= s.opt.PingInterval {
			s.lastPing = now
			s.pingAndResetStalled(now)
		}
		wait := min(s.lastPing+s.opt.PingInterval-now, s.opt.KeepaliveTimeout-idle)
		due = now + wait
		t.Reset(wait)
	}
}

// adjustForPause restarts the keepalive timeout if watchLoop wakes up more than
// a ping interval late. In that case the process itself was paused, and frames
// that arrived meanwhile are still in the kernel's buffers.
func (s *Session) adjustForPause(now, due time.Duration) {
	if now-due > s.opt.PingInterval {
		s.lastReceived.Store(int64(now))
	}
}

// pingAndResetStalled requests a ping and resets streams whose progress timeout
// has elapsed.
func (s *Session) pingAndResetStalled(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.ping = true
	s.wakeWriter()
	for _, st := range s.streams {
		if st.active && st.progressTimeout > 0 && now-st.lastProgress >= st.progressTimeout {
			st.resetStalled()
			continue
		}
		if st.holdsMemory(now) {
			st.resetStalled()
		}
	}
}

// sinceStart returns the age of the session.
func (s *Session) sinceStart() time.Duration { return time.Since(s.start) }

// Open opens a stream of the given kind with a head of at most MaxHeadBytes. If
// ctx ends before the stream has finished, the stream is reset. Open returns a
// *ResetError with CodeRefused if the peer's stream limit is reached or one
// side is shutting down, and a *SessionError if the session has ended or has no
// stream numbers left. The caller must read the stream to its end or reset it.
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
		err = st.finishOpen(ctx, s.control.TryPush(f) || s.control.Push(st.ctx.Done(), f))
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

// register adds a new stream and assigns the next stream number to it.
func (s *Session) register(ctx context.Context, kind uint8) (*Stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.openError(); err != nil {
		return nil, err
	}
	if s.lastLocal != ^uint32(0) && s.lastLocal+2 < s.lastLocal {
		return nil, &SessionError{Reason: "has used all stream numbers"}
	}
	s.lastLocal += 2
	st := newStream(ctx, s, s.lastLocal, kind, true)
	s.streams[st.id] = st
	s.localStreams++
	s.opening = true
	return st, nil
}

// openError returns the reason why no stream can be opened, or nil. s.mu is
// held.
func (s *Session) openError() error {
	switch {
	case s.err != nil:
		return s.err
	case s.draining || s.peerDraining || s.localStreams >= s.peer.MaxStreams:
		return &ResetError{Code: CodeRefused}
	}
	return nil
}

// remove removes a finished stream. s.mu is held.
func (s *Session) remove(st *Stream) {
	delete(s.streams, st.id)
	if st.local {
		s.localStreams--
	}
	s.checkDrained()
}
