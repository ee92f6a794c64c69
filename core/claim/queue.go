package claim

import (
	"encoding/json"
	"sync"
	"time"
)

// Limits on the appends of the fleet. Only requests on at-most-once routes give
// records, and a node without any appends nothing. A node collects records for
// Window(nodes), which grows with the fleet, so that all nodes together stay at
// FleetAppendRate: 13 nodes wait 52 ms, 9,700 nodes wait 38.8 s.
const (
	FleetAppendRate   = 250 // appends a second of all nodes to the stream claims
	MinAppendInterval = 50 * time.Millisecond
	// AppendRetryDelay is the shortest time before a failed append is repeated.
	AppendRetryDelay = time.Second
	// DefaultQueueBytes bounds the records that wait while the log is down.
	DefaultQueueBytes = 2 << 20
	// queueOverhead is the memory of a waiting record besides its text.
	queueOverhead = 128
)

// AppendInterval returns the time for which a node of a fleet collects records.
func AppendInterval(nodes int) time.Duration {
	return max(MinAppendInterval, time.Duration(nodes)*time.Second/FleetAppendRate)
}

// Queue collects the records of one node into batches. While more than a batch
// waits, it takes only outcomes without their responses, so that 397 keys fit
// into a batch instead of 154 with responses of 100 bytes. When it is full it
// drops the oldest records, which are the first to lose their use. It is safe
// for concurrent use.
type Queue struct {
	mu          sync.Mutex
	instance    string
	incarnation uint64
	maxBytes    int
	window      time.Duration
	pending     []*queued
	byID        map[ID]*queued
	bytes       int
	flight      []byte    // batch that was taken and not yet acknowledged
	next        time.Time // earliest time of the next append
	dropped     uint64
}

type queued struct {
	id    ID
	keyMS int64
	text  []byte
}

// QueueOption changes a setting of a queue.
type QueueOption func(*Queue)

// WithQueueBytes bounds the memory of waiting records.
func WithQueueBytes(n int) QueueOption {
	return func(q *Queue) { q.maxBytes = n }
}

// NewQueue returns an empty queue for the records of a node in a fleet of one.
func NewQueue(instance string, incarnation uint64, opts ...QueueOption) *Queue {
	q := &Queue{
		instance:    instance,
		incarnation: incarnation,
		maxBytes:    DefaultQueueBytes,
		window:      AppendInterval(1),
		byID:        map[ID]*queued{},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// SetFleetSize sets the size of the fleet. Records that wait already wait for the
// new window, so that nodes that restart together and learn the size late don't
// all append at once.
func (q *Queue) SetFleetSize(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := AppendInterval(n)
	q.next = q.next.Add(w - q.window)
	q.window = w
}

// Add appends a record. An outcome replaces the waiting claim of its key.
func (q *Queue) Add(now time.Time, r Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	behind := q.bytes > MaxBatchBytes
	if r.Response != nil && (behind || r.Response.bytes() > MaxRecordResponse) {
		r.Response = nil
	}
	text, err := json.Marshal(r)
	if err != nil || behind && r.State != RecordDone {
		q.dropped++
		return
	}
	if len(q.pending) == 0 && q.flight == nil && q.next.Before(now.Add(q.window)) {
		q.next = now.Add(q.window)
	}
	if old := q.byID[r.ID]; old != nil {
		q.bytes += len(text) - len(old.text)
		old.text = text
	} else {
		e := &queued{id: r.ID, keyMS: r.KeyMS, text: text}
		q.pending = append(q.pending, e)
		q.byID[r.ID] = e
		q.bytes += len(text) + queueOverhead
	}
	for q.bytes > q.maxBytes {
		q.pop()
		q.dropped++
	}
}

// pop removes the oldest record.
func (q *Queue) pop() *queued {
	e := q.pending[0]
	q.pending[0] = nil
	q.pending = q.pending[1:]
	delete(q.byID, e.id)
	q.bytes -= len(e.text) + queueOverhead
	return e
}

// Due returns the time of the next append. It reports false if none is needed.
func (q *Queue) Due() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.next, q.flight != nil || len(q.pending) > 0
}

// Take returns the batch to append now, or nil. It returns the same batch until
// Ack, so a batch whose append failed or lost its response is appended again.
func (q *Queue) Take(now time.Time) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.next) {
		return nil
	}
	if q.flight == nil {
		q.flight = q.build(now)
	}
	if q.flight != nil {
		q.next = now.Add(q.window)
	}
	return q.flight
}

func (q *Queue) build(now time.Time) []byte {
	b := Batch{Version: batchVersion, Instance: q.instance, Incarnation: q.incarnation}
	oldest := now.Add(-IndexRetention).UnixMilli()
	size := 0
	for len(q.pending) > 0 && size+len(q.pending[0].text) <= MaxBatchBytes {
		e := q.pop()
		if e.keyMS < oldest {
			continue // no index would keep it
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

// Ack says that the batch of the last Take was appended.
func (q *Queue) Ack() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.flight = nil
}

// Fail says that the append of the batch failed or that its response was lost.
func (q *Queue) Fail(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next = now.Add(max(q.window, AppendRetryDelay))
}

// QueueStats counts what a queue holds.
type QueueStats struct {
	Records int
	Bytes   int
	Dropped uint64 // records that were lost because too many waited
}

// Stats returns the current counts.
func (q *Queue) Stats() QueueStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return QueueStats{Records: len(q.pending), Bytes: q.bytes, Dropped: q.dropped}
}
