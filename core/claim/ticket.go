package claim

import (
	"time"

	"dogwoodsill.org/core/refuse"
)

// Ticket is the right to dispatch the request of one key. Its holder calls
// Dispatch immediately before it sends the request and ends the ticket with
// exactly one call of Finish, FinishStatus, FinishUnknown or Release. Later
// calls have no effect.
type Ticket struct {
	Root     string // root request that the attempts are charged to
	Attempts int    // attempts that the request may use

	table     *Table
	entry     *entry
	execution *execution
	key       Key
	ended     bool
}

// Dispatch marks the key as dispatched. It returns nil if the request may be
// sent now, or a refusal that the holder passes to Release. own must have been
// determined at now.
func (k *Ticket) Dispatch(now time.Time, own Ownership) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.isCurrent() || k.entry.state != stateClaimed {
		return outcomeUnknown("the claim of this request is no longer valid")
	}
	if err := k.recheck(now, own); err != nil {
		return err
	}
	if deadlinePassed(now, k.execution.deadline) {
		return refuse.New(refuse.DeadlineExceeded, "the deadline passed before dispatch")
	}
	if k.entry.issued && !t.issuer.markDispatched(k.key) {
		return outcomeUnknown("the key was dispatched before")
	}
	k.entry.state = stateDispatched
	k.enqueueRecord(now, RecordDispatched, nil)
	return nil
}

// recheck repeats the time-dependent checks of the claim. The claim has
// established that no other owner ever runs the key, so a refusal here can
// report executed "no".
func (k *Ticket) recheck(now time.Time, own Ownership) *refuse.Error {
	if k.entry.issued {
		if err := k.table.issuer.checkDispatchable(now, k.key); err != nil {
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

// UndoDispatch reverts Dispatch after the peer has proven that no upstream
// received the request. The holder may dispatch again.
func (k *Ticket) UndoDispatch() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !k.isCurrent() || k.entry.state != stateDispatched {
		return
	}
	k.entry.state = stateClaimed
	if k.entry.issued {
		t.issuer.unmarkDispatched(k.key)
	}
}

// SetBody adds the length and the digest of the body to the fingerprint, for a
// body that was not read before the claim.
func (k *Ticket) SetBody(length int64, digest []byte) {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.isCurrent() {
		k.entry.fingerprint.length = length
		k.entry.fingerprint.setDigest(digest)
	}
}

// Finish ends the ticket with the complete response, which must not be modified
// afterwards.
func (k *Ticket) Finish(now time.Time, r *Response) {
	k.finish(now, r.Status, r)
}

// FinishStatus ends the ticket of a request whose complete response was too
// large to be retained. Other requests with the key receive a refusal with the
// status and execution state unknown.
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
	if k.entry.execution == k.execution {
		k.entry.state, k.entry.status = stateDone, int32(status)
		t.storeResponse(k.entry, r)
		k.enqueueRecord(now, RecordDone, r)
	}
	if r == nil {
		k.completeExecution(refusalDecision(responseNotRetained(status)))
		return
	}
	k.completeExecution(Decision{Verdict: Replay, Response: r})
}

// FinishUnknown ends the ticket of a dispatched request whose outcome is not
// known. It returns the refusal for the caller of this request.
func (k *Ticket) FinishUnknown(why *refuse.Error) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	return k.finishUnknown(why)
}

func (k *Ticket) finishUnknown(why *refuse.Error) *refuse.Error {
	why = why.WithExecuted(refuse.ExecutionUnknown)
	if !k.ended {
		k.ended = true
		if k.entry.execution == k.execution {
			k.entry.state = stateUnknown
		}
		k.completeExecution(refusalDecision(why))
	}
	return why
}

// Release ends the ticket of a request that was not dispatched, or whose
// dispatch was undone. The unused attempts are returned to the root, and the
// key may be claimed again. It returns the refusal for the caller of this
// request: why, with the execution state that the table knows.
func (k *Ticket) Release(unused int, why *refuse.Error) *refuse.Error {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case k.ended:
		return why.WithExecuted(refuse.ExecutionUnknown)
	case k.entry.state == stateDispatched:
		return k.finishUnknown(why)
	}
	k.ended = true
	k.entry.attemptsLeft += int32(max(0, min(unused, k.Attempts)))
	if k.entry.execution != k.execution {
		return why.WithExecuted(refuse.ExecutionUnknown)
	}
	k.entry.state, k.entry.execution = stateUnclaimed, nil
	k.execution.complete(refusalDecision(why))
	return why
}

// isCurrent reports whether the entry is still in the table and held by this
// ticket.
func (k *Ticket) isCurrent() bool {
	return !k.ended && k.entry.execution == k.execution && k.table.entries[k.entry.id] == k.entry
}

// completeExecution wakes the requests that joined and ends the execution of
// the entry. An issued key may then be removed to make room.
func (k *Ticket) completeExecution(d Decision) {
	k.execution.complete(d)
	if k.entry.execution != k.execution {
		return
	}
	k.entry.execution, k.entry.root = nil, ""
	if k.entry.issued && k.table.entries[k.entry.id] == k.entry {
		k.table.finishedIssued = append(k.table.finishedIssued, k.entry.id)
	}
}

func (k *Ticket) enqueueRecord(now time.Time, state RecordState, r *Response) {
	if k.table.queue == nil {
		return
	}
	k.table.queue.Add(now, Record{
		ID:          k.entry.id,
		State:       state,
		KeyMS:       k.entry.keyMS,
		Fingerprint: k.entry.fingerprint,
		Status:      int(k.entry.status),
		Response:    r,
	})
}
