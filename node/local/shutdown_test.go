package local

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// countingListener counts the requests that are read on its connections and the responses that
// are written.
type countingListener struct {
	net.Listener
	heads, responses atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, l: l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.heads.Add(int64(bytes.Count(p[:n], []byte("\r\n\r\n"))))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.l.responses.Add(int64(bytes.Count(p, []byte("HTTP/1.1 "))))
	}
	return n, err
}

// TestShutdownAnswersCalls guards against calls of the upstream that the listener reads and
// drops while it shuts down.
func TestShutdownAnswersCalls(t *testing.T) {
	var heads, responses int64
	for range 50 {
		s := New(nil, chain.NewTable(), nil, nil, nil, metric.New(), 32<<10)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		counts := &countingListener{Listener: ln}
		go func() { _ = s.Serve(counts) }()
		var clients sync.WaitGroup
		for range 16 {
			clients.Go(func() { callUntilClosed(ln.Addr().String()) })
		}
		time.Sleep(10 * time.Millisecond)
		assert.NilError(t, s.Shutdown(t.Context()))
		clients.Wait()
		heads, responses = heads+counts.heads.Load(), responses+counts.responses.Load()
	}
	assert.Equal(t, heads, responses, "requests read and responses written")
}

// callUntilClosed sends calls, which are refused, on kept connections until there is no listener.
func callUntilClosed(addr string) {
	for {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		r := bufio.NewReader(conn)
		for {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				break
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				break
			}
		}
		_ = conn.Close()
	}
}

// noTargets is a relay.Directory without targets.
type noTargets struct{}

func (noTargets) Candidates(string) ([]relay.Candidate, uint64) { return nil, 0 }

// TestShutdownEndsCalls guards against calls of the upstream that can't end before the process
// and are passed on, or whose body never arrives and that get no answer.
func TestShutdownEndsCalls(t *testing.T) {
	body, err := json.Marshal(model.Route{Pattern: "/", Service: "orders", Open: true})
	assert.NilError(t, err)
	st := store.New()
	at := boot.Now()
	st.ApplySnapshot(&config.Snapshot{Offset: 1, Objects: []config.Object{{Kind: model.KindRoute, Name: "r", Revision: 1, Body: body}}}, at, at)
	calls, balancer, m := chain.NewTable(), relay.NewBalancer(noTargets{}, "z", 1), metric.New()
	target := relay.NewTarget(1, st, calls, balancer, m, func() {})
	s := New(st, calls, target, relay.NewCaller(balancer, nil, m), nil, m, 32<<10)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.HTTP().Close() })
	parent := calls.Begin(t.Context(), "r", "id", model.Call{Attempts: 9, Deadline: time.Now().Add(time.Minute)})
	call := func(length string) string {
		conn, err := net.Dial("tcp", ln.Addr().String())
		assert.Check(t, err)
		defer func() { _ = conn.Close() }()
		assert.Check(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+chain.CallHeader+": "+parent.Token+"\r\nContent-Length: "+length+"\r\n\r\n")
		assert.Check(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if !assert.Check(t, err) {
			return ""
		}
		data, err := io.ReadAll(resp.Body)
		assert.Check(t, err)
		return string(data)
	}
	assert.Assert(t, cmp.Contains(call("0"), string(refuse.NoUpstream))) // as no target is known
	now := time.Now()
	s.EndBy(now, now.Add(time.Minute))
	assert.Assert(t, cmp.Contains(call("0"), string(refuse.NoUpstream)))
	stalled := make(chan string, 1)
	go func() { stalled <- call("5") }()
	time.Sleep(50 * time.Millisecond) // the call has begun
	s.EndBy(now, now)
	assert.Assert(t, cmp.Contains(call("0"), string(refuse.NotReady)))
	s.EndCalls()
	assert.Assert(t, cmp.Contains(<-stalled, string(refuse.NotReady)))
}
