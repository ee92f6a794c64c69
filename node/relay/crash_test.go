package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
)

// startedCall returns a call of a path that was sent to a process of the upstream.
func startedCall(path string, p Process, g *crash.Registry, now time.Time) *upstreamCall {
	c := &upstreamCall{head: &CallHead{Method: http.MethodGet, URI: path}, body: &requestBody{}, process: p, began: now}
	c.body.sum.End()
	c.conn.Store(&upstreamConn{})
	if f, ok := c.fingerprint(); ok && g.KnowsHead(f.Head) {
		c.head.Fingerprint = &f
	}
	return c
}

// TestSuspectsOfEndedProcess guards against refusing requests that only ran beside
// one that ends upstream processes.
func TestSuspectsOfEndedProcess(t *testing.T) {
	g := crash.NewRegistry(nil)
	now := time.Now()
	isRefused := func(path string) bool {
		f, _ := startedCall(path, Process{}, g, now).fingerprint()
		return g.Refuses(f, now)
	}
	for i := range 4 {
		w := newCrashWatch()
		w.registry, w.instance = g, "press-1"
		p := Process{ID: "p", StartedMS: int64(i + 1)}
		crashing, beside, finished := startedCall("/crash", p, g, now), startedCall("/beside", p, g, now), startedCall("/finished", p, g, now)
		if e := w.begin(crashing, now); e != nil {
			assert.Assert(t, isRefused("/crash"), "refused as %v", e)
		}
		isolated := w.begin(beside, now) != nil
		assert.Equal(t, isolated, i >= 2, "round %d", i)
		assert.Assert(t, w.begin(finished, now) == nil)
		w.responded(finished)
		w.end(finished)
		assert.Assert(t, w.brokeOff(crashing, now))
		if !isolated {
			assert.Assert(t, !w.brokeOff(beside, now), "one check for one process")
		}
		assert.Assert(t, w.ended(p, now))
		assert.Assert(t, !w.ended(p, now), "recorded twice")
	}
	assert.Assert(t, isRefused("/crash"))
	assert.Assert(t, !isRefused("/beside"))
	assert.Assert(t, !isRefused("/finished"))
}

// TestBrokenExchangeOfRunningProcess guards against suspecting requests whose
// connection was reset by a process that goes on.
func TestBrokenExchangeOfRunningProcess(t *testing.T) {
	p, next := Process{ID: "p", StartedMS: 1}, Process{ID: "p", StartedMS: 2}
	now := time.Now()
	for _, test := range []struct {
		name  string
		after func(w *crashWatch)
		want  bool
	}{
		{"new process", func(*crashWatch) {}, true},
		{"response to a later request", func(w *crashWatch) {
			w.responded(startedCall("/later", p, w.registry, now.Add(time.Millisecond)))
		}, false},
		{"response to an earlier request", func(w *crashWatch) {
			w.responded(startedCall("/earlier", p, w.registry, now.Add(-time.Millisecond)))
		}, true},
		{"response of another process", func(w *crashWatch) {
			w.responded(startedCall("/other", next, w.registry, now.Add(time.Millisecond)))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newCrashWatch()
			c := startedCall("/crash", p, w.registry, now)
			assert.Assert(t, w.begin(c, now) == nil)
			w.brokeOff(c, now)
			test.after(w)
			assert.Equal(t, w.ended(p, now.Add(time.Second)), test.want)
			assert.Equal(t, w.registry.Empty(), !test.want)
		})
	}
}

func TestRefusesConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := ln.Addr().String()
	assert.Assert(t, !refusesConnections(addr))
	assert.NilError(t, ln.Close())
	assert.Assert(t, refusesConnections(addr))
}

// TestKnownRequestIsRefused guards against sending a request that ends upstream
// processes to a target, whether its body has a known length or not.
func TestKnownRequestIsRefused(t *testing.T) {
	g := crash.NewRegistry(nil)
	newBody := func(text string, n int64) *Body {
		b, err := NewBody(strings.NewReader(text), n, nil)
		assert.NilError(t, err)
		return b
	}
	digest, _ := newBody("200 stubs", 9).prefixDigest()
	f := crash.Fingerprint{Head: crash.HeadDigest(http.MethodPost, "/orders", "club"), Body: digest}
	for id := range uint64(crash.RefuseAfter) {
		g.RecordEnd(id, []crash.Fingerprint{f}, true, time.Now())
	}
	c := &Caller{crashes: g}
	for _, test := range []struct {
		name           string
		uri, text      string
		caller         string
		length         int64
		refused, known bool
	}{
		{name: "known length", uri: "/orders", text: "200 stubs", caller: "club", length: 9, refused: true, known: true},
		{name: "unknown length", uri: "/orders", text: "200 stubs", caller: "club", length: -1, refused: true, known: true},
		{name: "other body", uri: "/orders", text: "201 stubs", caller: "club", length: 9, known: true},
		{name: "longer body", uri: "/orders", text: "200 stubs and more", caller: "club", length: -1, known: true},
		{name: "other path", uri: "/orders/1", text: "200 stubs", caller: "club", length: 9},
		{name: "other caller", uri: "/orders", text: "200 stubs", caller: "theatre", length: 9},
	} {
		t.Run(test.name, func(t *testing.T) {
			req := &Request{Method: http.MethodPost, URI: test.uri, Call: model.Call{Customer: test.caller}, Body: newBody(test.text, test.length)}
			e := c.refuseKnown(req, time.Now())
			assert.Equal(t, e != nil, test.refused)
			assert.Equal(t, req.fingerprint != nil, test.known)
			if e != nil {
				assert.Equal(t, e.Executed, refuse.NotExecuted)
				assert.Equal(t, e.Status(), http.StatusServiceUnavailable)
				return
			}
			r, ok := req.Body.open()
			assert.Assert(t, ok)
			data, err := io.ReadAll(r)
			assert.NilError(t, err)
			assert.Equal(t, string(data), test.text)
		})
	}
}

// TestCallWithoutFingerprintIsAskedForIt guards against executing a request that ends
// upstream processes because the node at which it enters has just started.
func TestCallWithoutFingerprintIsAskedForIt(t *testing.T) {
	now := time.Now()
	g := crash.NewRegistry(nil)
	f, _ := startedCall("/crash", Process{}, g, now).fingerprint()
	w := newCrashWatch()
	w.registry = g
	g.RecordEnd(1, []crash.Fingerprint{f}, true, now)
	assert.Equal(t, len(w.unknownToCaller(&CallHead{Method: http.MethodGet, URI: "/crash"}, now)), 0, "one process is no suspicion")
	g.RecordEnd(2, []crash.Fingerprint{f}, true, now)
	for _, test := range []struct {
		name string
		head CallHead
		want int
	}{
		{"without a fingerprint", CallHead{Method: http.MethodGet, URI: "/crash"}, 1},
		{"with a fingerprint", CallHead{Method: http.MethodGet, URI: "/crash", Fingerprint: &f}, 0},
		{"other path", CallHead{Method: http.MethodGet, URI: "/other"}, 0},
		{"body that can't be sent again", CallHead{Method: http.MethodGet, URI: "/crash", ContentLength: -1}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			records := w.unknownToCaller(&test.head, now)
			assert.Equal(t, len(records), test.want)
			c := &Caller{crashes: crash.NewRegistry(nil)}
			c.crashes.Merge(records, now)
			body, err := NewBody(http.NoBody, 0, nil)
			assert.NilError(t, err)
			req := &Request{Method: http.MethodGet, URI: "/crash", Body: body}
			assert.Equal(t, c.learnFingerprint(req), test.want > 0)
		})
	}
}
