package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/node/local"
	"dogwoodsill.org/node/relay"
)

// RequestID is the header with the identifier of a request, by which the upstreams
// count how often it ran.
const RequestID = "X-Request-Id"

// Upstream is a fake service instance. It serves a limited number of requests at
// a time (its slots), each for the service time, queues further ones and sheds
// load when the queue is full. It calls other services through its node. It is
// safe for concurrent use.
type Upstream struct {
	Service string
	Slots   int
	Queue   int      // maximum number of waiting requests; further ones are shed (an arriving request counts even if a slot is free)
	Calls   []string // paths called through the node for each request; must be set before the first request

	local    string // base URL of the node's local listener
	addr     *net.TCPAddr
	port     *os.File // reserves the port of addr
	received record
	client   *http.Client
	slots    chan struct{}
	waiting  atomic.Int64
	delay    atomic.Int64 // service time in nanoseconds
	started  atomic.Int64
	complete atomic.Int64 // requests received completely

	cancelled atomic.Int64
	truncated atomic.Int64

	mu    sync.Mutex
	runs  map[string]Run
	state relay.State
	stop  context.CancelFunc

	hold      <-chan struct{} // if not nil, chain calls wait until it is closed
	slotsHint int
	loadHint  float64

	id        string      // of the process
	startedMS int64       // start of the process as Unix time in milliseconds
	rateLimit float64     // stated in responses; 0 for none
	leaving   bool        // stated in responses
	arrivals  []time.Time // of requests since RecordArrivals

	process  *process // the current one, or the last one while the upstream is down
	down     bool     // after a crash
	closed   bool
	rule     crashRule
	running  map[string]int // number of running requests by identifier
	crashing []*CrashingRequest
	crashes  []Crash
}

// UpstreamOption is an option of StartUpstream.
type UpstreamOption func(*Upstream)

// WithCalls makes the upstream call the given paths of other services for each
// request.
func WithCalls(paths ...string) UpstreamOption {
	return func(u *Upstream) { u.Calls = paths }
}

// WithServiceTime sets the service time of a request.
func WithServiceTime(d time.Duration) UpstreamOption {
	return func(u *Upstream) { u.delay.Store(int64(d)) }
}

// WithSlots sets the maximum numbers of requests that run and that wait at a
// time.
func WithSlots(slots, queue int) UpstreamOption {
	return func(u *Upstream) { u.Slots, u.Queue = slots, queue }
}

// StartUpstream starts an upstream that announces itself periodically at the local
// listener of its node.
func StartUpstream(service, localAddr string, opts ...UpstreamOption) (*Upstream, error) {
	port, addr, err := reservePort()
	if err != nil {
		return nil, err
	}
	u := &Upstream{
		Service: service, Slots: 50, Queue: 200, local: "http://" + localAddr, addr: addr, port: port,
		id: uuid.NewString(), startedMS: time.Now().UnixMilli(), state: relay.Ready,
		runs: map[string]Run{}, running: map[string]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	for _, opt := range opts {
		opt(u)
	}
	u.slots = make(chan struct{}, u.Slots)
	u.slotsHint = u.Slots
	ctx, cancel := context.WithCancel(context.Background())
	u.stop = cancel
	u.mu.Lock()
	err = u.startProcess()
	u.mu.Unlock()
	if err != nil {
		cancel()
		return nil, errors.Join(err, port.Close())
	}
	if err := u.announce(ctx); err != nil {
		return nil, errors.Join(err, u.Close())
	}
	go u.keepAnnouncing(ctx)
	return u, nil
}

// announcer sends announcements. It keeps no connections: the node may have restarted, and a kept
// one, also of a call, would be that of the earlier process.
var announcer = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

const (
	announceInterval = time.Second
	announceTTL      = 5 * time.Second
)

func (u *Upstream) keepAnnouncing(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
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

// Announce announces the upstream immediately, unless it is down.
func (u *Upstream) Announce() error {
	return u.announce(context.Background())
}

func (u *Upstream) announce(ctx context.Context) error {
	u.mu.Lock()
	down := u.down
	ann := relay.Upstream{
		Service: u.Service, ID: u.id, StartedMS: u.startedMS, Addr: u.Addr(), Slots: u.slotsHint, Load: u.loadHint,
		State: u.state, TTLMS: announceTTL.Milliseconds(),
	}
	u.mu.Unlock()
	if down {
		return nil
	}
	body, err := json.Marshal(ann)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.local+local.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := announcer.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announce upstream of service %q: status %d", u.Service, resp.StatusCode)
	}
	return nil
}

// Addr returns the address at which the upstream listens.
func (u *Upstream) Addr() string {
	return u.addr.String()
}

// SetServiceTime sets the service time of subsequent requests.
func (u *Upstream) SetServiceTime(d time.Duration) {
	u.delay.Store(int64(d))
}

// SetState sets the state of the upstream and announces it immediately.
func (u *Upstream) SetState(s relay.State) error {
	u.mu.Lock()
	u.state = s
	u.mu.Unlock()
	return u.Announce()
}

// HoldCalls makes requests wait before their chain calls, if any, and their
// response until the channel is closed.
func (u *Upstream) HoldCalls(until <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hold = until
}

// awaitHold waits until the channel given to HoldCalls is closed or ctx is done.
func (u *Upstream) awaitHold(ctx context.Context) {
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

// SetHints announces the given slots and load in place of the actual ones.
func (u *Upstream) SetHints(slots int, load float64) error {
	u.mu.Lock()
	u.slotsHint, u.loadHint = slots, load
	u.mu.Unlock()
	return u.Announce()
}

// Close stops the upstream and closes open connections.
func (u *Upstream) Close() error {
	u.stop()
	u.client.CloseIdleConnections()
	u.mu.Lock()
	p := u.process
	u.closed = true
	u.mu.Unlock()
	return errors.Join(p.end(), u.port.Close())
}

// Started returns the number of requests that started to run.
func (u *Upstream) Started() int64 {
	return u.started.Load()
}

// Received returns the number of requests that were received completely.
func (u *Upstream) Received() int64 {
	return u.complete.Load()
}

// InService returns the number of requests that are running.
func (u *Upstream) InService() int64 {
	return int64(len(u.slots))
}

// Truncated returns the number of requests whose body could not be read to its
// end.
func (u *Upstream) Truncated() int64 {
	return u.truncated.Load()
}

// Runs returns how often the request with an identifier started to run.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id].Count
}

// Run holds how often a request started to run and when it did so first.
type Run struct {
	Count int
	First time.Time
}

// Add returns the sum of both counts with the earlier of both first times.
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

// Saw reports whether the bytes received on any connection contain s. Bytes
// beyond maxTapBytes are not searched.
func (u *Upstream) Saw(s string) bool {
	return u.received.contains([]byte(s))
}

// Answer is the body of the upstream's responses.
type Answer struct {
	Service string `json:"service"`
	Addr    string `json:"addr"`
	ID      string `json:"id"`
	Bytes   int64  `json:"bytes"` // length of the request body
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	u.recordArrival(now)
	crashing := u.recordCrashing(r, now)
	u.writeStatement(w.Header())
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
	defer u.begin(r, crashing, time.Now())()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.truncated.Add(1)
		return
	}
	u.complete.Add(1)
	if crashing != nil {
		<-r.Context().Done()
		return
	}
	if !u.work(r.Context()) || u.serveSpecial(w, r) {
		return
	}
	u.awaitHold(r.Context())
	for _, path := range u.Calls {
		if status := u.callService(r, path); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
	}
	u.writeStatement(w.Header())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{Service: u.Service, Addr: u.Addr(), ID: r.Header.Get(RequestID), Bytes: n})
}

// count counts the start of a request.
func (u *Upstream) count(r *http.Request) {
	u.started.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if id := r.Header.Get(RequestID); id != "" {
		u.runs[id] = u.runs[id].Add(Run{Count: 1, First: time.Now()})
	}
}

// work waits for the service time. It returns false if the request was cancelled.
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

// callService calls another service through the node on behalf of a request and
// returns the status code.
func (u *Upstream) callService(r *http.Request, path string) int {
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
