package super

import (
	"context"
	"sync"
)

// Drainer counts running work, so that a shutdown can refuse new work and wait
// for the running work to end. The zero value is ready to use. It is safe for
// concurrent use.
type Drainer struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed when closed is set and n is 0
}

// Enter registers the start of a piece of work. It reports false, without
// registering any, after Drain or Close was called.
func (d *Drainer) Enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.n++
	return true
}

// Leave registers the end of a piece of work that Enter registered.
func (d *Drainer) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n--
	if d.closed && d.n == 0 {
		close(d.idle)
	}
}

// Draining reports whether Drain or Close was called.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// Close refuses new work from now on.
func (d *Drainer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.closed = true
	d.idle = make(chan struct{})
	if d.n == 0 {
		close(d.idle)
	}
}

// Drain refuses new work and waits for running work to end. It returns the error
// of ctx if ctx ends first.
func (d *Drainer) Drain(ctx context.Context) error {
	d.Close()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
