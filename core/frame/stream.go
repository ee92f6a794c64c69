package frame

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"dogwoodsill.org/core/super"
)

// Stream is a bidirectional exchange on a session. One goroutine may read while
// another one writes, but reads must not be concurrent with each other, nor
// writes.
type Stream struct {
	s      *Session
	id     uint32
	kind   uint8
	local  bool // opened by this side
	head   []byte
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   func() bool // stops watching the context given to Open

	// The fields below are guarded by s.mu.
	readable sync.Cond
	writable sync.Cond

	unread           blockList
	unreadInSession  int  // unread bytes that count against the session window
	consumed         int  // bytes read since the last window frame
	consumedReserved int  // of these, bytes of reserved data
	recvWindow       int  // bytes that the peer may still send
	recvReserve      int  // bytes of reserved data that the peer may still send
	bodyStarted      bool // a data frame was received
	headReceived     bool
	responseHead     []byte // head of the response
	endReceived      bool   // the end frame was received
	trailer          []byte
	readErr          error

	sendWindow  int // bytes that this side may send
	sendReserve int // bytes of reserved data that this side may send
	headSent    bool
	writeClosed bool // CloseWrite was called
	endQueued   bool // the end frame is queued
	writeErr    error
	blocked     bool // listed in s.blocked, waiting for the session window

	active          bool // the open frame is queued or was received
	finished        bool
	lastRead        time.Duration // time of the last read since the start of the session
	lastProgress    time.Duration // time of the last progress since the start of the session
	progressTimeout time.Duration // 0 disables the timeout
}

// newStream returns a stream with full windows. s.mu is held.
func newStream(ctx context.Context, s *Session, id uint32, kind uint8, local bool) *Stream {
	st := &Stream{
		s: s, id: id, kind: kind, local: local,
		recvWindow: s.opt.StreamWindow, recvReserve: streamReserve, sendWindow: s.peer.StreamWindow, sendReserve: streamReserve,
		lastRead: s.sinceStart(), lastProgress: s.sinceStart(), progressTimeout: s.opt.ProgressTimeout,
	}
	st.ctx, st.cancel = context.WithCancelCause(ctx)
	st.readable.L = &s.mu
	st.writable.L = &s.mu
	return st
}

// Kind returns the kind given to Open.
func (st *Stream) Kind() uint8 { return st.kind }

// Head returns the head given to Open.
func (st *Stream) Head() []byte { return st.head }

// Peer returns the instance name of the peer. See Session.Peer.
func (st *Stream) Peer() string { return st.s.Peer() }

// Context returns a context that ends when either side resets the stream, when
// the session ends, when the stream has finished (on the side that opened it)
// or when the handler returns (on the side that serves it). context.Cause
// returns the reason.
func (st *Stream) Context() context.Context { return st.ctx }

// SetProgressTimeout overrides the progress timeout of the session for this
// stream. Zero disables it.
func (st *Stream) SetProgressTimeout(d time.Duration) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	st.progressTimeout = d
	st.lastProgress = st.s.sinceStart()
}

// watch resets the stream when ctx ends.
func (st *Stream) watch(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { st.Reset(CodeCanceled) })
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	st.stop = stop
	if st.finished {
		stop()
	}
}

// finishOpen records whether the open frame was queued. If it wasn't,
// finishOpen removes the stream and returns the reason.
func (st *Stream) finishOpen(ctx context.Context, queued bool) error {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = false
	s.confirmGoAway()
	st.active = queued
	if queued {
		return nil
	}
	err := st.readErr
	if err == nil {
		err = ctx.Err()
	}
	st.abort(&ResetError{Code: CodeCanceled}, true)
	return err
}

// serve runs the handler and then ends the stream if the handler didn't.
func (st *Stream) serve(h Handler) {
	defer st.finishHandler()
	err := super.Guard("stream handler", func() error {
		h(st)
		return nil
	})
	if err != nil {
		st.Reset(CodeInternal)
		st.s.opt.OnPanic(err)
	}
}

func (st *Stream) finishHandler() {
	s := st.s
	s.mu.Lock()
	clean := st.endQueued && st.writeErr == nil
	requestUnfinished := clean && !st.finished
	if requestUnfinished {
		st.abort(&ResetError{Code: CodeDone}, true)
	}
	if clean {
		st.dropUnread() // of a session that ended before the handler read it
	}
	s.mu.Unlock()
	switch {
	case requestUnfinished:
		// The reset uses the bulk queue, so that it can't overtake the end
		// frame.
		s.bulk.Push(s.done, newCodeFrame(TypeReset, st.id, uint32(CodeDone)))
	case !clean:
		st.Reset(CodeInternal)
	}
	st.cancel(context.Canceled)
}

// abort finishes the stream with err. A response that was received completely
// stays readable unless drop is set. s.mu is held.
func (st *Stream) abort(err error, drop bool) {
	if st.finished {
		return
	}
	if st.writeErr == nil && !st.writeClosed {
		st.writeErr = err
	}
	if !st.endReceived || drop {
		if st.readErr == nil {
			st.readErr = err
		}
		st.dropUnread()
	}
	st.finish(err)
}

// dropUnread discards received bytes that weren't read. s.mu is held.
func (st *Stream) dropUnread() {
	st.giveBack(st.unread.clear())
	st.s.countConsumed(st.unreadInSession)
	st.unreadInSession = 0
}

// finish removes the stream from the session and wakes its readers and writers.
// s.mu is held.
func (st *Stream) finish(cause error) {
	st.finished = true
	if st.blocked {
		st.s.blocked = slices.DeleteFunc(st.s.blocked, func(o *Stream) bool { return o == st })
	}
	st.s.remove(st)
	if st.stop != nil {
		st.stop()
	}
	st.readable.Broadcast()
	st.writable.Broadcast()
	if st.local || cause != nil {
		st.cancel(cause)
	}
}

// finishIfComplete finishes the stream if both directions have ended and all
// received bytes were read. s.mu is held.
func (st *Stream) finishIfComplete() {
	if !st.finished && st.endReceived && st.endQueued && st.unread.size == 0 {
		st.finish(nil)
	}
}

// Reset ends both directions of the stream immediately and discards unread
// bytes. No reset is sent if the stream has already finished.
func (st *Stream) Reset(code Code) {
	s := st.s
	s.mu.Lock()
	if st.finished {
		if st.unread.size > 0 {
			st.readErr = &ResetError{Code: code}
			st.dropUnread()
		}
		s.mu.Unlock()
		return
	}
	st.abort(&ResetError{Code: code}, true)
	s.mu.Unlock()
	s.control.Push(s.done, newCodeFrame(TypeReset, st.id, uint32(code)))
}

// Read reads the body that the peer sends. It returns io.EOF only after the
// peer's end frame; a truncated body gives a *ResetError or a *SessionError.
func (st *Stream) Read(p []byte) (int, error) {
	s := st.s
	s.mu.Lock()
	for st.readErr == nil && st.unread.size == 0 && len(p) > 0 && !st.endReceived {
		st.readable.Wait()
	}
	if err := st.readErr; err != nil {
		s.mu.Unlock()
		return 0, err
	}
	if st.unread.size == 0 && len(p) > 0 {
		s.mu.Unlock()
		return 0, io.EOF
	}
	n := st.consume(p)
	st.finishIfComplete()
	released, reserved := st.windowUpdate()
	s.mu.Unlock()
	if released > 0 {
		s.control.Push(st.ctx.Done(), newWindowFrame(st.id, released, reserved))
	}
	return n, nil
}

// consume reads buffered bytes into p. Bytes that count against the session
// window are accounted as read before reserved data. s.mu is held.
func (st *Stream) consume(p []byte) int {
	n := st.unread.read(p)
	inSession := min(n, st.unreadInSession)
	st.unreadInSession -= inSession
	st.s.countConsumed(inSession)
	st.consumed += n
	st.consumedReserved += n - inSession
	st.giveBack(n)
	st.lastProgress = st.s.sinceStart()
	st.lastRead = st.lastProgress
	return n
}

// windowUpdate returns the byte counts of the next window frame, or zero if it
// isn't due yet. s.mu is held.
func (st *Stream) windowUpdate() (n, reserved int) {
	if st.endReceived || (st.consumed < st.s.opt.StreamWindow/2 && st.consumedReserved < streamReserve/2) {
		return 0, 0
	}
	n, reserved = st.consumed, st.consumedReserved
	st.consumed, st.consumedReserved = 0, 0
	st.recvWindow += n
	st.recvReserve += reserved
	return n, reserved
}

// RecvHead waits for the head of the response. It returns io.EOF if the
// response ended without a head.
func (st *Stream) RecvHead(ctx context.Context) ([]byte, error) {
	s := st.s
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			st.readable.Broadcast()
		})
		defer stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case st.headReceived:
			return st.responseHead, nil
		case st.readErr != nil:
			return nil, st.readErr
		case st.endReceived:
			return nil, io.EOF
		case ctx.Err() != nil:
			return nil, ctx.Err()
		}
		st.readable.Wait()
	}
}

// Trailer returns the peer's trailer. It is nil until the end frame was
// received and no received byte is unread. It is only meaningful after Read has
// returned io.EOF.
func (st *Stream) Trailer() []byte {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	if !st.endReceived || st.unread.size > 0 {
		return nil
	}
	return st.trailer
}

// SendHead sends the head of the response, at most MaxHeadBytes. Only the side
// that serves the stream may call it, once and before Write.
func (st *Stream) SendHead(head []byte) error {
	if len(head) > MaxHeadBytes {
		return wireErrorf("head of %d bytes is too large", len(head))
	}
	st.s.mu.Lock()
	err := st.writeErr
	if err == nil && (st.local || st.headSent || st.writeClosed) {
		err = wireErrorf("head is out of order")
	}
	st.headSent = true
	st.s.mu.Unlock()
	if err != nil {
		return err
	}
	return st.push(true, newOutFrame(TypeHead, st.id, 0, head))
}

// Write sends p as the next bytes of the body. It blocks until the windows of
// the stream and of the session permit it.
func (st *Stream) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		n, typ, err := st.acquireWindow(len(p))
		if err != nil {
			return total, err
		}
		if err := st.push(false, newOutFrame(typ, st.id, 0, p[:n])); err != nil {
			return total, err
		}
		p = p[n:]
		total += n
	}
	return total, nil
}

// acquireWindow takes up to n bytes from the send windows. It uses the stream's
// reserve only while the session window is exhausted.
func (st *Stream) acquireWindow(n int) (int, Type, error) {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if st.writeErr != nil {
			return 0, 0, st.writeErr
		}
		if st.writeClosed {
			return 0, 0, wireErrorf("write after the end")
		}
		if st.sendWindow > 0 && (s.sendWindow > 0 || st.sendReserve > 0) {
			break
		}
		if s.sendWindow == 0 && !st.blocked {
			st.blocked = true
			s.blocked = append(s.blocked, st)
		}
		st.writable.Wait()
	}
	st.headSent = true
	st.lastProgress = s.sinceStart()
	n = min(n, st.sendWindow, maxDataBytes)
	if s.sendWindow > 0 {
		n = min(n, s.sendWindow)
		st.sendWindow -= n
		s.sendWindow -= n
		return n, TypeData, nil
	}
	n = min(n, st.sendReserve)
	st.sendWindow -= n
	st.sendReserve -= n
	return n, TypeReservedData, nil
}

// CloseWrite ends the body and sends a trailer of at most MaxHeadBytes.
func (st *Stream) CloseWrite(trailer []byte) error {
	if len(trailer) > MaxHeadBytes {
		return wireErrorf("trailer of %d bytes is too large", len(trailer))
	}
	s := st.s
	s.mu.Lock()
	err := st.writeErr
	if err == nil && st.writeClosed {
		err = wireErrorf("end is out of order")
	}
	st.writeClosed = true
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := st.push(false, newOutFrame(TypeEnd, st.id, 0, trailer)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.endQueued = true
	st.finishIfComplete()
	return nil
}

// push queues a frame for the writer, on the control queue or the bulk queue.
func (st *Stream) push(control bool, f outFrame) error {
	r := st.s.bulk
	if control {
		r = st.s.control
	}
	// TryPush first avoids the allocation of the context's Done channel if the
	// queue has space.
	if r.TryPush(f) || r.Push(st.ctx.Done(), f) {
		return nil
	}
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	if st.writeErr != nil {
		return st.writeErr
	}
	return context.Cause(st.ctx)
}
