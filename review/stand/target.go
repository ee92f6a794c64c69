package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one run of a request at a target.
type Run struct {
	ID, Tenant, Service, Target, Method, URI string
	At, End                                  time.Time
}

// Runs collects the runs of all targets.
type Runs struct {
	mu  sync.Mutex
	all []*Run
}

func (r *Runs) add(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, run)
}

func (r *Runs) list() []*Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Run(nil), r.all...)
}

// Target is a stand-in for an application target, as PROTOCOL.md describes it: it runs
// at most Slots requests at a time, refuses others with Not-Executed, drops a request
// whose connection closes, and sends heartbeats to its own machine.
type Target struct {
	Service, ID, Addr, Zone, Control string
	Slots                            int
	Work                             time.Duration
	Serve                            func(t *Target, w http.ResponseWriter, r *http.Request) bool // special answers; may be nil

	runs    *Runs
	running atomic.Int64
	seq     atomic.Int64
	born    int64
	leaving atomic.Bool // the health check says so
}

func (t *Target) start(ctx context.Context) error {
	ln, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	t.born = time.Now().UnixMilli()
	srv := &http.Server{Handler: t}
	go func() { _ = srv.Serve(ln) }()
	go t.beats(ctx)
	return nil
}

func (t *Target) beats(ctx context.Context) {
	for {
		t.beat("ready")
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *Target) beat(state string) bool {
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":%d,"State":%q,"ColdRemainingS":0,"Sequence":%d,"born":%d}`,
		t.Service, t.Addr, t.Zone, t.Slots, state, t.seq.Add(1), t.born)
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+t.Control+"/Instances.Heartbeat/"+t.ID, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Attempt-Id")
	load := fmt.Sprintf("%d,0,%d", t.running.Load(), t.Slots)
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", t.ID)
		h.Set("Instance-Load", load)
		if t.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	h.Set("Instance-Load", load)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != t.ID {
		h.Set("Instance-Id", t.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer t.running.Add(-1)
	if t.running.Add(1) > int64(t.Slots) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{ID: id, Tenant: r.Header.Get("Tenant"), Service: t.Service, Target: t.ID, Method: r.Method, URI: r.RequestURI, At: time.Now()}
	t.runs.add(run)
	defer func() { run.End = time.Now() }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.Serve != nil && t.Serve(t, w, r) {
		return
	}
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		return
	}
	answer := []byte("run of " + id + " at " + t.ID + " with " + fmt.Sprint(len(body)) + " bytes\n")
	sum := sha256.Sum256(answer)
	h.Set("Response-Signature", hex.EncodeToString(sum[:8]))
	_, _ = w.Write(answer)
}
