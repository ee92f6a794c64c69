package claim

import "time"

// insert adds a key to the table unless it is present. It returns false if the
// table is full.
func (t *Table) insert(e *keyState) bool {
	if t.keys[e.id] == e {
		return true
	}
	if !t.ensureCapacity() {
		return false
	}
	t.keys[e.id] = e
	// removeExpired handles each second once. A key whose second was already handled
	// is therefore listed under the next one.
	second := max(time.UnixMilli(e.keyMS).Unix(), t.expiredBefore)
	t.bySecond[second] = append(t.bySecond[second], e.id)
	return true
}

// ensureCapacity reports whether a key may be added. If the table is full it
// first removes the issued keys that finished earliest. They can't run again,
// because the issuer's window still marks them as dispatched.
func (t *Table) ensureCapacity() bool {
	for len(t.keys) >= t.maxKeys && len(t.finishedIssued) > 0 {
		t.remove(t.finishedIssued[0])
		t.finishedIssued = t.finishedIssued[1:]
	}
	return len(t.keys) < t.maxKeys
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
	for len(t.finishedIssued) > 0 && t.keys[t.finishedIssued[0]] == nil {
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

// remove removes a key. A ticket of the key can no longer be dispatched.
func (t *Table) remove(id ID) {
	e := t.keys[id]
	if e == nil {
		return
	}
	t.evictResponse(e)
	delete(t.keys, id)
}

// storeResponse stores the response of a key, unless it is nil or too large,
// and evicts the oldest responses above the memory limit.
func (t *Table) storeResponse(e *keyState, r *Response) {
	if r == nil {
		return
	}
	n := r.bytes()
	if n > t.maxResponseBytes || n > t.maxTotalResponseBytes || t.keys[e.id] != e {
		return
	}
	e.response, e.responseBytes = r, int32(n)
	e.responseElem = t.responses.PushBack(e)
	t.responseBytes += n
	for t.responseBytes > t.maxTotalResponseBytes {
		t.evictResponse(t.responses.Front().Value.(*keyState))
	}
}

// evictResponse removes the response of a key and keeps its state and status.
func (t *Table) evictResponse(e *keyState) {
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
	return Stats{Keys: len(t.keys), Responses: t.responses.Len(), Bytes: t.responseBytes}
}
