package lines

import (
	"context"
	"io"
	"sync"
	"time"

	"dogwoodsill.org/core/super"
)

const (
	// DefaultBuffer is the buffer size in bytes. It holds about 1700 lines of 0.3 KB
	// and is small compared to the memory of a process.
	DefaultBuffer = 512 << 10
	// batchDelay is how long lines are collected before they are written together.
	// Lines buffered in that time are lost when the process is killed.
	batchDelay = 20 * time.Millisecond
)

// Writer buffers whole lines for a slow output and writes them in the
// background. Write never blocks: lines that don't fit into the buffer are
// dropped. It is safe for concurrent use.
type Writer struct {
	mu       sync.Mutex
	buf      []byte
	limit    int
	dropped  int64
	writing  bool
	writeErr error
	wake     chan struct{}
	tree     *super.Tree
}

// Option configures a Writer.
type Option func(*Writer)

// WithBuffer sets the size of the buffer in bytes.
func WithBuffer(n int) Option {
	return func(w *Writer) { w.limit = n }
}

// NewWriter returns a Writer that writes lines to out until Close.
func NewWriter(out io.Writer, opts ...Option) *Writer {
	w := &Writer{limit: DefaultBuffer, wake: make(chan struct{}, 1), tree: super.New(context.Background(), "log")}
	for _, opt := range opts {
		opt(w)
	}
	w.tree.Start("write", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-w.wake:
			}
			super.Pause(ctx, batchDelay)
			w.flush(out)
		}
	})
	return w
}

// Write implements io.Writer. Each call must pass whole lines, and counts as one
// line if it is dropped.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > w.limit {
		w.dropped++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	select {
	case w.wake <- struct{}{}:
	default: // a write is already pending
	}
	return len(p), nil
}

// flush writes the buffered lines to out.
func (w *Writer) flush(out io.Writer) {
	w.mu.Lock()
	data := w.buf
	w.buf, w.writing = nil, len(data) > 0
	w.mu.Unlock()
	if len(data) == 0 {
		return // an earlier flush has already written these lines
	}
	_, err := out.Write(data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if err != nil {
		w.writeErr = err
	}
}

// Dropped returns the number of calls of Write whose lines didn't fit into the
// buffer.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close waits until all buffered lines are written or ctx ends. It returns the
// last error of the underlying writer.
func (w *Writer) Close(ctx context.Context) error {
	for w.hasPending() {
		if ctx.Err() != nil {
			return ctx.Err() // out blocks, and stopping the background task would block too
		}
		super.Pause(ctx, batchDelay)
	}
	w.tree.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeErr
}

func (w *Writer) hasPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buf) > 0 || w.writing
}
