package claim

import (
	"time"

	"dogwoodsill.org/core/refuse"
)

// Ticket is the right to dispatch the request of one key. Its holder calls
// Dispatch right before the request is sent and ends the ticket with exactly
// one of Finish, Lost and Release. Later calls have no effect.
type Ticket struct {
	Root     string // root that the attempts are charged to
	Attempts int    // attempts that the request may use

	table *Table
	entry *entry
	run   *run
	key   Key
	ended bool
}

// Dispatch marks the key as dispatched. It returns nil if the request may be
// sent now, or a refusal that the holder passes to Release. own must have been
// determined at now.
func (k *Ticket) Dispatch(now time.Time, own Ownership) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.current() || k.entry.state != stateClaimed {
		return unknown("the claim of this request is no longer valid")
	}
	if err := k.recheck(now, own); err != nil {
		return err
	}
	if passed(now, k.run.deadline) {
		return refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch")
	}
	if k.entry.issued && !t.issuer.dispatch(k.key) {
		return unknown("the key was dispatched before")
	}
	k.entry.state = stateDispatched
	k.record(now, RecordDispatched, nil)
	return nil
}

// recheck repeats the checks of the claim that depend on the time. The claim
// proved that no other owner ever runs the key, so a refusal here is certain.
func (k *Ticket) recheck(now time.Time, own Ownership) *refuse.Error {
	if k.entry.issued {
		if err := k.table.issuer.check(now, k.key); err != nil {
			return err.WithExecuted(refuse.NotExecuted)
		}
		return nil
	}
	err := k.table.mayRunCaller(now, own, k.key)
	switch {
	case err == nil:
		return nil
	case err.Reason == refuse.IdempotencyKeyInvalid:
		return err.WithExecuted(refuse.NotExecuted)
	}
	return refuse.New(refuse.NotReady, "this node's right to run the key ended before dispatch").WithRetryAfter(time.Second)
}

// UndoDispatch takes a dispatch back after the other side proved that no upstream
// received the request. The holder may dispatch again.
func (k *Ticket) UndoDispatch() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.current() || k.entry.state != stateDispatched {
		return
	}
	k.entry.state = stateClaimed
	if k.entry.issued {
		t.issuer.undo(k.key)
	}
}

// SetBody completes the fingerprint with what was learned while the body was
// sent.
func (k *Ticket) SetBody(length int64, digest []byte) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.current() {
		k.entry.content.length = length
		k.entry.content.setDigest(digest)
	}
}

// Finish ends the ticket with the complete response, which must not be changed
// afterwards.
func (k *Ticket) Finish(now time.Time, r *Response) {
	k.finish(now, r.Status, r)
}

// FinishStatus ends the ticket of a request that got its complete response,
// when that response was too large to be held. Other requests with the key
// learn the status, but their execution is reported as unknown.
func (k *Ticket) FinishStatus(now time.Time, status int) {
	k.finish(now, status, nil)
}

func (k *Ticket) finish(now time.Time, status int, r *Response) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	if k.entry.run == k.run {
		k.entry.state, k.entry.status = stateDone, int32(status)
		t.store(k.entry, r)
		k.record(now, RecordDone, r)
	}
	if r == nil {
		k.settle(refused(ranUnkept(status)))
		return
	}
	k.settle(Decision{Verdict: Replay, Response: r})
}

// FinishUnknown ends the ticket of a dispatched request whose outcome is not known. It
// returns the refusal for the holder's own caller.
func (k *Ticket) FinishUnknown(why *refuse.Error) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.lost(why)
}

func (k *Ticket) lost(why *refuse.Error) *refuse.Error {
	why = why.WithExecuted(refuse.ExecutionUnknown)
	if !k.ended {
		k.ended = true
		if k.entry.run == k.run {
			k.entry.state = stateUnknown
		}
		k.settle(refused(why))
	}
	return why
}

// Release ends the ticket of a request that was not dispatched, or whose
// dispatch was undone. unused attempts go back to the root, and the key may be
// claimed again. It returns the refusal for the holder's own caller: why, with
// the execution state that the table knows.
func (k *Ticket) Release(unused int, why *refuse.Error) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case k.ended:
		return why.WithExecuted(refuse.ExecutionUnknown)
	case k.entry.state == stateDispatched:
		return k.lost(why)
	}
	k.ended = true
	k.entry.left += int32(max(0, min(unused, k.Attempts)))
	if k.entry.run != k.run {
		return why.WithExecuted(refuse.ExecutionUnknown)
	}
	k.entry.state, k.entry.run = stateOpen, nil
	k.run.end(refused(why))
	return why
}

// current reports whether the entry still belongs to this ticket.
func (k *Ticket) current() bool {
	return !k.ended && k.entry.run == k.run && k.table.entries[k.entry.id] == k.entry
}

// settle wakes the requests that joined and closes the entry.
func (k *Ticket) settle(d Decision) {
	k.run.end(d)
	if k.entry.run != k.run {
		return
	}
	k.entry.run, k.entry.root = nil, ""
	if k.entry.issued && k.table.entries[k.entry.id] == k.entry {
		k.table.settled = append(k.table.settled, k.entry.id)
	}
}

func (k *Ticket) record(now time.Time, state RecordState, r *Response) {
	if k.table.queue == nil {
		return
	}
	k.table.queue.Add(now, Record{
		ID:          k.entry.id,
		State:       state,
		KeyMS:       k.entry.keyMS,
		Fingerprint: k.entry.content,
		Status:      int(k.entry.status),
		Response:    r,
	})
}
