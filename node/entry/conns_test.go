package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// stubSender answers each request with f.
type stubSender func(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error)

func (f stubSender) Do(ctx context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	return f(ctx, req)
}

// stubRanker admits every request.
type stubRanker struct{}

func (stubRanker) Rank(string, string, int, string, time.Time) uint32 { return 0 }

func (stubRanker) Admit(string, string, uint32, time.Time) (float64, bool) { return 1, true }

func (stubRanker) StartChild(string, string, time.Time) {}

// stubCounter ignores its requests.
type stubCounter struct{}

func (stubCounter) Count(time.Time, burn.Request, []model.SLO) {}

// newTestServer returns a server with one open route, and its address.
func newTestServer(t *testing.T, sender stubSender) (s *Server, addr string) {
	t.Helper()
	body, err := json.Marshal(model.Route{Pattern: "press.example/", Service: "orders", Open: true, OpenUnlimited: true})
	assert.NilError(t, err)
	st := store.New()
	now := boot.Now()
	st.ApplySnapshot(&config.Snapshot{Offset: 1, Objects: []config.Object{{Kind: model.KindRoute, Name: "r", Revision: 1, Body: body}}}, now, now)
	s = New(st, Dependencies{Sender: sender, Ranker: stubRanker{}, Counter: stubCounter{}}, metric.New(), setup.Default().Limits)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.HTTP().Serve(ln) }()
	t.Cleanup(func() { _ = s.HTTP().Close() })
	return s, ln.Addr().String()
}

// okResponse returns an empty response.
func okResponse() *relay.Response {
	return &relay.Response{Status: http.StatusOK, Body: http.NoBody, Trailer: func() relay.ReplyTrailer { return relay.ReplyTrailer{Complete: true} }}
}

// paths numbers the requests of all tests.
var paths atomic.Int64

// sendOnKeptConns sends requests on kept connections until stop is closed. It
// returns the paths of the requests whose connection ended without an answer.
func sendOnKeptConns(addr string, clients int, stop <-chan struct{}) (unanswered []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				r := bufio.NewReader(conn)
				for err == nil {
					select {
					case <-stop:
						_ = conn.Close()
						return
					default:
					}
					path := fmt.Sprint("/", paths.Add(1))
					if _, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: press.example\r\n\r\n"); err == nil {
						var resp *http.Response
						if resp, err = http.ReadResponse(r, nil); err == nil {
							_, err = io.Copy(io.Discard, resp.Body)
							if resp.Close {
								err = io.EOF
							}
							continue
						}
					}
					mu.Lock()
					unanswered = append(unanswered, path)
					mu.Unlock()
				}
				_ = conn.Close()
			}
		})
	}
	wg.Wait()
	return unanswered
}

// passedOn records the requests that a sender received.
type passedOn struct {
	paths sync.Map
}

func (p *passedOn) send(_ context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	p.paths.Store(req.URI, true)
	return okResponse(), 0, nil
}

// count returns how many of the paths were received.
func (p *passedOn) count(paths []string) int {
	n := 0
	for _, path := range paths {
		if _, ok := p.paths.Load(path); ok {
			n++
		}
	}
	return n
}

// TestIdleCloseCutsNoRequest guards against a request that was passed on and gets no
// answer because its connection was closed as idle.
func TestIdleCloseCutsNoRequest(t *testing.T) {
	var sent passedOn
	s, addr := newTestServer(t, sent.send)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for began := time.Now(); time.Since(began) < 2*time.Second; {
			s.conns.closeIdle(0, time.Now())
		}
	}()
	assert.Equal(t, sent.count(sendOnKeptConns(addr, 16, stop)), 0, "requests passed on without an answer")
}

// TestShutdownCutsNoRequest guards against a request that was passed on and gets no
// answer because its server shuts down.
func TestShutdownCutsNoRequest(t *testing.T) {
	var sent passedOn
	for range 200 {
		s, addr := newTestServer(t, sent.send)
		stop := make(chan struct{})
		time.AfterFunc(3*time.Millisecond, func() {
			defer close(stop)
			s.StopKeepAlives()
			_ = s.Shutdown(t.Context())
		})
		assert.Equal(t, sent.count(sendOnKeptConns(addr, 16, stop)), 0, "requests passed on without an answer")
	}
}
