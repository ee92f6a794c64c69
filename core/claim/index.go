package claim

import (
	"sync"
	"time"
)

// Limits of an index.
const (
	// IndexRetention is the age of a key at which its record is removed. It
	// exceeds MaxAge so that a caller that repeats a key that is too old to run
	// can still learn its outcome.
	IndexRetention = 2 * MaxAge
	// DefaultIndexBytes is the default memory limit of an index.
	DefaultIndexBytes = 4 << 20
	// indexOverhead is the estimated memory of a record without its response.
	indexOverhead = 256
)

// Index holds the records of the log stream "claims" by key, so that a node can
// report the outcome of keys that other owners ran. A record proves that a key
// was dispatched; a missing record never proves that it was not. It is safe for
// concurrent use.
type Index struct {
	mu             sync.Mutex
	maxBytes       int
	records        map[ID]*indexEntry
	insertionOrder []ID // oldest first
	bytes          int
}

type indexEntry struct {
	Record
	expires time.Time
}

func (e *indexEntry) bytes() int {
	if e.Response == nil {
		return indexOverhead
	}
	return indexOverhead + e.Response.bytes()
}

// NewIndex returns an empty index that uses up to n bytes. When it is full it
// evicts the records that were added first.
func NewIndex(n int) *Index {
	return &Index{maxBytes: n, records: map[ID]*indexEntry{}}
}

// Apply adds the records of one batch from the log. It returns the number of
// records in the batch that are invalid, or a *RecordError if the batch can't
// be decoded. Applying a batch again or out of order has no further effect.
func (x *Index) Apply(now time.Time, data []byte) (skipped int, err error) {
	records, skipped, err := DecodeBatch(data)
	if err != nil {
		return 0, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := range records {
		x.add(now, &records[i])
	}
	x.evict(now)
	return skipped, nil
}

func (x *Index) add(now time.Time, r *Record) {
	e := &indexEntry{Record: *r, expires: now.Add(IndexRetention)}
	if byKey := r.keyTime().Add(IndexRetention); byKey.Before(e.expires) {
		e.expires = byKey
	}
	if !now.Before(e.expires) {
		return
	}
	old := x.records[r.ID]
	if old != nil && (old.State == RecordDone || r.State != RecordDone) {
		return // a known outcome is never replaced
	}
	if old == nil {
		x.insertionOrder = append(x.insertionOrder, r.ID)
	} else {
		x.bytes -= old.bytes()
	}
	x.records[r.ID] = e
	x.bytes += e.bytes()
}

// evict removes the oldest records while they are expired or the index exceeds
// its memory limit.
func (x *Index) evict(now time.Time) {
	for len(x.insertionOrder) > 0 {
		e := x.records[x.insertionOrder[0]]
		if x.bytes <= x.maxBytes && now.Before(e.expires) {
			return
		}
		x.bytes -= e.bytes()
		delete(x.records, x.insertionOrder[0])
		x.insertionOrder = x.insertionOrder[1:]
	}
}

// Lookup returns the record of a key, unless it has expired.
func (x *Index) Lookup(now time.Time, id ID) (Record, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.records[id]
	if e == nil || !now.Before(e.expires) {
		return Record{}, false
	}
	return e.Record, true
}

// Len returns the number of records, including expired ones that were not
// evicted yet.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.records)
}
