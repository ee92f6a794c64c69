package ring

import "context"

// Queue is a bounded queue of values. It is safe for concurrent use.
type Queue[T any] struct {
	c chan T
}

// New returns a ring that holds up to n values.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{c: make(chan T, n)}
}

// TryPush appends v and reports whether there was room.
func (r *Queue[T]) TryPush(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Push appends v. It waits for room until done is closed and reports whether v
// was appended.
func (r *Queue[T]) Push(done <-chan struct{}, v T) bool {
	select {
	case r.c <- v:
		return true
	case <-done:
		return false
	}
}

// Pop removes the oldest value. It waits for one until ctx ends and then
// returns the error of ctx.
func (r *Queue[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel that delivers the values, for use in a select.
func (r *Queue[T]) C() <-chan T {
	return r.c
}

// Len returns the number of values in the ring.
func (r *Queue[T]) Len() int {
	return len(r.c)
}
