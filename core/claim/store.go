package claim

import "time"

// insert adds an entry to the table unless it is present. It returns false if
// the table is full.
func (t *Table) insert(e *entry) bool {
	if t.entries[e.id] == e {
		return true
	}
	if !t.ensureCapacity() {
		return false
	}
	t.entries[e.id] = e
	// removeExpired doesn't visit a second again that it has passed, so an older key
	// is filed under the next second that it will visit.
	second := max(time.UnixMilli(e.keyMS).Unix(), t.expiredBefore)
	t.bySecond[second] = append(t.bySecond[second], e.id)
	return true
}

// ensureCapacity reports whether an entry may be added. If the table is full it
// first removes the issued keys that finished earliest. They can't run again,
// because the issuer's window still marks them as dispatched.
func (t *Table) ensureCapacity() bool {
	for len(t.entries) >= t.maxEntries && len(t.finishedIssued) > 0 {
		t.remove(t.finishedIssued[0])
		t.finishedIssued = t.finishedIssued[1:]
	}
	return len(t.entries) < t.maxEntries
}

// removeExpired removes the keys that are too old to run.
func (t *Table) removeExpired(now time.Time) {
	first := now.Add(-MaxAge).Unix()
	if first <= t.expiredBefore {
		return
	}
	if first-t.expiredBefore > int64(MaxAge/time.Second) {
		t.removeBefore(first)
	}
	for ; t.expiredBefore < first; t.expiredBefore++ {
		t.removeSecond(t.expiredBefore)
	}
	for len(t.finishedIssued) > 0 && t.entries[t.finishedIssued[0]] == nil {
		t.finishedIssued = t.finishedIssued[1:]
	}
}

// removeBefore removes all keys of seconds before first by scanning the map.
// removeExpired uses it when the clock has advanced by more than MaxAge, so
// that it doesn't have to step through each second.
func (t *Table) removeBefore(first int64) {
	for second := range t.bySecond {
		if second < first {
			t.removeSecond(second)
		}
	}
	t.expiredBefore = first
}

func (t *Table) removeSecond(second int64) {
	for _, id := range t.bySecond[second] {
		t.remove(id)
	}
	delete(t.bySecond, second)
}

// remove removes an entry. A ticket of the entry can no longer be dispatched.
func (t *Table) remove(id ID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.evictResponse(e)
	delete(t.entries, id)
}

// storeResponse stores the response of an entry, unless it is nil or too large,
// and evicts the oldest responses above the memory limit.
func (t *Table) storeResponse(e *entry, r *Response) {
	if r == nil {
		return
	}
	n := r.bytes()
	if n > t.maxResponseBytes || n > t.maxTotalResponseBytes || t.entries[e.id] != e {
		return
	}
	e.response, e.responseBytes = r, int32(n)
	e.responseElem = t.responses.PushBack(e)
	t.responseBytes += n
	for t.responseBytes > t.maxTotalResponseBytes {
		t.evictResponse(t.responses.Front().Value.(*entry))
	}
}

// evictResponse removes the response of an entry and keeps its state and
// status.
func (t *Table) evictResponse(e *entry) {
	if e.response == nil {
		return
	}
	t.responseBytes -= int(e.responseBytes)
	t.responses.Remove(e.responseElem)
	e.response, e.responseElem, e.responseBytes = nil, nil, 0
}

// Stats describes the content of a Table.
type Stats struct {
	Keys      int
	Responses int
	Bytes     int // of the stored responses
}

// Stats returns the current statistics.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), Responses: t.responses.Len(), Bytes: t.responseBytes}
}
