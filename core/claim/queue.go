package claim

import (
	"encoding/json"
	"sync"
	"time"
)

// Limits on appends to the log stream "claims". Only requests on at-most-once
// routes create records, and a node without records appends nothing. A node
// collects records for AppendInterval(nodes) before it appends them. The
// interval grows with the number of nodes, so that the whole fleet stays within
// FleetAppendRate: with 13 nodes it is 52 ms, with 9,700 nodes 38.8 s.
const (
	FleetAppendRate   = 250 // maximum appends per second of all nodes together
	MinAppendInterval = 50 * time.Millisecond
	// AppendRetryDelay is the minimum time before a failed append is retried.
	AppendRetryDelay = time.Second
	// DefaultQueueBytes is the default memory limit of pending records while
	// the log is unavailable.
	DefaultQueueBytes = 2 << 20
	// queueOverhead is the estimated memory of a pending record without its
	// encoded text.
	queueOverhead = 128
)

// AppendInterval returns the time for which a node in a fleet of the given size
// collects records before it appends them.
func AppendInterval(nodes int) time.Duration {
	return max(MinAppendInterval, time.Duration(nodes)*time.Second/FleetAppendRate)
}

// Queue collects the records of one node into batches for the log. While more
// than one batch is pending, it accepts only outcomes and omits their
// responses, so that a batch holds 397 keys instead of 154 with responses of
// 100 bytes. When the queue is full it drops the oldest records, whose keys
// expire first. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	instance    string
	incarnation uint64
	maxBytes    int
	interval    time.Duration
	pending     []*queuedRecord
	byID        map[ID]*queuedRecord
	bytes       int
	inFlight    []byte    // encoded batch that Take returned and that is not acknowledged yet
	nextAppend  time.Time // earliest time of the next append
	dropped     uint64    // number of records that were dropped because the queue was full or they could not be encoded
}

type queuedRecord struct {
	id    ID
	keyMS int64
	text  []byte
}

// QueueOption configures a Queue.
type QueueOption func(*Queue)

// WithQueueBytes sets the memory limit of pending records.
func WithQueueBytes(n int) QueueOption {
	return func(q *Queue) { q.maxBytes = n }
}

// NewQueue returns an empty queue for the records of one node. It uses the
// append interval of a fleet of one node until SetFleetSize is called.
func NewQueue(instance string, incarnation uint64, opts ...QueueOption) *Queue {
	q := &Queue{
		instance:    instance,
		incarnation: incarnation,
		maxBytes:    DefaultQueueBytes,
		interval:    AppendInterval(1),
		byID:        map[ID]*queuedRecord{},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetFleetSize sets the number of nodes in the fleet. Records that are already
// pending wait for the new interval too, so that nodes that restart together
// and learn the fleet size late don't all append at once.
func (q *Queue) SetFleetSize(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	interval := AppendInterval(n)
	q.nextAppend = q.nextAppend.Add(interval - q.interval)
	q.interval = interval
}

// Add adds a record. An outcome replaces the pending claim of the same key.
func (q *Queue) Add(now time.Time, r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	backlogged := q.bytes > MaxBatchBytes
	if r.Response != nil && (backlogged || r.Response.bytes() > MaxRecordResponse) {
		r.Response = nil
	}
	text, err := json.Marshal(r)
	if err != nil || backlogged && r.State != RecordDone {
		q.dropped++
		return
	}
	if len(q.pending) == 0 && q.inFlight == nil && q.nextAppend.Before(now.Add(q.interval)) {
		q.nextAppend = now.Add(q.interval)
	}
	if old := q.byID[r.ID]; old != nil {
		q.bytes += len(text) - len(old.text)
		old.text = text
	} else {
		e := &queuedRecord{id: r.ID, keyMS: r.KeyMS, text: text}
		q.pending = append(q.pending, e)
		q.byID[r.ID] = e
		q.bytes += len(text) + queueOverhead
	}
	for q.bytes > q.maxBytes {
		q.removeOldest()
		q.dropped++
	}
}

// removeOldest removes and returns the oldest pending record.
func (q *Queue) removeOldest() *queuedRecord {
	e := q.pending[0]
	q.pending[0] = nil
	q.pending = q.pending[1:]
	delete(q.byID, e.id)
	q.bytes -= len(e.text) + queueOverhead
	return e
}

// Due returns the time of the next append, and false if there is nothing to
// append.
func (q *Queue) Due() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.nextAppend, q.inFlight != nil || len(q.pending) > 0
}

// Take returns the batch to append now, or nil. It returns the same batch until
// Ack is called, so that a batch is appended again if the append failed or its
// response was lost.
func (q *Queue) Take(now time.Time) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.nextAppend) {
		return nil
	}
	if q.inFlight == nil {
		q.inFlight = q.buildBatch(now)
	}
	if q.inFlight != nil {
		q.nextAppend = now.Add(q.interval)
	}
	return q.inFlight
}

func (q *Queue) buildBatch(now time.Time) []byte {
	b := Batch{Version: batchVersion, Instance: q.instance, Incarnation: q.incarnation}
	oldest := now.Add(-IndexRetention).UnixMilli()
	size := 0
	for len(q.pending) > 0 && size+len(q.pending[0].text) <= MaxBatchBytes {
		e := q.removeOldest()
		if e.keyMS < oldest {
			continue // no index retains a record of this age
		}
		size += len(e.text) + 1
		b.Records = append(b.Records, e.text)
	}
	if len(b.Records) == 0 {
		return nil
	}
	data, err := json.Marshal(b)
	if err != nil {
		q.dropped += uint64(len(b.Records))
		return nil
	}
	return data
}

// Ack records that the batch that Take returned was appended.
func (q *Queue) Ack() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inFlight = nil
}

// Fail records that the append of the batch failed or that its response was
// lost, and delays the retry.
func (q *Queue) Fail(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextAppend = now.Add(max(q.interval, AppendRetryDelay))
}

// QueueStats describes the content of a Queue.
type QueueStats struct {
	Records int
	Bytes   int
	Dropped uint64 // records that were dropped because the queue was full or they could not be encoded
}

// Stats returns the current statistics.
func (q *Queue) Stats() QueueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return QueueStats{Records: len(q.pending), Bytes: q.bytes, Dropped: q.dropped}
}
