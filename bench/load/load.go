package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/core/refuse"
)

// Request describes an HTTP request to send.
type Request struct {
	ID     string // sent in fakes.RequestID; unique
	Method string
	Path   string
	Body   string
	Idem   string // idempotency key; empty for none
}

// Stream is a caller that sends requests at a fixed rate.
type Stream struct {
	Name     string  // customer, or another name for the report
	Key      string  // API key; empty for none
	Rate     float64 // requests per second
	Kind     string  // kind of the requests, for the report
	Make     func(i int) Request
	BaseURLs []string // of the nodes, used round-robin
	Retries  int      // immediate repeats after a failure or refusal, each to the next node
	InFlight int      // largest number of requests in flight, the others are sent later; 0 for no bound
}

// Outcome is the result of sending a request once.
type Outcome struct {
	Request
	Stream   string
	Kind     string
	Sent     time.Time
	Took     time.Duration
	Status   int             // 0 if there was no complete response
	Reason   string          // problem type of a refusal, without its prefix
	Detail   string          // of a refusal
	Executed refuse.Executed // of a refusal
	Answer   fakes.Answer    // of a success
	Replayed bool
	Err      error
}

// OK reports whether the request got a complete response with status 200.
func (o Outcome) OK() bool {
	return o.Status == http.StatusOK
}

// maxInFlight is the maximum number of requests in flight in a run. Requests
// above it are not sent, and are counted in Report.Skipped.
const maxInFlight = 4000

// Report is the result of a run.
type Report struct {
	Began, Ended time.Time
	Outcomes     []Outcome
	Skipped      int64
}

// Client returns an HTTP client that keeps enough idle connections for many
// concurrent callers.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, MaxIdleConns: 4096, IdleConnTimeout: 30 * time.Second}}
}

// Run sends the requests of all streams for the duration d and waits for the
// responses.
func Run(ctx context.Context, client *http.Client, streams []Stream, d time.Duration) Report {
	r := &runner{client: client}
	rep := Report{Began: time.Now()}
	var wg sync.WaitGroup
	for _, s := range streams {
		if s.Rate > 0 {
			wg.Go(func() { r.stream(ctx, s, d) })
		}
	}
	wg.Wait()
	r.open.Wait()
	rep.Ended, rep.Outcomes, rep.Skipped = time.Now(), r.outcomes, r.skipped.Load()
	return rep
}

type runner struct {
	client   *http.Client
	open     sync.WaitGroup
	inFlight atomic.Int64
	skipped  atomic.Int64

	mu       sync.Mutex
	outcomes []Outcome
}

// stream sends requests at the rate of a stream, whether or not responses arrive unless
// the stream bounds its requests in flight.
func (r *runner) stream(ctx context.Context, s Stream, d time.Duration) {
	began := time.Now()
	every := time.Duration(float64(time.Second) / s.Rate)
	tick := time.NewTicker(max(every, time.Millisecond))
	defer tick.Stop()
	var slots chan struct{}
	if s.InFlight > 0 {
		slots = make(chan struct{}, s.InFlight)
	}
	for i := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		elapsed := min(time.Since(began), d)
		for ; float64(i) < elapsed.Seconds()*s.Rate; i++ {
			if !acquire(ctx, slots) {
				return
			}
			r.start(ctx, s, i, slots)
		}
		if elapsed >= d {
			return
		}
	}
}

// acquire waits for a slot. It returns false if ctx is done first. Without slots it
// doesn't wait.
func acquire(ctx context.Context, slots chan<- struct{}) bool {
	if slots == nil {
		return true
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func release(slots <-chan struct{}) {
	if slots != nil {
		<-slots
	}
}

func (r *runner) start(ctx context.Context, s Stream, i int, slots <-chan struct{}) {
	if r.inFlight.Add(1) > maxInFlight {
		r.inFlight.Add(-1)
		r.skipped.Add(1)
		release(slots)
		return
	}
	r.open.Go(func() {
		defer release(slots)
		defer r.inFlight.Add(-1)
		q := s.Make(i)
		for n := range s.Retries + 1 {
			o := Send(ctx, r.client, s.BaseURLs[(i+n)%len(s.BaseURLs)], s.Key, q)
			o.Stream, o.Kind = s.Name, s.Kind
			r.add(o)
			if o.OK() || ctx.Err() != nil {
				return
			}
		}
	})
}

func (r *runner) add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Send sends one request and reads the complete response.
func Send(ctx context.Context, client *http.Client, base, key string, q Request) (o Outcome) {
	o = Outcome{Request: q, Sent: time.Now()}
	defer func() { o.Took = time.Since(o.Sent) }()
	req, err := http.NewRequestWithContext(ctx, q.Method, base+q.Path, strings.NewReader(q.Body))
	if err != nil {
		o.Err = err
		return o
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if q.Idem != "" {
		req.Header.Set("Idempotency-Key", q.Idem)
	}
	req.Header.Set(fakes.RequestID, q.ID)
	resp, err := client.Do(req)
	if err != nil {
		o.Err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		o.Err = err
		return o
	}
	o.Status, o.Replayed = resp.StatusCode, resp.Header.Get("Idempotency-Replayed") == "true"
	o.decode(resp.Header.Get("Content-Type"), data)
	return o
}

func (o *Outcome) decode(contentType string, data []byte) {
	switch {
	case strings.HasPrefix(contentType, refuse.ContentType):
		var p refuse.Problem
		if o.Err = json.Unmarshal(data, &p); o.Err == nil {
			o.Reason, o.Detail, o.Executed = strings.TrimPrefix(p.Type, refuse.TypePrefix), p.Detail, p.Executed
		}
	case o.Status == http.StatusOK:
		if o.Err = json.Unmarshal(data, &o.Answer); o.Err == nil && o.Answer.ID != o.ID {
			o.Err = fmt.Errorf("response to request %q received for request %q", o.Answer.ID, o.ID)
		}
	default:
		o.Err = errors.New(http.StatusText(o.Status))
	}
}
