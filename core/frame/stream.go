package frame

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"
)

// Stream is one exchange on a session. Reading and writing may go on at the
// same time; each side of it is for one goroutine at a time.
type Stream struct {
	s      *Session
	id     uint32
	kind   uint8
	local  bool // opened by this side
	head   []byte
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   func() bool // stops watching the context given to Open

	// The mutex of the session guards what follows.
	readable sync.Cond
	writable sync.Cond

	in       blockList
	shared   int  // bytes of in that occupy the window of the session
	taken    int  // bytes read since the last window frame
	takenOwn int  // of these, own data
	room     int  // bytes that the peer may still send
	roomOwn  int  // own data that the peer may still send
	begun    bool // a part of the body was received
	answered bool
	answer   []byte // head of the answer
	ended    bool   // the end frame was received
	trailer  []byte
	readErr  error

	credit   int // bytes that may be sent
	own      int // own data that may be sent
	headSent bool
	closing  bool // CloseWrite was called
	closed   bool // the end frame is queued
	writeErr error
	starving bool // in the list of streams that wait for the window of the session

	queued   bool // the open frame is on its way or was received
	finished bool
	moved    time.Duration // last progress, from the start of the session
	patience time.Duration // progress timeout
}

// newStream returns a stream. s.mu is held.
func newStream(ctx context.Context, s *Session, id uint32, kind uint8, local bool) *Stream {
	st := &Stream{
		s: s, id: id, kind: kind, local: local,
		room: s.opt.StreamWindow, roomOwn: allowance, credit: s.peer.StreamWindow, own: allowance,
		moved: s.sinceStart(), patience: s.opt.ProgressTimeout,
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

// Peer returns the authenticated instance name of the peer.
func (st *Stream) Peer() string { return st.s.Peer() }

// Context returns a context that ends when the stream is reset by either side,
// when the session ends, when the stream has finished at the opener, or when
// the handler returns. context.Cause gives the reason.
func (st *Stream) Context() context.Context { return st.ctx }

// SetProgressTimeout changes the progress timeout of the session for this
// stream. Zero disables it.
func (st *Stream) SetProgressTimeout(d time.Duration) {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	st.patience = d
	st.moved = st.s.sinceStart()
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

// opened notes whether the open frame was queued. If not, it removes the stream
// and returns the reason.
func (st *Stream) opened(ctx context.Context, queued bool) error {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening = false
	s.confirmGoAway()
	st.queued = queued
	if queued {
		return nil
	}
	err := st.readErr
	if err == nil {
		err = ctx.Err()
	}
	st.end(&ResetError{Code: CodeCanceled}, true)
	return err
}

// serve runs the handler and ends what it left open.
func (st *Stream) serve(h Handler) {
	defer st.leave()
	h(st)
}

func (st *Stream) leave() {
	s := st.s
	s.mu.Lock()
	clean := st.closed && st.writeErr == nil
	rest := clean && !st.finished
	if rest {
		st.end(&ResetError{Code: CodeDone}, true)
	}
	s.mu.Unlock()
	switch {
	case rest:
		// Through the bulk ring, so that it can't overtake the end frame.
		s.bulk.Push(s.done, newCodeFrame(TypeReset, st.id, uint32(CodeDone)))
	case !clean:
		st.Reset(CodeInternal)
	}
	st.cancel(context.Canceled)
}

// end finishes the stream. An answer that was received to its end stays
// readable unless drop is set. s.mu is held.
func (st *Stream) end(err error, drop bool) {
	if st.finished {
		return
	}
	if st.writeErr == nil && !st.closing {
		st.writeErr = err
	}
	if !st.ended || drop {
		if st.readErr == nil {
			st.readErr = err
		}
		st.dropUnread()
	}
	st.finish(err)
}

// dropUnread drops the received bytes. s.mu is held.
func (st *Stream) dropUnread() {
	st.in.clear()
	st.s.release(st.shared)
	st.shared = 0
}

// finish removes the stream from the session. s.mu is held.
func (st *Stream) finish(cause error) {
	st.finished = true
	if st.starving {
		st.s.starved = slices.DeleteFunc(st.s.starved, func(o *Stream) bool { return o == st })
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

// settle finishes the stream if both directions are complete and all received
// bytes were read. s.mu is held.
func (st *Stream) settle() {
	if !st.finished && st.ended && st.closed && st.in.n == 0 {
		st.finish(nil)
	}
}

// Reset ends the stream at once in both directions. It does nothing after the
// stream has finished. Unread bytes are dropped.
func (st *Stream) Reset(code Code) {
	s := st.s
	s.mu.Lock()
	if st.finished {
		if st.in.n > 0 {
			st.readErr = &ResetError{Code: code}
			st.dropUnread()
		}
		s.mu.Unlock()
		return
	}
	st.end(&ResetError{Code: code}, true)
	s.mu.Unlock()
	s.control.Push(s.done, newCodeFrame(TypeReset, st.id, uint32(code)))
}

// Read reads the body that the peer sends. It returns io.EOF only after the
// peer's end frame, and otherwise a *ResetError or a *SessionError.
func (st *Stream) Read(p []byte) (int, error) {
	s := st.s
	s.mu.Lock()
	for st.readErr == nil && st.in.n == 0 && len(p) > 0 && !st.ended {
		st.readable.Wait()
	}
	if err := st.readErr; err != nil {
		s.mu.Unlock()
		return 0, err
	}
	if st.in.n == 0 && len(p) > 0 {
		s.mu.Unlock()
		return 0, io.EOF
	}
	n := st.take(p)
	st.settle()
	back, own := st.giveBack()
	s.mu.Unlock()
	if back > 0 {
		s.control.Push(st.ctx.Done(), newWindowFrame(st.id, back, own))
	}
	return n, nil
}

// take reads buffered bytes. Those that occupy the window of the session count
// as read first. s.mu is held.
func (st *Stream) take(p []byte) int {
	n := st.in.read(p)
	shared := min(n, st.shared)
	st.shared -= shared
	st.s.release(shared)
	st.taken += n
	st.takenOwn += n - shared
	st.moved = st.s.sinceStart()
	return n
}

// giveBack returns the numbers for a window frame, or zero if it isn't time to
// send one. s.mu is held.
func (st *Stream) giveBack() (n, own int) {
	if st.ended || (st.taken < st.s.opt.StreamWindow/2 && st.takenOwn < allowance/2) {
		return 0, 0
	}
	n, own = st.taken, st.takenOwn
	st.taken, st.takenOwn = 0, 0
	st.room += n
	st.roomOwn += own
	return n, own
}

// RecvHead waits for the head of the answer. It returns io.EOF if the answer
// ended without a head.
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
		case st.answered:
			return st.answer, nil
		case st.readErr != nil:
			return nil, st.readErr
		case st.ended:
			return nil, io.EOF
		case ctx.Err() != nil:
			return nil, ctx.Err()
		}
		st.readable.Wait()
	}
}

// Trailer returns the peer's trailer. It is nil until Read has returned io.EOF.
func (st *Stream) Trailer() []byte {
	st.s.mu.Lock()
	defer st.s.mu.Unlock()
	if !st.ended || st.in.n > 0 {
		return nil
	}
	return st.trailer
}

// SendHead sends the head of the answer, at most MaxHeadBytes. Only the side
// that serves the stream sends one, once and before the body.
func (st *Stream) SendHead(head []byte) error {
	if len(head) > MaxHeadBytes {
		return wireErrorf("head of %d bytes is too large", len(head))
	}
	st.s.mu.Lock()
	err := st.writeErr
	if err == nil && (st.local || st.headSent || st.closing) {
		err = wireErrorf("head is out of order")
	}
	st.headSent = true
	st.s.mu.Unlock()
	if err != nil {
		return err
	}
	return st.push(true, newOutFrame(TypeHead, st.id, 0, head))
}

// Write sends a part of the body. It waits until the windows of the stream and
// of the session permit it.
func (st *Stream) Write(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		n, typ, err := st.reserve(len(p))
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

// reserve takes up to n bytes from the windows. The own allowance serves only
// while the window of the session is used up.
func (st *Stream) reserve(n int) (int, Type, error) {
	s := st.s
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if st.writeErr != nil {
			return 0, 0, st.writeErr
		}
		if st.closing {
			return 0, 0, wireErrorf("write after the end")
		}
		if st.credit > 0 && (s.credit > 0 || st.own > 0) {
			break
		}
		if s.credit == 0 && !st.starving {
			st.starving = true
			s.starved = append(s.starved, st)
		}
		st.writable.Wait()
	}
	st.headSent = true
	st.moved = s.sinceStart()
	n = min(n, st.credit, dataBytes)
	if s.credit > 0 {
		n = min(n, s.credit)
		st.credit -= n
		s.credit -= n
		return n, TypeData, nil
	}
	n = min(n, st.own)
	st.credit -= n
	st.own -= n
	return n, TypeReservedData, nil
}

// CloseWrite ends the body with a trailer of at most MaxHeadBytes.
func (st *Stream) CloseWrite(trailer []byte) error {
	if len(trailer) > MaxHeadBytes {
		return wireErrorf("trailer of %d bytes is too large", len(trailer))
	}
	s := st.s
	s.mu.Lock()
	err := st.writeErr
	if err == nil && st.closing {
		err = wireErrorf("end is out of order")
	}
	st.closing = true
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := st.push(false, newOutFrame(TypeEnd, st.id, 0, trailer)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.closed = true
	st.settle()
	return nil
}

// push queues a frame for the writer.
func (st *Stream) push(control bool, f outFrame) error {
	r := st.s.bulk
	if control {
		r = st.s.control
	}
	// Without a wait the channel of the context needn't be made.
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
