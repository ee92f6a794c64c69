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
	// busyRate is the calls per second of the busiest node of the grown sites.
	busyRate = 3000
	// keptMemory is the memory in bytes that a node of the target size may spend on
	// control.
	keptMemory = 64 << 20
)

// endAttempts lets a node run a number of attempts, one after the other, each with
// a reply of 1 KiB.
func endAttempts(table *attempts, from, n int, now time.Time) {
	for i := range n {
		a, _ := table.begin(fmt.Sprintf("%016d", from+i), nil, now.Add(time.Hour), now)
		a.mu.Lock()
		a.body, a.complete = make([]byte, 1<<10), true
		a.mu.Unlock()
		table.end(a, now)
	}
}

// TestEndOfAttemptDoesNotSlowDown guards against a call that costs the more the
// more calls were served in the last minute.
func TestEndOfAttemptDoesNotSlowDown(t *testing.T) {
	const batch = 5000
	table, now := newAttempts(), time.Unix(1000, 0)
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

// TestEndedAttemptsAreSmall guards against a node that runs out of memory by what
// it keeps of the calls of the last minute.
func TestEndedAttemptsAreSmall(t *testing.T) {
	const n = 20_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, now := newAttempts(), time.Unix(1000, 0)
	endAttempts(table, 0, n, now)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := int64(after.HeapAlloc) - int64(before.HeapAlloc) - int64(table.bytes)
	minute := used/n*busyRate*60 + keptReplies
	assert.Assert(t, minute < keptMemory, "the attempts of a minute take %d bytes", minute)
	runtime.KeepAlive(table)
}

// TestForgottenAttempt guards against an attempt that runs twice because its reply
// is no longer kept, and against identifiers that are kept for ever.
func TestForgottenAttempt(t *testing.T) {
	table, now := newAttempts(), time.Unix(1000, 0)
	endAttempts(table, 0, 2*keptReplies>>10, now)
	a, isNew := table.begin(fmt.Sprintf("%016d", 0), nil, now, now)
	assert.Assert(t, !isNew)
	session := linked(t, func(s *frame.Stream) { <-s.Context().Done() })
	s, err := session.Open(t.Context(), KindCall, nil)
	assert.NilError(t, err)
	e := a.resume(s)
	assert.Assert(t, e != nil && e.Executed == refuse.ExecutionUnknown, "%v", e)
	_, isNew = table.begin(fmt.Sprintf("%016d", 2*keptReplies>>10-1), nil, now, now)
	assert.Assert(t, !isNew)
	assert.Assert(t, table.bytes <= keptReplies)

	endAttempts(table, 1<<30, 1, now.Add(attemptKeep+1))
	assert.Equal(t, len(table.byID), 1)
	assert.Equal(t, len(table.ended), 1)
	assert.Equal(t, table.bytes, 1<<10)
}
