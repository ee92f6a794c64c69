package budget

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEviction guards against a full pool in which callers keep memory without progress, and
// against an ordinary caller that has to give way to them.
func TestEviction(t *testing.T) {
	const kib = 1 << 10
	start := time.Unix(1000, 0)
	type conn struct {
		name, customer string
		bytes          int64
		progress       time.Duration // after start
	}
	ordinary := conn{"ordinary", "archive", 8 * kib, 9900 * time.Millisecond}
	for _, test := range []struct {
		name    string
		conns   []conn
		trickle string // sends a byte a second
		want    []string
		granted bool // the request for 200 KiB at 10 s
	}{
		{"room", []conn{ordinary, {"stalls", "", 500 * kib, 0}}, "", nil, true},
		{"the longest without progress", []conn{ordinary, {"newer", "", 400 * kib, 3 * time.Second}, {"older", "", 300 * kib, 0}}, "", []string{"older"}, false},
		{"a byte a second is no progress", []conn{ordinary, {"newer", "", 400 * kib, 3 * time.Second}, {"older", "", 300 * kib, 0}}, "older", []string{"older"}, false},
		{"memory before idle connections", []conn{ordinary, {"idle", "", 0, 0}, {"stalls", "", 700 * kib, 5 * time.Second}}, "", []string{"stalls"}, false},
		{"the customer that holds most", []conn{ordinary, {"one", "press", 390 * kib, 9500 * time.Millisecond}, {"two", "mill", 200 * kib, 9500 * time.Millisecond}, {"three", "mill", 210 * kib, 9500 * time.Millisecond}}, "", []string{"three"}, false},
		{"all make progress and hold little", slices.Repeat([]conn{{"small", "", 64 * kib, 9500 * time.Millisecond}}, 13), "", nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(1024*kib, 0)
			var evicted []string
			accounts := map[string]*Account{}
			for _, c := range test.conns {
				a, ok := p.Open(kib, func() { evicted = append(evicted, c.name) }, start)
				assert.Assert(t, ok)
				assert.Assert(t, a.Grow(c.bytes, start))
				a.SetCustomer(c.customer)
				a.Progress(start.Add(c.progress))
				accounts[c.name] = a
			}
			for s := range 10 {
				accounts[test.trickle].Receive(1, start.Add(time.Duration(s)*time.Second))
			}
			now := start.Add(10 * time.Second)
			a, ok := p.Open(kib, func() {}, now)
			assert.Assert(t, ok, "a new connection finds no room")
			assert.Equal(t, a.Grow(200*kib, now), test.granted)
			assert.DeepEqual(t, evicted, test.want)
			for _, name := range evicted {
				accounts[name].Close()
			}
			if len(evicted) > 0 {
				assert.Assert(t, a.Grow(200*kib, now), "no room after the eviction")
			}
		})
	}
}

// TestBodiesLeaveRoom guards against bodies that leave no room for ordinary requests, and against
// one that makes progress and has to give way to another although that can be streamed.
func TestBodiesLeaveRoom(t *testing.T) {
	const kib = 1 << 10
	now := time.Unix(1000, 0)
	p := New(1024*kib, 0)
	upload, _ := p.Open(kib, func() { t.Error("an upload gave way to another") }, now)
	for upload.GrowBody(32*kib, now) {
		upload.Progress(now)
	}
	other, ok := p.Open(kib, func() {}, now)
	assert.Assert(t, ok)
	assert.Assert(t, !other.GrowBody(32*kib, now))
	assert.Assert(t, other.Grow(200*kib, now), "no room for an ordinary request: %+v", p.Stats())
}

// TestBodiesSpareIdleConnections guards against uploads in progress that use the part of bodies, so
// that each further body closes idle connections, whose memory would not make room for it.
func TestBodiesSpareIdleConnections(t *testing.T) {
	const kib = 1 << 10
	start := time.Unix(1000, 0)
	p := New(1024*kib, 0)
	evicted := 0
	for range 4 {
		_, ok := p.Open(kib, func() { evicted++ }, start)
		assert.Assert(t, ok)
	}
	now := start.Add(10 * time.Second)
	upload, _ := p.Open(kib, func() { t.Error("an upload gave way to another") }, now)
	for upload.GrowBody(32*kib, now) {
		upload.Progress(now)
	}
	assert.Equal(t, evicted, 0, "idle connections gave way to a body: %+v", p.Stats())
}

// TestIdleConnectionsMakeRoomForBodies guards against idle connections that occupy the part of
// bodies and keep all bodies out.
func TestIdleConnectionsMakeRoomForBodies(t *testing.T) {
	const kib = 1 << 10
	start := time.Unix(1000, 0)
	p := New(1024*kib, 0)
	var idle []*Account
	for range 64 {
		var a *Account
		a, ok := p.Open(10*kib, func() { idle = append(idle, a) }, start)
		assert.Assert(t, ok)
	}
	now := start.Add(10 * time.Second)
	upload, _ := p.Open(kib, func() {}, now)
	upload.GrowBody(32*kib, now)
	for _, a := range idle {
		a.Close()
	}
	assert.Assert(t, upload.GrowBody(32*kib, now), "no room for a body: %+v", p.Stats())
}

// TestBodySearchLeavesRequestSearch guards against a body that found no account to give way and
// keeps the pool from searching for a request, for which more accounts give way.
func TestBodySearchLeavesRequestSearch(t *testing.T) {
	const kib = 1 << 10
	now := time.Unix(1000, 0)
	p := New(1024*kib, 0)
	evicted := 0
	large, _ := p.Open(0, func() { evicted++ }, now)
	assert.Assert(t, large.Grow(896*kib, now))
	other, _ := p.Open(0, func() {}, now)
	assert.Assert(t, !other.GrowBody(32*kib, now))
	now = now.Add(time.Millisecond)
	other.Grow(32*kib, now)
	assert.Equal(t, evicted, 1, "the largest account did not give way: %+v", p.Stats())
}

// TestBytesReturn guards against bytes that stay counted after their account is closed, and
// against more accounts than permitted.
func TestBytesReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(1<<20, 2)
	a, _ := p.Open(100, func() {}, now)
	assert.Assert(t, a.Grow(1000, now))
	a.Shrink(400)
	assert.Equal(t, p.Stats().Bytes, int64(700))
	b, _ := p.Open(100, func() {}, now)
	_, ok := p.Open(100, func() {}, now)
	assert.Assert(t, !ok)
	a.Close()
	a.Close()
	b.Close()
	assert.Equal(t, p.Stats(), Stats{Refused: 1})
	assert.Assert(t, !a.Grow(1, now))
	var none *Account
	assert.Assert(t, none.Grow(1<<40, now))
	none.Close()
}
