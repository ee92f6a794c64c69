package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/node/local"
	"dogwoodsill.org/node/relay"
)

// RequestID is the header by which a caller marks a request, so that the
// upstreams can count how often it ran.
const RequestID = "X-Request-Id"

// Upstream is a stand-in for a service instance. It has slots, a service time
// and a queue, sheds load when the queue is full, and calls other services
// through its node. It is safe for concurrent use.
type Upstream struct {
	Service string
	Slots   int
	Queue   int      // waiting requests above which it sheds load
	Calls   []string // paths called through the node for each request; set before the requests

	local    string // base URL of the node's local listener
	listener *tap
	server   *http.Server
	client   *http.Client
	slots    chan struct{}
	waiting  atomic.Int64
	delay    atomic.Int64 // nanoseconds of service time
	started  atomic.Int64
	whole    atomic.Int64

	cancelled atomic.Int64
	broken    atomic.Int64

	mu    sync.Mutex
	runs  map[string]Run
	state relay.State
	stop  context.CancelFunc

	hold      <-chan struct{} // chain calls wait until it is closed
	slotsHint int
	loadHint  float64
}

// UpstreamOption configures an upstream.
type UpstreamOption func(*Upstream)

// WithCalls lets each request call paths of other services.
func WithCalls(paths ...string) UpstreamOption {
	return func(u *Upstream) { u.Calls = paths }
}

// WithServiceTime sets the time that a request takes.
func WithServiceTime(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.delay.Store(int64(d)) }
}

// WithSlots sets how many requests run and wait at a time.
func WithSlots(slots, queue int) UpstreamOption {
	return func(u *Upstream) { u.Slots, u.Queue = slots, queue }
}

// StartUpstream starts an upstream that announces itself at the local listener
// of its node.
func StartUpstream(service, localAddr string, opts ...UpstreamOption) (*Upstream, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		Service: service, Slots: 50, Queue: 200, local: "http://" + localAddr,
		listener: &tap{Listener: ln}, runs: map[string]Run{}, state: relay.Ready,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for _, opt := range opts {
		opt(u)
	}
	u.slots = make(chan struct{}, u.Slots)
	u.slotsHint = u.Slots
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = u.server.Serve(u.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	if err := u.announce(ctx); err != nil {
		cancel()
		return nil, err
	}
	go u.keepAnnouncing(ctx)
	return u, nil
}

const (
	announceEvery = time.Second
	announceTTL   = 5 * time.Second
)

func (u *Upstream) keepAnnouncing(ctx context.Context) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = u.announce(ctx)
		}
	}
}

// Announce announces the upstream at once.
func (u *Upstream) Announce() error {
	return u.announce(context.Background())
}

func (u *Upstream) announce(ctx context.Context) error {
	u.mu.Lock()
	ann := relay.Upstream{
		Service: u.Service, Addr: u.Addr(), Slots: u.slotsHint, Load: u.loadHint, State: u.state,
		TTLMS: announceTTL.Milliseconds(),
	}
	u.mu.Unlock()
	body, err := json.Marshal(ann)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.local+local.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcement of %s: status %d", u.Service, resp.StatusCode)
	}
	return nil
}

// Addr returns the address of the upstream.
func (u *Upstream) Addr() string {
	return u.listener.Addr().String()
}

// SetServiceTime changes the time that a request takes.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.delay.Store(int64(d))
}

// SetState announces a new state at once.
func (u *Upstream) SetState(s relay.State) error {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	return u.Announce()
}

// HoldCalls lets requests wait before their chain calls until a channel is
// closed.
func (u *Upstream) HoldCalls(until <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hold = until
}

func (u *Upstream) awaitCalls(ctx context.Context) {
	u.mu.Lock()
	hold := u.hold
	u.mu.Unlock()
	if hold == nil {
		return
	}
	select {
	case <-hold:
	case <-ctx.Done():
	}
}

// SetHints announces other slots and another load than the true ones.
func (u *Upstream) SetHints(slots int, load float64) error {
	u.mu.Lock()
	u.slotsHint, u.loadHint = slots, load
	u.mu.Unlock()
	return u.Announce()
}

// Close stops the upstream and drops open connections.
func (u *Upstream) Close() error {
	u.stop()
	u.client.CloseIdleConnections()
	return u.server.Close()
}

// Started returns the number of requests that began to run.
func (u *Upstream) Started() int64 {
	return u.started.Load()
}

// Whole returns the number of requests that arrived to their end.
func (u *Upstream) Whole() int64 {
	return u.whole.Load()
}

// InService returns the number of requests that run now.
func (u *Upstream) InService() int64 {
	return int64(len(u.slots))
}

// Broken returns the number of requests whose body ended early.
func (u *Upstream) Broken() int64 {
	return u.broken.Load()
}

// Runs returns how often a request with an identifier began to run.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id].Count
}

// Run says how often and when first a request began to run.
type Run struct {
	Count int
	First time.Time
}

// Add returns both together.
func (r Run) Add(o Run) Run {
	first := r.First
	if r.Count == 0 || o.Count > 0 && o.First.Before(first) {
		first = o.First
	}
	return Run{Count: r.Count + o.Count, First: first}
}

// AllRuns returns the runs by request identifier.
func (u *Upstream) AllRuns() map[string]Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// Saw reports whether any byte sequence that reached the upstream contains s.
func (u *Upstream) Saw(s string) bool {
	return u.listener.saw([]byte(s))
}

// Answer is the body of the upstream's answers.
type Answer struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	ID      string `json:"id"`
	Bytes   int64  `json:"bytes"` // length of the request body
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if u.waiting.Add(1) > int64(u.Queue) {
		u.waiting.Add(-1)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	select {
	case u.slots <- struct{}{}:
		u.waiting.Add(-1)
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	u.count(r)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.broken.Add(1)
		return
	}
	u.whole.Add(1)
	if !u.work(r.Context()) || u.behave(w, r) {
		return
	}
	u.awaitCalls(r.Context())
	for _, path := range u.Calls {
		if status := u.callDown(r, path); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Service: u.Service, Addr: u.Addr(), ID: r.Header.Get(RequestID), Bytes: n})
}

func (u *Upstream) count(r *http.Request) {
	u.started.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if id := r.Header.Get(RequestID); id != "" {
		u.runs[id] = u.runs[id].Add(Run{Count: 1, First: time.Now()})
	}
}

func (u *Upstream) work(ctx context.Context) bool {
	d := time.Duration(u.delay.Load())
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		u.cancelled.Add(1)
		return false
	}
}

// callDown calls another service on behalf of a request.
func (u *Upstream) callDown(r *http.Request, path string) int {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, u.local+path, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	req.Header.Set(chain.CallHeader, r.Header.Get(chain.CallHeader))
	req.Header.Set(RequestID, r.Header.Get(RequestID))
	resp, err := u.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return http.StatusBadGateway
	}
	return resp.StatusCode
}
