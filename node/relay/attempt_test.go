package relay

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
)

const (
	// callRate is the number of calls per second at the busiest node of the largest
	// planned sites.
	callRate = 3000
	// maxBookkeepingBytes is the memory in bytes that a node in a fleet of the
	// planned size may use for bookkeeping.
	maxBookkeepingBytes = 64 << 20
)

// endAttempts registers and ends n attempts one after the other, each with a reply
// of 1 KiB. Their identifiers are consecutive numbers that start at from.
func endAttempts(table *attemptTable, from, n int, now time.Time) {
	for i := range n {
		a, _ := table.begin(fmt.Sprintf("%016d", from+i), nil, now.Add(time.Hour), now)
		a.mu.Lock()
		a.body, a.complete = make([]byte, 1<<10), true
		a.mu.Unlock()
		table.end(a, now)
	}
}

// TestEndOfAttemptDoesNotSlowDown guards against a cost of ending an attempt that
// grows with the number of attempts retained from the last minute.
func TestEndOfAttemptDoesNotSlowDown(t *testing.T) {
	const batch = 5000
	table, now := newAttemptTable(), time.Unix(1000, 0)
	var took []time.Duration
	for i := range 6 {
		began, err := metric.ProcessorTime()
		assert.NilError(t, err)
		endAttempts(table, i*batch, batch, now)
		ended, err := metric.ProcessorTime()
		assert.NilError(t, err)
		took = append(took, ended-began)
	}
	t.Logf("%d attempts took %v", batch, took)
	assert.Assert(t, took[5] < 3*took[1])
}

// TestEndedAttemptsAreSmall guards against a node that runs out of memory because
// of the attempts retained from the last minute.
func TestEndedAttemptsAreSmall(t *testing.T) {
	const n = 20_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := newAttemptTable(), time.Unix(1000, 0)
	endAttempts(table, 0, n, now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc) - int64(table.retainedBytes)
	minute := used/n*callRate*60 + maxRetainedBytes
	assert.Assert(t, minute < maxBookkeepingBytes, "the attempts of one minute use %d bytes", minute)
	runtime.KeepAlive(table)
}

// TestForgottenAttempt guards against an attempt that runs twice because its reply
// was evicted, and against identifiers that never expire.
func TestForgottenAttempt(t *testing.T) {
	table, now := newAttemptTable(), time.Unix(1000, 0)
	endAttempts(table, 0, 2*maxRetainedBytes>>10, now)
	a, isNew := table.begin(fmt.Sprintf("%016d", 0), nil, now, now)
	assert.Assert(t, !isNew)
	session := newSession(t, func(s *frame.Stream) { <-s.Context().Done() })
	s, err := session.Open(t.Context(), KindCall, nil)
	assert.NilError(t, err)
	e := a.resume(s)
	assert.Assert(t, e != nil && e.Executed == refuse.ExecutionUnknown, "%v", e)
	_, isNew = table.begin(fmt.Sprintf("%016d", 2*maxRetainedBytes>>10-1), nil, now, now)
	assert.Assert(t, !isNew)
	assert.Assert(t, table.retainedBytes <= maxRetainedBytes)

	endAttempts(table, 1<<30, 1, now.Add(attemptRetention+1))
	assert.Equal(t, len(table.byID), 1)
	assert.Equal(t, len(table.ended), 1)
	assert.Equal(t, table.retainedBytes, 1<<10)
}
