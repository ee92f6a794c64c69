package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/node/store"
)

// BenchmarkSend measures the sending of a request to an upstream on a kept connection.
func BenchmarkSend(b *testing.B) {
	target := NewTarget(1, store.New(), chain.NewTable(), NewBalancer(noTargets{}, "a", 1), metric.New(), func() {})
	b.Cleanup(target.Close)
	target.client.kept.DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go respondToAll(far)
		return newUpstreamConn(near), nil
	}
	up := Upstream{Service: "s", Addr: "127.0.0.1:1"}
	call := model.Call{Attempts: 1, Deadline: time.Now().Add(time.Hour)}
	head := &CallHead{
		Method: http.MethodGet, URI: "/runs/7", Call: call, Repeatable: true,
		Header: http.Header{"Accept": {"application/json"}, "User-Agent": {"bench"}, "X-Request-Id": {"7"}},
	}
	b.ReportAllocs()
	for b.Loop() {
		c := &upstreamCall{target: target, head: head, active: &chain.ActiveCall{Token: "token"}}
		req, err := c.request(b.Context(), up)
		assert.NilError(b, err)
		req.Body = nil
		resp, err := c.send(target.client.kept, req, up)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		assert.NilError(b, resp.Body.Close())
	}
}

// respondToAll responds to each request on a connection. It parses none, so that a benchmark
// measures the sender only.
func respondToAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		for line := ""; line != "\r\n"; {
			b, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			line = string(b)
		}
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"); err != nil {
			return
		}
	}
}

// BenchmarkSetRemaining measures the setting of the time that is left in a request.
func BenchmarkSetRemaining(b *testing.B) {
	h := http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		defaultProtocol{}.SetRemaining(h, time.Second)
	}
}
