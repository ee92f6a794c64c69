package agent

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/local"
	"dogwoodsill.org/node/relay"
)

func startAgent(t *testing.T, change func(*setup.Limits)) *Agent {
	t.Helper()
	cfg := settings()
	change(&cfg.Limits)
	a, err := New(cfg, WithLog(downLog{}))
	assert.NilError(t, err)
	t.Cleanup(a.Kill)
	return a
}

// exchange sends raw bytes to callers' listener and returns the status line, or
// the empty string if the connection was closed without an answer.
func exchange(t *testing.T, c net.Conn, request string) string {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	if _, err := c.Write([]byte(request)); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func dial(t *testing.T, a *Agent) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a.Addrs().Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against one caller that takes all connections of a node.
func TestConnectionLimit(t *testing.T) {
	a := startAgent(t, func(l *setup.Limits) { l.ConnectionsPerCaller = 2 })
	first, second := dial(t, a), dial(t, a)
	assert.Equal(t, exchange(t, first, request), "HTTP/1.1 503 Service Unavailable")
	assert.Equal(t, exchange(t, second, request), "HTTP/1.1 503 Service Unavailable")
	assert.Equal(t, exchange(t, dial(t, a), request), "")
}

// Guards against callers that hold memory or connections by long or slow headers.
func TestHeaderLimits(t *testing.T) {
	a := startAgent(t, func(l *setup.Limits) {
		l.HeaderBytes = 4 << 10
		l.HeaderTimeout = setup.Duration(100 * time.Millisecond)
	})
	long := "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"
	assert.Equal(t, exchange(t, dial(t, a), long), "HTTP/1.1 431 Request Header Fields Too Large")
	assert.Equal(t, exchange(t, dial(t, a), "GET / HTTP/1.1\r\nHost: a\r\n"), "")
}

// Guards against announcements that are accepted although they are wrong.
func TestBadAnnouncement(t *testing.T) {
	a := startAgent(t, func(*setup.Limits) {})
	for _, c := range []struct {
		name, body, detail string
	}{
		{"not JSON", `service`, "invalid character"},
		{"unknown field", `{"service":"s","addr":"127.0.0.1:1","slot":3}`, `unknown field "slot"`},
		{"no service", `{"addr":"127.0.0.1:1"}`, "service is empty"},
		{"name in place of an address", `{"service":"s","addr":"localhost:1"}`, "not an IP address"},
		{"unknown state", `{"service":"s","addr":"127.0.0.1:1","state":"tired"}`, "not one of ready, cold, draining"},
		{"negative slots", `{"service":"s","addr":"127.0.0.1:1","slots":-1}`, "must not be negative"},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.Post("http://"+a.Addrs().Local+local.AnnouncePath, "application/json", strings.NewReader(c.body))
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			var p refuse.Problem
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
			assert.Equal(t, p.Status, http.StatusBadRequest)
			assert.Assert(t, strings.Contains(p.Detail, c.detail), p.Detail)
		})
	}
}

// Guards against an upstream that stays in use after it stopped announcing
// itself.
func TestAnnouncementExpires(t *testing.T) {
	a := startAgent(t, func(*setup.Limits) {})
	now := time.Now()
	a.target.Announce(relay.Upstream{Service: "s", Addr: "127.0.0.1:1", State: relay.Ready, TTLMS: 1000}, now)
	_, ok := a.target.Upstream(now.Add(999 * time.Millisecond))
	assert.Assert(t, ok)
	_, ok = a.target.Upstream(now.Add(1001 * time.Millisecond))
	assert.Assert(t, !ok)
}
