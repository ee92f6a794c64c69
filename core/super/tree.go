package super

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"
)

// The restart delay of a failing task doubles from the minimum to the maximum.
const (
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// backoffResetTime is how long a task must run for its restart delay to return
	// to the minimum.
	backoffResetTime = 30 * time.Second
)

// Task is a background task. It must return when its context ends. The
// supervisor restarts it after an error and not after nil.
type Task func(ctx context.Context) error

// PanicError is the error of a task that panicked.
type PanicError struct {
	Task  string
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("background task %s panicked: %v\n%s", e.Task, e.Value, e.Stack)
}

// Status is the state of one task.
type Status struct {
	Name     string `json:"name"`
	Running  bool   `json:"running"`
	Restarts int    `json:"restarts"`
	LastErr  string `json:"lastError,omitempty"`
}

// Tree is a supervisor with its tasks and subtrees. It is safe for concurrent
// use.
type Tree struct {
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	onErr  func(task string, err error)
	wg     sync.WaitGroup

	mu    sync.Mutex
	tasks []*task
	subs  []*Tree
}

type task struct {
	Status
}

// Option configures a Tree.
type Option func(*Tree)

// WithErrorHook sets a function that is called with each error that ends a task,
// except context.Canceled.
func WithErrorHook(f func(task string, err error)) Option {
	return func(t *Tree) { t.onErr = f }
}

// New returns a tree without tasks. Tasks started in it end when ctx ends.
func New(ctx context.Context, name string, opts ...Option) *Tree {
	t := &Tree{name: name, onErr: func(string, error) {}}
	t.ctx, t.cancel = context.WithCancel(ctx)
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// NewSubtree adds a subtree, which stops with its parent.
func (t *Tree) NewSubtree(name string) *Tree {
	s := New(t.ctx, t.name+"/"+name, WithErrorHook(t.onErr))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs = append(t.subs, s)
	return s
}

// Start runs a task in the background. It is restarted after each error until it
// returns nil or the tree stops.
func (t *Tree) Start(name string, run Task) {
	tk := &task{Status: Status{Name: t.name + "/" + name, Running: true}}
	t.mu.Lock()
	t.tasks = append(t.tasks, tk)
	t.mu.Unlock()
	t.wg.Go(func() { t.supervise(tk, run) })
}

// Stop cancels all tasks and waits until they have returned.
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

// Status returns the state of all tasks, those of subtrees last.
func (t *Tree) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, tk := range t.tasks {
		out = append(out, tk.Status)
	}
	for _, s := range t.subs {
		out = append(out, s.Status()...)
	}
	return out
}

func (t *Tree) supervise(tk *task, run Task) {
	delay := minRestartDelay
	for {
		started := time.Now()
		err := runOnce(t.ctx, tk.Name, run)
		if t.ctx.Err() != nil || err == nil {
			t.recordExit(tk, nil)
			return
		}
		if time.Since(started) > backoffResetTime {
			delay = minRestartDelay
		}
		t.recordExit(tk, err)
		if !errors.Is(err, context.Canceled) {
			t.onErr(tk.Name, err)
		}
		if !Pause(t.ctx, delay) {
			return
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

func (t *Tree) recordExit(tk *task, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		tk.Running = false
		return
	}
	tk.Restarts++
	tk.LastErr = err.Error()
}

func runOnce(ctx context.Context, name string, run Task) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Task: name, Value: v, Stack: debug.Stack()}
		}
	}()
	return run(ctx)
}

// Guard calls f and returns its error, or a *PanicError if f panics, so that the panic of
// one goroutine doesn't end the process.
func Guard(name string, f func() error) error {
	return runOnce(context.Background(), name, func(context.Context) error { return f() })
}

// Go runs f in a goroutine. If f panics, onPanic is called with a *PanicError.
func Go(name string, onPanic func(error), f func()) {
	go func() {
		err := Guard(name, func() error {
			f()
			return nil
		})
		if err != nil {
			onPanic(err)
		}
	}()
}

// Pause waits for a duration. It reports false if ctx ends first.
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

// Repeat calls f until ctx ends. After an error of f it calls onErr and pauses.
func Repeat(ctx context.Context, pause time.Duration, onErr func(error), f func(ctx context.Context) error) error {
	for ctx.Err() == nil {
		if err := f(ctx); err != nil && ctx.Err() == nil {
			onErr(err)
			Pause(ctx, pause)
		}
	}
	return nil
}

// Every calls f periodically until ctx ends. It is the body of a task with a
// fixed period. It reads the clock at each call, because the time that a ticker
// sends is stale after the process was suspended.
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
