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
	cfg := testSettings()
	change(&cfg.Limits)
	a, err := New(cfg, WithLog(unavailableLog{}))
	assert.NilError(t, err)
	t.Cleanup(a.Kill)
	return a
}

// sendRaw sends raw bytes to the listener for callers and returns the status line,
// or the empty string if the connection was closed without a response.
func sendRaw(t *testing.T, c net.Conn, request string) string {
	t.Helper()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	if _, err := c.Write([]byte(request)); err != nil {
		return ""
	}
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line)
}

func dialCallers(t *testing.T, a *Agent) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a.Addrs().Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// TestConnectionLimit guards against one caller that uses all connections of a
// node.
func TestConnectionLimit(t *testing.T) {
	a := startAgent(t, func(l *setup.Limits) { l.ConnectionsPerCaller = 2 })
	first, second := dialCallers(t, a), dialCallers(t, a)
	assert.Equal(t, sendRaw(t, first, request), "HTTP/1.1 503 Service Unavailable")
	assert.Equal(t, sendRaw(t, second, request), "HTTP/1.1 503 Service Unavailable")
	assert.Equal(t, sendRaw(t, dialCallers(t, a), request), "")
}

// TestHeaderLimits guards against callers that occupy memory with large headers
// or connections with slow ones.
func TestHeaderLimits(t *testing.T) {
	a := startAgent(t, func(l *setup.Limits) {
		l.HeaderBytes = 4 << 10
		l.HeaderTimeout = setup.Duration(100 * time.Millisecond)
	})
	long := "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\n\r\n"
	assert.Equal(t, sendRaw(t, dialCallers(t, a), long), "HTTP/1.1 431 Request Header Fields Too Large")
	assert.Equal(t, sendRaw(t, dialCallers(t, a), "GET / HTTP/1.1\r\nHost: a\r\n"), "")
}

// TestBadAnnouncement guards against accepting invalid announcements.
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

// TestAnnouncementExpires guards against an upstream that remains in use after
// its announcement expired.
func TestAnnouncementExpires(t *testing.T) {
	a := startAgent(t, func(*setup.Limits) {})
	now := time.Now()
	a.target.Announce(relay.Upstream{Service: "s", Addr: "127.0.0.1:1", State: relay.Ready, TTLMS: 1000}, now)
	_, ok := a.target.Upstream(now.Add(999 * time.Millisecond))
	assert.Assert(t, ok)
	_, ok = a.target.Upstream(now.Add(1001 * time.Millisecond))
	assert.Assert(t, !ok)
}
