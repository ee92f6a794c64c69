package lines

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// reader is an output that records what is written and delays each write.
type reader struct {
	mu     sync.Mutex
	text   strings.Builder
	writes int
	delay  time.Duration
	err    error
}

func (r *reader) Write(p []byte) (int, error) {
	time.Sleep(r.delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
	_, _ = r.text.Write(p)
	return len(p), r.err
}

// read returns the number of recorded lines and of writes.
func (r *reader) read() (lines, writes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.text.String(), "line\n"), r.writes
}

// TestWriter guards against logging that blocks on a slow output, and against
// lines that are lost without being counted as dropped.
func TestWriter(t *testing.T) {
	errPipe := errors.New("broken pipe")
	for _, test := range []struct {
		name    string
		reader  *reader
		lines   int
		apart   time.Duration // interval between lines
		buffer  int
		wait    time.Duration // timeout of Close
		written int
		dropped int64
		err     error
	}{
		{"all in one write", &reader{}, 50, 0, DefaultBuffer, time.Second, 50, 0, nil},
		{"one write while lines come", &reader{}, 10, time.Millisecond, DefaultBuffer, time.Second, 10, 0, nil},
		{"slow reader", &reader{delay: time.Minute}, 10, 0, DefaultBuffer, time.Hour, 10, 0, nil},
		{"full buffer", &reader{}, 10, 0, 4 * len("line\n"), time.Second, 4, 6, nil},
		{"stuck reader", &reader{delay: time.Hour}, 10, 0, DefaultBuffer, time.Second, 0, 0, context.DeadlineExceeded},
		{"broken reader", &reader{err: errPipe}, 1, 0, DefaultBuffer, time.Second, 1, 0, errPipe},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWriter(test.reader, WithBuffer(test.buffer))
				began := time.Now()
				for range test.lines {
					_, err := w.Write([]byte("line\n"))
					assert.NilError(t, err)
					time.Sleep(test.apart)
				}
				assert.Equal(t, time.Since(began), time.Duration(test.lines)*test.apart)
				ctx, cancel := context.WithTimeout(t.Context(), test.wait)
				defer cancel()
				assert.Assert(t, errors.Is(w.Close(ctx), test.err))
				written, writes := test.reader.read()
				assert.Equal(t, written, test.written)
				assert.Assert(t, writes <= 1)
				assert.Equal(t, w.Dropped(), test.dropped)
				time.Sleep(2 * time.Hour) // unblocks the stuck reader
				w.tree.Stop()
			})
		})
	}
}

// TestLimiter guards against an unlimited flood of lines, and against a limit
// that drops lines of a short burst.
func TestLimiter(t *testing.T) {
	start := time.Unix(1000, 0)
	type step struct {
		after   time.Duration
		asked   int
		allowed int
	}
	for _, test := range []struct {
		name  string
		rate  int
		steps []step
	}{
		{"burst of a second", 10, []step{{0, 15, 10}}},
		{"goes on at the rate", 10, []step{{0, 15, 10}, {500 * time.Millisecond, 15, 5}, {time.Hour, 15, 10}}},
		{"no bound", 0, []step{{0, 1000, 1000}}},
		{"clock goes back", 10, []step{{time.Second, 15, 10}, {0, 5, 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLimiter(test.rate)
			asked, allowed := 0, 0
			for i, s := range test.steps {
				n := 0
				for range s.asked {
					if l.Allow(start.Add(s.after)) {
						n++
					}
				}
				assert.Equal(t, n, s.allowed, "step %d", i)
				asked, allowed = asked+s.asked, allowed+n
			}
			assert.Equal(t, l.Dropped(), int64(asked-allowed))
		})
	}
}
