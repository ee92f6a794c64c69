package admit

import (
	"sort"
	"time"
)

// Item is a request at a gate.
type Item[T any] struct {
	Rank      uint32
	ChildCall bool // the request is a call made for a running request; it goes before all new requests
	Customer  string
	Weight    float64 // offered requests that this one represents (Throttle.TakeWeight)
	Deadline  time.Time
	MaxWait   time.Duration // maximum wait in the queue; 0 selects that of the queue
	Value     T             // set by the user of the gate to find the request again
}

// Cause says why an item was refused.
type Cause int

// Causes of a refusal.
const (
	QueueFull      Cause = iota // the queue was full of items that go first
	MissesDeadline              // the request can't finish before its deadline
	WaitTimeout                 // the request was queued for its maximum wait
)

// Dropped is an item that was refused and the cause.
type Dropped[T any] struct {
	Item  Item[T]
	Cause Cause
}

// Queue is a bounded queue. Calls made for running requests come first.
// Otherwise items are ordered by rank, and first in, first out within a rank.
type Queue[T any] struct {
	maxWait time.Duration
	items   []queueEntry[T] // by decreasing order, then by decreasing sequence number; the next to run is last
	seq     uint64
}

type queueEntry[T any] struct {
	item     Item[T]
	seq      uint64
	queuedAt time.Time
}

// NewQueue returns an empty queue in which an item waits at most maxWait.
func NewQueue[T any](maxWait time.Duration) *Queue[T] {
	return &Queue[T]{maxWait: maxWait}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds an item. While the queue has more than size items, it drops the
// last one in the order of the queue, and the newest of those with the same
// rank. That may be the new item.
func (q *Queue[T]) Push(now time.Time, size int, it Item[T]) []Dropped[T] {
	e := queueEntry[T]{item: it, seq: q.seq, queuedAt: now}
	q.seq++
	i := sort.Search(len(q.items), func(i int) bool { return q.items[i].item.order() <= it.order() })
	q.items = append(q.items, e)
	copy(q.items[i+1:], q.items[i:])
	q.items[i] = e
	n := len(q.items) - max(0, size)
	if n <= 0 {
		return nil
	}
	dropped := make([]Dropped[T], 0, n)
	for _, e := range q.items[:n] {
		dropped = append(dropped, Dropped[T]{Item: e.item, Cause: QueueFull})
	}
	q.remove(n)
	return dropped
}

// remove deletes the first n items. It clears the freed elements so that they
// don't retain values.
func (q *Queue[T]) remove(n int) {
	m := copy(q.items, q.items[n:])
	clear(q.items[m:])
	q.items = q.items[:m]
}

// Pop removes and returns the first item in the order of the queue. Items that
// can't meet their deadline with the expected service time, or that have
// exceeded their maximum wait, are dropped instead.
func (q *Queue[T]) Pop(now time.Time, expected time.Duration) (it Item[T], ok bool, dropped []Dropped[T]) {
	for len(q.items) > 0 {
		last := len(q.items) - 1
		e := q.items[last]
		q.items[last] = queueEntry[T]{}
		q.items = q.items[:last]
		cause, drop := q.overdue(now, expected, e)
		if !drop {
			return e.item, true, dropped
		}
		dropped = append(dropped, Dropped[T]{Item: e.item, Cause: cause})
	}
	return Item[T]{}, false, dropped
}

// RemoveOverdue drops every item that Pop would drop.
func (q *Queue[T]) RemoveOverdue(now time.Time, expected time.Duration) []Dropped[T] {
	var dropped []Dropped[T]
	kept := q.items[:0]
	for _, e := range q.items {
		if cause, drop := q.overdue(now, expected, e); drop {
			dropped = append(dropped, Dropped[T]{Item: e.item, Cause: cause})
			continue
		}
		kept = append(kept, e)
	}
	clear(q.items[len(kept):])
	q.items = kept
	return dropped
}

func (q *Queue[T]) overdue(now time.Time, expected time.Duration, e queueEntry[T]) (Cause, bool) {
	switch {
	case now.Add(expected).After(e.item.Deadline):
		return MissesDeadline, true
	case now.Sub(e.queuedAt) > q.maxWaitOf(e):
		return WaitTimeout, true
	default:
		return QueueFull, false
	}
}

// contains reports whether the item with a sequence number and order is in the
// queue.
func (q *Queue[T]) contains(seq, order uint64) bool {
	i := sort.Search(len(q.items), func(i int) bool {
		e := &q.items[i]
		return e.item.order() < order || e.item.order() == order && e.seq <= seq
	})
	return i < len(q.items) && q.items[i].seq == seq
}

// order returns the sort key of the item. An item with a lower key runs earlier
// and is dropped later.
func (it *Item[T]) order() uint64 {
	if it.ChildCall {
		return uint64(it.Rank)
	}
	return 1<<32 | uint64(it.Rank)
}

func (q *Queue[T]) maxWaitOf(e queueEntry[T]) time.Duration {
	if e.item.MaxWait > 0 {
		return e.item.MaxWait
	}
	return q.maxWait
}
