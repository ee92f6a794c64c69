package claim

import "time"

// insert adds an entry to the table unless it is there. It reports false if the
// table is full.
func (t *Table) insert(e *entry) bool {
	if t.entries[e.id] == e {
		return true
	}
	if !t.makeRoom() {
		return false
	}
	t.entries[e.id] = e
	// A second that was swept already is not visited again.
	second := max(time.UnixMilli(e.keyMS).Unix(), t.expired)
	t.bySecond[second] = append(t.bySecond[second], e.id)
	return true
}

// makeRoom reports whether an entry may be added. If the table is full it drops
// the oldest issued key that was run; the issuer's window still knows it.
func (t *Table) makeRoom() bool {
	for len(t.entries) >= t.maxEntries && len(t.settled) > 0 {
		t.drop(t.settled[0])
		t.settled = t.settled[1:]
	}
	return len(t.entries) < t.maxEntries
}

// sweep drops the keys that are too old to run.
func (t *Table) sweep(now time.Time) {
	first := now.Add(-MaxAge).Unix()
	if first <= t.expired {
		return
	}
	if first-t.expired > int64(MaxAge/time.Second) {
		t.sweepAll(first)
	}
	for ; t.expired < first; t.expired++ {
		t.sweepSecond(t.expired)
	}
	for len(t.settled) > 0 && t.entries[t.settled[0]] == nil {
		t.settled = t.settled[1:]
	}
}

// sweepAll serves a clock that advanced by more than the kept time, so that
// sweep need not visit each second.
func (t *Table) sweepAll(first int64) {
	for second := range t.bySecond {
		if second < first {
			t.sweepSecond(second)
		}
	}
	t.expired = first
}

func (t *Table) sweepSecond(second int64) {
	for _, id := range t.bySecond[second] {
		t.drop(id)
	}
	delete(t.bySecond, second)
}

// drop removes an entry. A ticket that is still out can no longer dispatch.
func (t *Table) drop(id ID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.evict(e)
	delete(t.entries, id)
}

// store keeps the response of an entry if there is one that is not too large.
func (t *Table) store(e *entry, r *Response) {
	if r == nil {
		return
	}
	n := r.bytes()
	if n > t.maxResponse || n > t.maxBytes || t.entries[e.id] != e {
		return
	}
	e.response, e.bytes = r, int32(n)
	e.stored = t.stored.PushBack(e)
	t.bytes += n
	for t.bytes > t.maxBytes {
		t.evict(t.stored.Front().Value.(*entry))
	}
}

// evict drops the response of an entry but not the knowledge that it ran.
func (t *Table) evict(e *entry) {
	if e.response == nil {
		return
	}
	t.bytes -= int(e.bytes)
	t.stored.Remove(e.stored)
	e.response, e.stored, e.bytes = nil, nil, 0
}

// Stats counts what a table holds.
type Stats struct {
	Keys      int
	Responses int
	Bytes     int // of the responses
}

// Stats returns the current counts.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), Responses: t.stored.Len(), Bytes: t.bytes}
}
