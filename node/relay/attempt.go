package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/refuse"
)

const (
	// resumeGrace is how long an attempt runs on after its link was lost. The
	// calling side notices a silent link within 3 s and then resumes at once.
	resumeGrace = 5 * time.Second
	// attemptKeep is how long the identifier of an attempt is kept after its end.
	// A frame that a network device held back for longer than that finds its
	// link closed.
	attemptKeep = time.Minute
	// replyBytes is the largest reply that can be repeated on a new link.
	replyBytes = 64 << 10
	// keptReplies bounds the replies kept by a node in bytes. At 113 calls a second
	// of 4 KiB it covers more than 8 s, twice the time to notice a silent link.
	keptReplies = 4 << 20
)

// attempts holds the attempts that a node runs or ran lately, so that none is
// run again when its link was lost. It is safe for concurrent use.
type attempts struct {
	mu    sync.Mutex
	byID  map[string]*attempt
	ended []endedAttempt // oldest first
	kept  int            // index in ended of the oldest reply that is still kept
	bytes int            // of the kept replies
}

// endedAttempt is an attempt whose identifier is kept.
type endedAttempt struct {
	id string
	at time.Time
}

// forgotten stands for every ended attempt whose reply is no longer kept, so that
// such an attempt costs no more than its identifier.
var forgotten = newForgotten()

func newForgotten() *attempt {
	a := &attempt{done: make(chan struct{}), cancel: func(error) {}}
	close(a.done)
	return a
}

// attempt is one dispatch to the local upstream and its reply. The reply goes
// to a stream and is kept, so that it can be repeated on another one.
type attempt struct {
	id     string
	ctx    context.Context
	cancel context.CancelCauseFunc
	done   chan struct{}

	mu       sync.Mutex
	stream   *frame.Stream // nil after its link was lost
	resumed  bool
	head     []byte
	body     []byte
	trailer  []byte
	complete bool // the kept reply is whole
	partial  bool // body was dropped because it is too large
}

func newAttempts() *attempts {
	return &attempts{byID: map[string]*attempt{}}
}

// begin registers an attempt that arrived on a stream. It returns false if the
// attempt is known.
func (t *attempts) begin(id string, s *frame.Stream, deadline, now time.Time) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if a, ok := t.byID[id]; ok {
		return a, false
	}
	ctx, stop := context.WithDeadline(context.Background(), deadline)
	a := &attempt{id: id, stream: s, done: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	context.AfterFunc(a.ctx, stop)
	t.byID[id] = a
	return a, true
}

// end notes that the reply of an attempt is complete or was given up.
func (t *attempts) end(a *attempt, now time.Time) {
	a.cancel(context.Canceled)
	close(a.done)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = append(t.ended, endedAttempt{id: a.id, at: now})
	t.bytes += a.size()
	for t.bytes > keptReplies && t.kept < len(t.ended) {
		t.forget()
	}
}

// forget drops the oldest kept reply. The caller holds mu.
func (t *attempts) forget() {
	id := t.ended[t.kept].id
	t.bytes -= t.byID[id].size()
	t.byID[id] = forgotten
	t.kept++
}

// sweep removes old attempts. The caller holds mu.
func (t *attempts) sweep(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > attemptKeep {
		if t.kept == 0 {
			t.forget()
		}
		delete(t.byID, t.ended[0].id)
		t.ended = t.ended[1:]
		t.kept--
	}
}

// follow cancels the attempt when its stream is reset. When only the link is
// lost, the attempt runs on for a while, since the calling side may resume it.
func (a *attempt) follow(s *frame.Stream) {
	context.AfterFunc(s.Context(), func() {
		var lost *frame.SessionError
		if !errors.As(context.Cause(s.Context()), &lost) {
			a.cancel(context.Cause(s.Context()))
			return
		}
		a.mu.Lock()
		a.detach(s)
		a.mu.Unlock()
		timer := time.AfterFunc(resumeGrace, func() { a.giveUp(lost) })
		context.AfterFunc(a.ctx, func() { timer.Stop() })
	})
}

// detach stops writing to a stream. The caller holds mu.
func (a *attempt) detach(s *frame.Stream) {
	if a.stream == s {
		a.stream = nil
	}
}

func (a *attempt) giveUp(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.resumed {
		a.cancel(cause)
	}
}

// resume waits for the end of the attempt and repeats its reply on a stream.
func (a *attempt) resume(s *frame.Stream) *refuse.Error {
	a.mu.Lock()
	a.resumed = true
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-s.Context().Done():
		a.cancel(context.Cause(s.Context()))
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.complete {
		return refuse.New(refuse.OutcomeUnknown, "the answer to the attempt is no longer kept").WithExecuted(refuse.ExecutionUnknown)
	}
	if s.SendHead(a.head) != nil {
		return nil
	}
	if _, err := s.Write(a.body); err != nil {
		return nil
	}
	_ = s.CloseWrite(a.trailer)
	return nil
}

// SendHead keeps the head of the reply and sends it.
func (a *attempt) SendHead(head []byte) error {
	a.mu.Lock()
	a.head = head
	s := a.stream
	a.mu.Unlock()
	return a.check(s, func() error { return s.SendHead(head) })
}

// Write keeps a part of the body of the reply and sends it.
func (a *attempt) Write(p []byte) (int, error) {
	a.mu.Lock()
	if len(a.body)+len(p) > replyBytes {
		a.partial, a.body = true, nil
	}
	if !a.partial {
		a.body = append(a.body, p...)
	}
	s := a.stream
	a.mu.Unlock()
	return len(p), a.check(s, func() error {
		_, err := s.Write(p)
		return err
	})
}

// CloseWrite ends the reply.
func (a *attempt) CloseWrite(trailer []byte) error {
	a.mu.Lock()
	a.trailer, a.complete = trailer, !a.partial
	s := a.stream
	a.mu.Unlock()
	return a.check(s, func() error { return s.CloseWrite(trailer) })
}

// check sends to the stream of the attempt. The loss of the link is no error
// while the whole reply can be kept.
func (a *attempt) check(s *frame.Stream, send func() error) error {
	var err error
	if s != nil {
		err = send()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var lost *frame.SessionError
	switch {
	case errors.As(err, &lost):
		a.detach(s)
	case err != nil:
		return err
	}
	if a.stream == nil && a.partial {
		return errNoLink
	}
	return nil
}

var errNoLink = errors.New("the link was lost and the reply is too large to keep")

// size returns the bytes of the kept reply.
func (a *attempt) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.head) + len(a.body) + len(a.trailer)
}
