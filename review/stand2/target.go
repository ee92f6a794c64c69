package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const slots = 62

// target is a stand-in of an application target, a sound one.
type target struct {
	m    *machine
	id   string
	born time.Time
	work time.Duration
	// workOf is the work of requests for single paths; may be nil.
	workOf map[string]time.Duration

	ctx    context.Context // ends with the process
	cancel context.CancelFunc
	srv    *http.Server
	seq    atomic.Int64
	// delay returns how long the next heartbeat takes to arrive; nil for no time.
	delay   func(seq int64) time.Duration
	silent  atomic.Bool     // sends no more heartbeats
	inner   func(id string) // makes the calls of a run; may be nil
	state   atomic.Value
	running atomic.Int64

	mu   sync.Mutex
	runs []run
}

// run is a request that a target began to work on.
type run struct {
	id      string
	at      time.Time
	cut     bool // the target ended, or the connection closed, before the answer
	exited  bool // the target ended
	endedAt time.Time
	path    string
	caller  string
}

func newTarget(m *machine, id string) *target {
	t := &target{m: m, id: id, work: 200 * time.Millisecond}
	t.state.Store("ready")
	return t
}

// start starts the process of the target: it serves, and sends heartbeats.
func (t *target) start() error {
	ln, err := net.Listen("tcp", t.m.app)
	if err != nil {
		return err
	}
	t.born = time.Now()
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.srv = &http.Server{Handler: t}
	go func() { _ = t.srv.Serve(ln) }()
	go t.beat()
	return nil
}

// exit ends the process of the target at once.
func (t *target) exit() {
	if t.cancel == nil {
		return
	}
	t.cancel()
	_ = t.srv.Close()
}

func (t *target) beat() {
	for t.ctx.Err() == nil {
		if !t.silent.Load() {
			seq := t.seq.Add(1)
			body := t.heartbeat(seq, t.state.Load().(string))
			delay := time.Duration(0)
			if t.delay != nil {
				delay = t.delay(seq)
			}
			if delay == 0 {
				_, _ = t.call("/Instances.Heartbeat/"+t.id, body)
			} else {
				time.AfterFunc(delay, func() {
					status, err := t.call("/Instances.Heartbeat/"+t.id, body)
					t.m.site.rec.add("late heartbeat of %s, sequence %d, sent %v ago, arrives: %d %v", t.id, seq, delay, status, err)
				})
			}
		}
		select {
		case <-t.ctx.Done():
		case <-time.After(time.Duration(heartbeatS * float64(time.Second))):
		}
	}
}

func (t *target) heartbeat(seq int64, state string) map[string]any {
	return map[string]any{
		"Service": t.m.service, "Address": t.m.app, "Zone": t.m.zone, "Version": "v1", "Slots": slots, "State": state,
		"ColdRemainingS": 0, "Sequence": seq, "born": t.born.UnixMilli(),
	}
}

// call sends a call to the node beside the target and returns the status.
func (t *target) call(path string, body any) (int, error) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+t.m.control+path, "application/json", strings.NewReader(string(data)))
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func signature(id string) string {
	sum := sha256.Sum256([]byte("signature of " + id))
	return hex.EncodeToString(sum[:8])
}

func body(id string) string { return "the answer to " + id + "\n" }

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", t.id)
		h.Set("Instance-Load", t.load())
		if t.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	h.Set("Instance-Load", t.load())
	if e := r.Header.Get("Expect-Instance"); e != "" && e != t.id {
		h.Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.running.Load() >= slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.running.Add(1)
	defer t.running.Add(-1)
	t.mu.Lock()
	i := len(t.runs)
	t.runs = append(t.runs, run{id: id, at: time.Now(), path: r.URL.Path, caller: r.Header.Get("Caller-Service")})
	t.mu.Unlock()
	end := func(cut, exited bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.runs[i].cut, t.runs[i].exited, t.runs[i].endedAt = cut, exited, time.Now()
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if t.inner != nil {
		t.inner(id)
	}
	work := t.work
	if d, ok := t.workOf[r.URL.Path]; ok {
		work = d
	}
	select {
	case <-time.After(work):
	case <-t.ctx.Done():
		end(true, true)
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		end(true, t.ctx.Err() != nil)
		panic(http.ErrAbortHandler)
	}
	text := body(id)
	h.Set("Response-Signature", signature(id))
	h.Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = io.WriteString(w, text)
	end(false, false)
}

func (t *target) load() string { return fmt.Sprintf("%d,0,%d", t.running.Load(), slots) }

func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs...)
}
