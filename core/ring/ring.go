package ring

import "context"

// Queue is a bounded FIFO queue. It is safe for concurrent use.
type Queue[T any] struct {
	c chan T
}

// New returns a queue that holds up to n values.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{c: make(chan T, n)}
}

// TryPush appends v without blocking. It reports false if the queue is full.
func (q *Queue[T]) TryPush(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		return false
	}
}

// Push appends v. It blocks while the queue is full, and reports false if done is
// closed first.
func (q *Queue[T]) Push(done <-chan struct{}, v T) bool {
	select {
	case q.c <- v:
		return true
	case <-done:
		return false
	}
}

// Pop removes and returns the oldest value. It blocks while the queue is empty,
// and returns the error of ctx if ctx ends first.
func (q *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-q.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel from which values are received, for use in a select.
func (q *Queue[T]) C() <-chan T {
	return q.c
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int {
	return len(q.c)
}
