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
	// resumeGrace is how long an attempt whose link was lost continues without
	// being resumed. The calling side detects the loss within 3 s and resumes the
	// attempt at once. If that fails, it tries again for as long.
	resumeGrace = 5 * time.Second
	// resumeInterval is the time between two tries.
	resumeInterval = 50 * time.Millisecond
	// maxResumeTime limits the time from the loss of the first link to the last try. The
	// attempt may have ended at that loss, and must not run again.
	maxResumeTime = attemptRetention / 2
	// attemptRetention is how long the identifier of an ended attempt is retained,
	// so that a delayed frame which opens a stream for it doesn't run it again. A
	// frame that is delayed for longer arrives on a link that is closed by then.
	attemptRetention = time.Minute
	// maxReplyBytes is the size of the largest reply that is retained, so that it
	// can be sent again on a new link.
	maxReplyBytes = 64 << 10
	// maxRetainedBytes limits the total size of the replies that a node retains. At
	// 113 calls per second with replies of 4 KiB it covers more than 8 s, at least
	// twice the time in which a lost link is detected. At higher rates replies are
	// evicted earlier; resuming their attempts then fails with an unknown outcome.
	maxRetainedBytes = 4 << 20
)

// attemptTable holds the running and recently ended attempts of a node, so that
// an attempt that is resumed after the loss of its link doesn't run twice. It is
// safe for concurrent use.
type attemptTable struct {
	mu            sync.Mutex
	byID          map[string]*attempt
	ended         []endedAttempt // oldest first
	firstRetained int            // index in ended of the oldest reply that is retained
	retainedBytes int            // total size of the retained replies
}

// endedAttempt is an attempt that ended and whose identifier is retained.
type endedAttempt struct {
	id string
	at time.Time
}

// evicted is the shared table entry of all ended attempts whose reply was
// evicted, so that such an attempt uses no more memory than its identifier.
var evicted = newEvicted()

func newEvicted() *attempt {
	a := &attempt{ctx: context.Background(), done: make(chan struct{}), cancel: func(error) {}}
	close(a.done)
	return a
}

// attempt is the state of one attempt at this target: its context and its reply.
// The reply is written to a stream and retained, so that it can be sent again on
// another stream.
type attempt struct {
	id     string
	ctx    context.Context
	cancel context.CancelCauseFunc
	done   chan struct{}

	mu          sync.Mutex
	stream      *frame.Stream // nil after its link was lost
	resumes     int           // how often it was resumed
	head        []byte
	body        []byte
	trailer     []byte
	complete    bool // the whole reply is retained
	bodyDropped bool // body was dropped because it is too large
}

func newAttemptTable() *attemptTable {
	return &attemptTable{byID: map[string]*attempt{}}
}

// begin registers an attempt that arrived on a stream. If the attempt is
// registered already, it returns the registered one and false.
func (t *attemptTable) begin(id string, s *frame.Stream, deadline, now time.Time) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
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

// end records that an attempt ended, whether its reply is complete or not.
func (t *attemptTable) end(a *attempt, now time.Time) {
	a.cancel(context.Canceled)
	close(a.done)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = append(t.ended, endedAttempt{id: a.id, at: now})
	t.retainedBytes += a.size()
	for t.retainedBytes > maxRetainedBytes && t.firstRetained < len(t.ended) {
		t.evictOldest()
	}
}

// cancelAll cancels the running attempts.
func (t *attemptTable) cancelAll(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.byID {
		a.cancel(cause)
	}
}

// evictOldest drops the oldest retained reply. The caller holds mu.
func (t *attemptTable) evictOldest() {
	id := t.ended[t.firstRetained].id
	t.retainedBytes -= t.byID[id].size()
	t.byID[id] = evicted
	t.firstRetained++
}

// removeExpired removes the attempts that ended more than attemptRetention ago.
// The caller holds mu.
func (t *attemptTable) removeExpired(now time.Time) {
	for len(t.ended) > 0 && now.Sub(t.ended[0].at) > attemptRetention {
		if t.firstRetained == 0 {
			t.evictOldest()
		}
		delete(t.byID, t.ended[0].id)
		t.ended = t.ended[1:]
		t.firstRetained--
	}
}

// cancelWith cancels the attempt when its stream is reset. If the stream ended
// because its link was lost, the attempt continues for resumeGrace, since the
// calling side may resume it.
func (a *attempt) cancelWith(s *frame.Stream) {
	context.AfterFunc(s.Context(), func() { a.streamEnded(s, 0) })
}

// streamEnded handles the end of a stream of the attempt before that of the attempt. resumes is how
// often it had been resumed by then, with this stream included.
func (a *attempt) streamEnded(s *frame.Stream, resumes int) {
	var lost *frame.SessionError
	if !errors.As(context.Cause(s.Context()), &lost) {
		a.cancel(context.Cause(s.Context()))
		return
	}
	a.mu.Lock()
	a.detach(s)
	a.mu.Unlock()
	timer := time.AfterFunc(resumeGrace, func() { a.cancelUnlessResumed(resumes, lost) })
	context.AfterFunc(a.ctx, func() { timer.Stop() })
}

// detach stops writing the reply to a stream. The caller holds mu.
func (a *attempt) detach(s *frame.Stream) {
	if a.stream == s {
		a.stream = nil
	}
}

// cancelUnlessResumed cancels the attempt if it was resumed no more often than the given number.
func (a *attempt) cancelUnlessResumed(resumes int, cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resumes == resumes {
		a.cancel(cause)
	}
}

// resume waits for the end of the attempt and sends its reply again on a new
// stream.
func (a *attempt) resume(s *frame.Stream) *refuse.Error {
	a.mu.Lock()
	a.resumes++
	resumes := a.resumes
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-s.Context().Done():
		a.streamEnded(s, resumes)
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

// SendHead retains the head of the reply and sends it.
func (a *attempt) SendHead(head []byte) error {
	a.mu.Lock()
	a.head = head
	s := a.stream
	a.mu.Unlock()
	return a.sendTo(s, func() error { return s.SendHead(head) })
}

// Write retains a chunk of the body of the reply and sends it.
func (a *attempt) Write(p []byte) (int, error) {
	a.mu.Lock()
	if len(a.body)+len(p) > maxReplyBytes {
		a.bodyDropped, a.body = true, nil
	}
	if !a.bodyDropped {
		a.body = append(a.body, p...)
	}
	s := a.stream
	a.mu.Unlock()
	return len(p), a.sendTo(s, func() error {
		_, err := s.Write(p)
		return err
	})
}

// CloseWrite sends the trailer and ends the reply.
func (a *attempt) CloseWrite(trailer []byte) error {
	a.mu.Lock()
	a.trailer, a.complete = trailer, !a.bodyDropped
	s := a.stream
	a.mu.Unlock()
	return a.sendTo(s, func() error { return s.CloseWrite(trailer) })
}

// sendTo calls send if the attempt has a stream. The loss of the link is not an
// error as long as the whole reply is retained.
func (a *attempt) sendTo(s *frame.Stream, send func() error) error {
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
	if a.stream == nil && a.bodyDropped {
		return errLinkLost
	}
	return nil
}

var errLinkLost = errors.New("the link was lost and the reply is too large to be retained")

// size returns the size of the retained reply in bytes.
func (a *attempt) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.head) + len(a.body) + len(a.trailer)
}
