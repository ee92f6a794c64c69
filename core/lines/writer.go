package lines

import (
	"context"
	"io"
	"sync"
	"time"

	"dogwoodsill.org/core/super"
)

const (
	// DefaultBuffer is the size in bytes of what waits for the reader: some
	// thousand lines, little beside the memory of a process.
	DefaultBuffer = 512 << 10
	// gatherTime is how long lines are gathered, so that many are one write. Lines
	// of the last moment are lost when a process is killed.
	gatherTime = 20 * time.Millisecond
)

// Writer passes whole lines on to a slower writer. Write never waits: lines
// beyond the buffer are left out. It is safe for concurrent use.
type Writer struct {
	mu      sync.Mutex
	buf     []byte
	limit   int
	leftOut int64
	writing bool
	failed  error
	wake    chan struct{}
	tree    *super.Tree
}

// Option changes a writer.
type Option func(*Writer)

// WithBuffer sets the size of the buffer in bytes.
func WithBuffer(n int) Option {
	return func(w *Writer) { w.limit = n }
}

// NewWriter returns a writer that passes lines on to out until Close.
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
			super.Pause(ctx, gatherTime)
			w.pass(out)
		}
	})
	return w
}

// Write implements io.Writer. Each call holds whole lines.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(p) > w.limit {
		w.leftOut++
		return len(p), nil
	}
	w.buf = append(w.buf, p...)
	select {
	case w.wake <- struct{}{}:
	default: // a write is due already
	}
	return len(p), nil
}

// pass writes what waits.
func (w *Writer) pass(out io.Writer) {
	w.mu.Lock()
	data := w.buf
	w.buf, w.writing = nil, len(data) > 0
	w.mu.Unlock()
	if len(data) == 0 {
		return // lines that came while others were gathered went with them
	}
	_, err := out.Write(data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
	if err != nil {
		w.failed = err
	}
}

// Dropped returns the number of lines that found no room.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leftOut
}

// Close waits until what waits is written, or until ctx ends. It returns the
// last error of the writer below.
func (w *Writer) Close(ctx context.Context) error {
	for w.waits() {
		if ctx.Err() != nil {
			return ctx.Err() // the reader is stuck, and so is the duty
		}
		super.Pause(ctx, gatherTime)
	}
	w.tree.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

func (w *Writer) waits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.buf) > 0 || w.writing
}
