package entry

import (
	"bufio"
	"bytes"
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
	"gotest.tools/v3/poll"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/chain"
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

// newTestServer returns a server with one open route, and its address. Its listener is
// wrapped by each function in listen.
func newTestServer(t *testing.T, sender stubSender, listen ...func(net.Listener) net.Listener) (s *Server, addr string) {
	t.Helper()
	s = newServer(t, sender)
	return s, serve(t, s, listen...)
}

// newServer returns a server with one open route that is not listening yet.
func newServer(t *testing.T, sender stubSender, opts ...Option) *Server {
	t.Helper()
	body, err := json.Marshal(model.Route{Pattern: "press.example/", Service: "orders", Open: true, OpenUnlimited: true})
	assert.NilError(t, err)
	st := store.New()
	now := boot.Now()
	st.ApplySnapshot(&config.Snapshot{Offset: 1, Objects: []config.Object{{Kind: model.KindRoute, Name: "r", Revision: 1, Body: body}}}, now, now)
	return New(st, Dependencies{Sender: sender, Ranker: stubRanker{}, Counter: stubCounter{}}, metric.New(), setup.Default().Limits, opts...)
}

// serve starts a server and returns its address.
func serve(t *testing.T, s *Server, listen ...func(net.Listener) net.Listener) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	for _, wrap := range listen {
		ln = wrap(ln)
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.HTTP().Close() })
	return ln.Addr().String()
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
			s.CloseIdleConns(0, time.Now())
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

// roundTrip sends a request on a connection and returns the response, whose body was read.
func roundTrip(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestKeptConnAnswersWhileLingering guards against cutting requests that cross the close
// of an idle connection although callers don't know yet that the server will stop.
func TestKeptConnAnswersWhileLingering(t *testing.T) {
	var sent passedOn
	s, addr := newTestServer(t, sent.send)
	conn := dial(t, addr)
	assert.Assert(t, !roundTrip(t, conn).Close)
	s.StopKeepAlives()
	resp := roundTrip(t, conn)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, resp.Close, "the close must be announced")
}

// tallies counts what a server reads and writes on its connections.
type tallies struct {
	conns            atomic.Int64 // connections accepted
	heads, responses atomic.Int64 // complete heads of requests read, responses written
}

func (n *tallies) listen(ln net.Listener) net.Listener {
	return wrapConns(func(c net.Conn) net.Conn {
		n.conns.Add(1)
		return &countingConn{Conn: c, n: n}
	})(ln)
}

// wrapConns returns a function that makes a listener wrap each connection that it accepts.
func wrapConns(wrap func(net.Conn) net.Conn) func(net.Listener) net.Listener {
	return func(ln net.Listener) net.Listener { return &wrappingListener{ln, wrap} }
}

type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

type countingConn struct {
	net.Conn
	n *tallies
}

// Read implements net.Conn. Each request of these tests arrives in one piece.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.heads.Add(int64(bytes.Count(p[:n], []byte("\r\n\r\n"))))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.n.responses.Add(int64(bytes.Count(p, []byte("HTTP/1.1 "))))
	}
	return n, err
}

// TestShutdownAnswersRequests guards against requests that a server which shuts down has
// read and doesn't answer.
func TestShutdownAnswersRequests(t *testing.T) {
	for _, test := range []struct {
		name    string
		stopped bool // callers stop while the server lingers
	}{
		{"callers stop while it lingers", true},
		{"callers never stop", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var n tallies
			var sent passedOn
			var unanswered, dropped int
			for range 50 {
				s, addr := newTestServer(t, sent.send, n.listen)
				stop, shut := make(chan struct{}), make(chan struct{})
				time.AfterFunc(5*time.Millisecond, s.StopKeepAlives)
				time.AfterFunc(10*time.Millisecond, func() {
					if test.stopped {
						close(stop)
						return
					}
					defer close(shut)
					assert.Check(t, s.Shutdown(t.Context()))
				})
				paths := sendOnKeptConns(addr, 16, stop)
				if test.stopped {
					assert.Check(t, s.Shutdown(t.Context()))
					close(shut)
				}
				<-shut
				unanswered += len(paths)
				dropped += sent.count(paths)
			}
			t.Logf("%d requests read, %d answered; %d sent without an answer, %d of them passed on", n.heads.Load(), n.responses.Load(), unanswered, dropped)
			assert.Equal(t, dropped, 0, "requests passed on without an answer")
			assert.Equal(t, n.heads.Load(), n.responses.Load(), "requests read and responses written")
			if test.stopped {
				assert.Equal(t, unanswered, 0, "requests without an answer")
			}
		})
	}
}

// TestShutdownAnswersNewConn guards against dropping the first request of a connection
// that was accepted before the shutdown.
func TestShutdownAnswersNewConn(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	var n tallies
	s, addr := newTestServer(t, func(context.Context, *relay.Request) (*relay.Response, int, *refuse.Error) {
		close(began)
		<-release
		return okResponse(), 0, nil
	}, n.listen)
	running, waiting := dial(t, addr), dial(t, addr)
	_, err := io.WriteString(running, "GET / HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	<-began
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.conns.Load() < 2 {
			return poll.Continue("not accepted yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	shut := make(chan error)
	go func() { shut <- s.Shutdown(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			return poll.Continue("still listening")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	resp := roundTrip(t, waiting)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Close && resp.Header.Get("Retry-After") != "", "%v", resp.Header)
	close(release)
	first, err := http.ReadResponse(bufio.NewReader(running), nil)
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	assert.NilError(t, <-shut)
}

// parentHeader holds the identifier of the parent of a call in parentProtocol.
const parentHeader = "Test-Parent"

// parentProtocol is the default protocol with calls of the upstream.
type parentProtocol struct{ defaultProtocol }

// ParentID implements Protocol.
func (parentProtocol) ParentID(h http.Header) string { return h.Get(parentHeader) }

// TestRequestsAreRefusedWhileDraining guards against a request that is accepted shortly before
// the process ends and cut off then, and against refusing the calls of running requests.
func TestRequestsAreRefusedWhileDraining(t *testing.T) {
	parents := chain.NewTable()
	parents.Begin(t.Context(), "r", "running", model.Call{Deadline: time.Now().Add(time.Minute)})
	var sent passedOn
	s := newServer(t, sent.send, WithParents(parents), WithProtocol(parentProtocol{}))
	addr := serve(t, s)
	s.Refuse()
	for _, test := range []struct {
		name, header string
		want         int
	}{
		{"request of a caller", "", http.StatusServiceUnavailable},
		{"call of a running request", parentHeader + ": running\r\n", http.StatusOK},
		{"call of no running request", parentHeader + ": other\r\n", http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := dial(t, addr)
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: press.example\r\n"+test.header+"\r\n")
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.want)
			assert.Assert(t, resp.Close)
		})
	}
}

// TestLingerOverHTTP2 guards against cutting the requests of HTTP/2 connections while the
// server lingers.
func TestLingerOverHTTP2(t *testing.T) {
	var sent passedOn
	var n tallies
	s, addr := newTestServer(t, sent.send, n.listen)
	client := http2Client(t)
	post := func() {
		r, err := http.NewRequest(http.MethodPost, "http://"+addr, http.NoBody)
		assert.NilError(t, err)
		r.Host = "press.example"
		resp, err := client.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.ProtoMajor, 2)
		assert.Equal(t, resp.Header.Get("Connection"), "")
	}
	post()
	s.StopKeepAlives()
	post()
	assert.Equal(t, n.conns.Load(), int64(1))
	for range 3 {
		post()
	}
}
