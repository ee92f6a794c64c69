package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"dogwoodsill.org/node/store"
)

var errRevoked = errors.New("the key was revoked")

// active holds the running requests by key identifier, so that bodies that
// still arrive after a revocation can be aborted.
type active struct {
	grace time.Duration

	mu    sync.Mutex
	byKey map[string]map[*running]struct{}
}

// running is one request. Its body is nil once it has arrived completely.
type running struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	whole  bool
}

func newActive(grace time.Duration) *active {
	return &active{grace: grace, byKey: map[string]map[*running]struct{}{}}
}

type runningKey struct{}

// begin registers a request until done is called.
func (a *active) begin(parent context.Context, keyID string) (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(parent)
	run := &running{cancel: cancel}
	ctx = context.WithValue(ctx, runningKey{}, run)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byKey[keyID] == nil {
		a.byKey[keyID] = map[*running]struct{}{}
	}
	a.byKey[keyID][run] = struct{}{}
	return ctx, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.byKey[keyID], run)
		if len(a.byKey[keyID]) == 0 {
			delete(a.byKey, keyID)
		}
	}
}

// revoke schedules the end of all requests of invalid keys whose body is still
// arriving.
func (a *active) revoke(cur *store.Config) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for keyID, runs := range a.byKey {
		if keyID == "" || cur.View.ValidKey(keyID) {
			continue
		}
		for run := range runs {
			time.AfterFunc(a.grace, run.abort)
		}
	}
}

func (r *running) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.whole {
		r.cancel(errRevoked)
	}
}

func (r *running) complete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.whole = true
}

// progress returns the body of a request. It fails when the body stalls, is
// too large, or arrives after the end of the grace of a revoked key.
func (s *Server) progress(ctx context.Context, w http.ResponseWriter, r *http.Request) io.Reader {
	run, _ := ctx.Value(runningKey{}).(*running)
	if r.Body == nil || r.Body == http.NoBody {
		run.complete()
		return http.NoBody
	}
	body := r.Body
	if limit := s.bodyLimit(); limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	p := &progressReader{r: body, run: run, rc: http.NewResponseController(w), limit: s.limits.ProgressTimeout.D()}
	stop := context.AfterFunc(ctx, func() { _ = p.rc.SetReadDeadline(time.Unix(1, 0)) })
	p.stop = func() { stop() }
	return p
}

// progressReader sets a new read deadline before each read.
type progressReader struct {
	r     io.Reader
	run   *running
	rc    *http.ResponseController
	limit time.Duration
	stop  func()
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	_ = p.rc.SetReadDeadline(time.Now().Add(p.limit))
	n, err := p.r.Read(b)
	if err != nil {
		p.stop()
		_ = p.rc.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, io.EOF) {
		p.run.complete()
	}
	return n, err
}

// MergeContexts returns a context with the values of a that ends when a or b ends.
func MergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(a)
	stop := context.AfterFunc(b, func() { cancel(context.Cause(b)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
