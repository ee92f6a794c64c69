package claim

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"dogwoodsill.org/core/refuse"
	"gotest.tools/v3/assert"
)

// Guards against a parser that accepts malformed keys, two texts of one issued
// key, or UUIDs that hold no time.
func TestParseErrors(t *testing.T) {
	issued := newTestNode().issue(t, "c", 1)[0].String()
	tests := []struct{ value, detail string }{
		{"", "empty"},
		{`""`, "empty"},
		{"order-17", "neither"},
		{"018cc251f40070008000000000000001", "neither"},
		{"018cc251-f400-7000-8000-00000000000g", "neither"},
		{"018cc251-f400-4000-8000-000000000001", "version 4"},
		{"018cc251-f400-7000-c000-000000000001", "variant"},
		{IssuedPrefix, "truncated"},
		{issued[:len(issued)-4], "truncated"},
		{issued + "AAAA", "truncated"},
		{issued + "=", "base64url"},
		{issued + "!", "base64url"},
		{IssuedPrefix + "\n" + issued[len(IssuedPrefix):], "base64url"},
		{IssuedPrefix + strings.Repeat("A", maxIssuedTextLen+1), "too long"},
		{IssuedPrefix + strings.Repeat("_", 56), "truncated"},
	}
	for _, tt := range tests {
		_, err := Parse(tt.value)
		assert.ErrorContains(t, err, tt.detail, tt.value)
	}
	key, err := Parse(` "` + issued + `" `)
	assert.NilError(t, err)
	assert.Equal(t, key.Instance, "n")
}

// Guards against a parser that fails on arbitrary input or accepts two texts of
// one issued key.
func FuzzParse(f *testing.F) {
	f.Add("018cc251-f400-7000-8000-000000000001")
	f.Add(newTestNode().issue(f, "c", 1)[0].String())
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err != nil {
			return
		}
		again, err := Parse(k.String())
		assert.NilError(t, err)
		assert.Equal(t, again, k)
		if k.Kind == KindIssued {
			assert.Equal(t, k.String(), strings.Trim(strings.TrimSpace(s), `"`))
		}
	})
}

// Guards against a decoder that fails on arbitrary input or accepts a record
// that no queue writes.
func FuzzDecodeBatch(f *testing.F) {
	f.Add(sampleBatch(f, "x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, _, err := DecodeBatch(data)
		if err != nil {
			return
		}
		q := NewQueue("n", 1, WithQueueBytes(1<<30))
		for i := range records {
			assert.NilError(t, records[i].validate())
			q.Add(baseTime, records[i])
		}
		_, err = NewIndex(1<<10).Apply(baseTime, data)
		assert.NilError(t, err)
	})
}

// sampleBatch returns a batch with the record of one key that ran.
func sampleBatch(t testing.TB, body string) []byte {
	q := NewQueue("n", 1)
	r := newTestNode(WithQueue(q))
	r.run(t, r.key(1), body)
	return q.Take(r.now.Add(time.Second))
}

// Guards against records that are lost after a failed append, a queue that
// grows without bound while the log is unavailable, and appends before the
// interval has elapsed.
func TestQueue(t *testing.T) {
	q := NewQueue("n", 1, WithQueueBytes(4000))
	r := newTestNode(WithQueue(q))
	r.run(t, r.key(1), "x")
	assert.Equal(t, q.Stats().Records, 1) // the outcome replaced the claim
	assert.Assert(t, q.Take(r.now) == nil)
	at, due := q.Due()
	assert.Assert(t, due)
	first := q.Take(at)
	r.run(t, r.key(2), "y")
	q.Fail(at)
	assert.Assert(t, q.Take(at.Add(AppendRetryDelay-1)) == nil)
	assert.Assert(t, bytes.Equal(q.Take(at.Add(AppendRetryDelay)), first))
	q.Ack()
	second := q.Take(at.Add(AppendRetryDelay + MinAppendInterval))
	assert.Assert(t, second != nil && !bytes.Equal(first, second))
	q.Ack()
	for n := range byte(50) {
		r.run(t, r.key(10+n), "z")
	}
	s := q.Stats()
	assert.Assert(t, s.Bytes <= 4000 && s.Dropped > 0 && int(s.Dropped)+s.Records == 50, "%+v", s)
	assert.Assert(t, q.Take(r.now.Add(time.Hour)) == nil) // too old for any index
	_, due = q.Due()
	assert.Assert(t, !due)
	q = NewQueue("n", 1)
	done := Record{State: RecordDone, Response: &Response{Body: make([]byte, MaxRecordResponse)}}
	for i := range byte(200) {
		done.ID[0] = i
		q.Add(r.now, done)
		q.Add(r.now, Record{ID: ID{i, 1}, State: RecordDispatched})
	}
	s = q.Stats() // outcomes without responses after the first batch
	assert.Assert(t, s.Dropped > 100 && s.Records > 200 && s.Bytes < 2*MaxBatchBytes, "%+v", s)
}

// Guards against a fleet that appends more often than the log permits, for
// nodes that learn the size of the fleet only after their first records.
func TestFleetAppends(t *testing.T) {
	for _, nodes := range []int{1, 13, 300, 9700} {
		q := NewQueue("n", 1)
		r := newTestNode(WithQueue(q))
		r.run(t, r.key(1), "x")
		q.SetFleetSize(nodes) // the fleet size is learned after the first record
		const span = 10 * time.Minute
		step := 10 * time.Millisecond
		appends := 0
		for at := r.now; at.Before(r.now.Add(span)); at = at.Add(step) {
			if q.Take(at) == nil {
				continue
			}
			appends++
			q.Ack()
			q.Add(at, Record{ID: ID{byte(appends)}, State: RecordDispatched, KeyMS: at.UnixMilli()})
		}
		rate := float64(appends*nodes) / span.Seconds()
		assert.Assert(t, appends > 0 && rate <= FleetAppendRate, "%d nodes: %.0f appends a second", nodes, rate)
	}
}

// Guards against an index that loses an outcome to a repeated or late claim,
// that retains records without bound, or that returns an outcome to a request
// with different content.
func TestIndex(t *testing.T) {
	q := NewQueue("n", 1)
	r := newTestNode(WithQueue(q))
	k := r.key(1)
	ticket := r.dispatch(t, k)
	claimed := q.Take(r.now.Add(time.Second))
	q.Ack()
	ticket.Finish(r.now, &Response{Status: 201, Body: []byte("x")})
	done := q.Take(r.now.Add(time.Minute))

	x := NewIndex(1 << 20)
	successor := newTestNode(WithIndex(x))
	wantRefusal(t, successor.table.Resolve(r.now, request(k)), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "no node")
	apply := func(batch []byte) {
		skipped, err := x.Apply(r.now, batch)
		assert.NilError(t, err)
		assert.Equal(t, skipped, 0)
	}
	noResponses := newTestNode(WithIndex(x), WithResponseBytes(0, 0))
	noResponses.run(t, k, "x") // only the log retains the response
	apply(claimed)
	wantRefusal(t, successor.claim(k), refuse.OutcomeUnknown, refuse.ExecutionUnknown, "dispatched") // although the key is new enough for this owner
	apply(done)
	apply(claimed) // appended again after a lost response
	assert.Equal(t, string(successor.claim(k).Response.Body), "x")
	assert.Equal(t, string(noResponses.claim(k).Response.Body), "x")
	other := request(k)
	other.Fingerprint.Path = "/q"
	wantRefusal(t, successor.table.Resolve(r.now, other), refuse.IdempotencyKeyInvalid, refuse.ExecutionUnknown, "path")
	_, ok := x.Lookup(r.now.Add(IndexRetention), other.ID())
	assert.Assert(t, !ok)

	small := NewIndex(3 * indexOverhead)
	for n := range byte(10) {
		_, err := small.Apply(r.now, fmt.Appendf(nil, `{"version":1,"records":[{"id":"%032x","state":"done","keyMs":%d,"content":"00000000.0000000000000000.0."}]}`, n+1, r.now.UnixMilli()))
		assert.NilError(t, err)
	}
	assert.Equal(t, small.Len(), 3)
	_, err := small.Apply(r.now, []byte(`{"version":2}`))
	assert.ErrorContains(t, err, "version 2")
	skipped, err := small.Apply(r.now, []byte(`{"version":1,"records":[{"id":"00"},{"state":"done"}]}`))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
}

func benchTable(b *testing.B, n int) (*testNode, []Key) {
	issuer, _ := NewIssuer("n", 1, baseTime)
	r := &testNode{issuer: issuer, table: NewTable(issuer, baseTime, WithMaxEntries(n+1)), own: Ownership{Owner: true, LeaseValid: true}, now: baseTime.Add(time.Minute)}
	keys := make([]Key, n)
	for i := range keys {
		keys[i] = r.key(0)
		keys[i].UUID[13], keys[i].UUID[14], keys[i].UUID[15] = byte(i>>16), byte(i>>8), byte(i)
		r.run(b, keys[i], "response")
	}
	return r, keys
}

func BenchmarkClaim(b *testing.B) {
	for _, n := range []int{1e3, 1e5} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r, keys := benchTable(b, n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprint("repeat/", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.claim(keys[i%n])
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/key")
		})
		b.Run(fmt.Sprint("run/", n), func(b *testing.B) {
			k := r.key(1)
			b.ReportAllocs()
			for b.Loop() {
				ticket := r.claim(k).Ticket
				_ = ticket.Dispatch(r.now, r.own)
				ticket.Finish(r.now, &Response{Status: 201})
				r.table.remove(ticket.entry.id)
			}
		})
	}
}

func BenchmarkIssue(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, _ := benchTable(b, 0)
			for b.Loop() {
				r.now = r.now.Add(time.Second)
				r.issue(b, "c", n)
			}
		})
	}
}
