package claim

import (
	"sync"
	"time"
)

// Limits of an index.
const (
	// IndexRetention is the age of a key after which its record is dropped. A caller
	// that repeats a key that became too old to run can still get its outcome.
	IndexRetention = 2 * MaxAge
	// DefaultIndexBytes bounds the records in an index.
	DefaultIndexBytes = 4 << 20
	// indexOverhead is the memory of a record besides its response.
	indexOverhead = 256
)

// Index holds the records of the stream claims by key, so that a later owner
// can tell the outcome of keys that an earlier one ran. It proves that a key
// was dispatched, never that it was not. It is safe for concurrent use.
type Index struct {
	mu       sync.Mutex
	maxBytes int
	records  map[ID]*indexed
	order    []ID // oldest first
	bytes    int
}

type indexed struct {
	Record
	expires time.Time
}

func (e *indexed) bytes() int {
	if e.Response == nil {
		return indexOverhead
	}
	return indexOverhead + e.Response.bytes()
}

// NewIndex returns an empty index that takes up to n bytes. When it is full it
// drops the records that were added first.
func NewIndex(n int) *Index {
	return &Index{maxBytes: n, records: map[ID]*indexed{}}
}

// Apply adds one record of the stream, which is a batch. It returns the number
// of claims and outcomes in it that could not be used, or a *RecordError if the
// batch can't be read. Repeated and reordered batches have no further effect.
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
	x.trim(now)
	return skipped, nil
}

func (x *Index) add(now time.Time, r *Record) {
	e := &indexed{Record: *r, expires: now.Add(IndexRetention)}
	if byKey := r.time().Add(IndexRetention); byKey.Before(e.expires) {
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
		x.order = append(x.order, r.ID)
	} else {
		x.bytes -= old.bytes()
	}
	x.records[r.ID] = e
	x.bytes += e.bytes()
}

// trim drops records that expired or don't fit.
func (x *Index) trim(now time.Time) {
	for len(x.order) > 0 {
		e := x.records[x.order[0]]
		if x.bytes <= x.maxBytes && now.Before(e.expires) {
			return
		}
		x.bytes -= e.bytes()
		delete(x.records, x.order[0])
		x.order = x.order[1:]
	}
}

// Lookup returns the record of a key.
func (x *Index) Lookup(now time.Time, id ID) (Record, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.records[id]
	if e == nil || !now.Before(e.expires) {
		return Record{}, false
	}
	return e.Record, true
}

// Len returns the number of records.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.records)
}
