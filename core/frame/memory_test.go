package frame

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testMemory is a Memory of limit bytes that is full beyond half of them.
type testMemory struct {
	mu          sync.Mutex
	limit, used int64
}

func (m *testMemory) Take(n int64, _ time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += n
	return m.used <= m.limit
}

func (m *testMemory) Shrink(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

func (m *testMemory) Full() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used > m.limit/2
}

func (m *testMemory) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// TestUnreadBytesAreBounded guards against streams of several sessions that together hold more
// unread bytes than the process may use, and against bytes that stay counted afterwards.
func TestUnreadBytesAreBounded(t *testing.T) {
	const sessions, limit = 4, 300 << 10
	for _, test := range []struct {
		name  string
		bytes int // that each peer sends to a reader that has stopped
	}{
		{"exhausted", 200 << 10},
		{"full and the readers have stopped", 70 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := &testMemory{limit: limit}
			reset := make(chan error, sessions)
			stopped := func(s *Stream) {
				<-s.Context().Done()
				reset <- context.Cause(s.Context())
			}
			for range sessions {
				a, b := tcpPair(t)
				c, _ := newSessionPair(t, a, b, stopped, WithMemory(m))
				s, err := c.Open(t.Context(), 1, nil)
				assert.NilError(t, err)
				_, _ = s.Write(make([]byte, test.bytes)) // the stream may be reset meanwhile
			}
			var e *ResetError
			assert.Assert(t, errors.As(<-reset, &e) && e.Code == CodeStalled)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if m.Full() {
					return poll.Continue("%d bytes in use", m.inUse())
				}
				return poll.Success()
			})
		})
	}
}
