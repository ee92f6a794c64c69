package super

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// Restart delays of a failing duty. They double from the first to the last.
const (
	minDelay = 50 * time.Millisecond
	maxDelay = 5 * time.Second
	// steadyTime is how long a duty must run before its delay starts anew.
	steadyTime = 30 * time.Second
)

// Task is a long-lived task. It ends when its context ends. The supervisor
// starts it again after an error and leaves it ended after nil.
type Task func(ctx context.Context) error

// PanicError is the error of a duty that panicked.
type PanicError struct {
	Task  string
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("duty %s panicked: %v\n%s", e.Task, e.Value, e.Stack)
}

// Status is the state of one duty.
type Status struct {
	Name     string `json:"name"`
	Running  bool   `json:"running"`
	Restarts int    `json:"restarts"`
	LastErr  string `json:"lastError,omitempty"`
}

// Tree is a supervisor with its duties and subtrees. It is safe for concurrent
// use.
type Tree struct {
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	onErr  func(duty string, err error)
	wg     sync.WaitGroup

	mu     sync.Mutex
	duties []*duty
	subs   []*Tree
}

type duty struct {
	Status
}

// Option configures a tree.
type Option func(*Tree)

// WithErrorHook calls f with each error that ends a duty.
func WithErrorHook(f func(duty string, err error)) Option {
	return func(t *Tree) { t.onErr = f }
}

// New returns a tree without duties. Its duties end when ctx ends.
func New(ctx context.Context, name string, opts ...Option) *Tree {
	t := &Tree{name: name, onErr: func(string, error) {}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// NewSubtree adds a subtree that stops with its parent.
func (t *Tree) NewSubtree(name string) *Tree {
	s := New(t.ctx, t.name+"/"+name, WithErrorHook(t.onErr))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs = append(t.subs, s)
	return s
}

// Start runs a duty until the tree stops.
func (t *Tree) Start(name string, run Task) {
	d := &duty{Status: Status{Name: t.name + "/" + name, Running: true}}
	t.mu.Lock()
	t.duties = append(t.duties, d)
	t.mu.Unlock()
	t.wg.Go(func() { t.supervise(d, run) })
}

// Stop ends all duties and waits for them.
func (t *Tree) Stop() {
	t.cancel()
	t.mu.Lock()
	subs := t.subs
	t.mu.Unlock()
	for _, s := range subs {
		s.Stop()
	}
	t.wg.Wait()
}

// Status returns the state of every duty of the tree, its own first.
func (t *Tree) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, d := range t.duties {
		out = append(out, d.Status)
	}
	for _, s := range t.subs {
		out = append(out, s.Status()...)
	}
	return out
}

func (t *Tree) supervise(d *duty, run Task) {
	delay := minDelay
	for {
		started := time.Now()
		err := runOnce(t.ctx, d.Name, run)
		if t.ctx.Err() != nil || err == nil {
			t.note(d, nil)
			return
		}
		if time.Since(started) > steadyTime {
			delay = minDelay
		}
		t.note(d, err)
		if !errors.Is(err, context.Canceled) {
			t.onErr(d.Name, err)
		}
		if !Pause(t.ctx, delay) {
			return
		}
		delay = min(2*delay, maxDelay)
	}
}

func (t *Tree) note(d *duty, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		d.Running = false
		return
	}
	d.Restarts++
	d.LastErr = err.Error()
}

func runOnce(ctx context.Context, name string, run Task) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Task: name, Value: v, Stack: debug.Stack()}
		}
	}()
	return run(ctx)
}

// Pause waits for a duration. It reports false if ctx ended before.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Repeat calls f until ctx ends. It passes the errors of f to onErr and pauses
// after each.
func Repeat(ctx context.Context, pause time.Duration, onErr func(error), f func(ctx context.Context) error) error {
	for ctx.Err() == nil {
		if err := f(ctx); err != nil && ctx.Err() == nil {
			onErr(err)
			Pause(ctx, pause)
		}
	}
	return nil
}

// Every calls f each period until ctx ends. It is the body of a duty that works
// at fixed times. The time is read when f is called: the one that a ticker sends
// is old after a pause of the process.
func Every(ctx context.Context, period time.Duration, f func(now time.Time)) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			f(time.Now())
		}
	}
}
