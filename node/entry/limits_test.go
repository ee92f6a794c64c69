package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/store"
)

// newLimitedServer returns a server whose configuration limits callers.
func newLimitedServer(t *testing.T, l model.CallerLimits) *Server {
	t.Helper()
	body, err := json.Marshal(model.Fleet{Callers: l})
	assert.NilError(t, err)
	st := store.New()
	now := boot.Now()
	st.ApplySnapshot(&config.Snapshot{Offset: 1, Objects: []config.Object{{Kind: model.KindFleet, Name: config.FleetName, Revision: 1, Body: body}}}, now, now)
	return New(st, Dependencies{}, metric.New(), setup.Default().Limits)
}

// TestCallerLimits guards against requests that are not checked against the
// limits of the configuration.
func TestCallerLimits(t *testing.T) {
	s := newLimitedServer(t, model.CallerLimits{BodyBytes: 100, HeaderBytes: 2000})
	for _, test := range []struct {
		name         string
		body, header int
		want         int
	}{
		{"within", 100, 500, http.StatusNotFound},
		{"large body", 101, 500, http.StatusRequestEntityTooLarge},
		{"large header", 0, 2000, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest("POST", "/unknown", strings.NewReader(strings.Repeat("x", test.body)))
			r.Header.Set("X-Long", strings.Repeat("x", test.header))
			w := httptest.NewRecorder()
			s.HTTP().Handler.ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.want, "%s", w.Body)
		})
	}
}

// TestStricter guards against a configuration that raises a limit of the node's
// settings.
func TestStricter(t *testing.T) {
	for _, test := range []struct{ a, b, want int64 }{{0, 0, 0}, {5, 0, 5}, {0, 5, 5}, {5, 4, 4}, {4, 5, 4}} {
		assert.Equal(t, stricter(test.a, test.b), test.want)
	}
}

// TestIdleLimit guards against connections that are closed before their callers
// can learn of a lowered limit.
func TestIdleLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	const long, mid, short = 15 * time.Second, 10 * time.Second, 5 * time.Second
	type step struct {
		after       time.Duration
		limit, want time.Duration
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"none", []step{{0, 0, 0}}},
		{"first", []step{{0, long, long}}},
		{"higher at once", []step{{0, short, short}, {1, long, long}}},
		{"lower after as long again", []step{{0, long, long}, {1, short, long}, {long, short, long}, {long + 2, short, short}}},
		{"lower and back", []step{{0, long, long}, {1, short, long}, {2, long, long}, {long + 2, short, long}}},
		{"lower in series", []step{{0, long, long}, {1, mid, long}, {long, short, long}, {long + 2, short, mid}, {long + mid + 1, short, short}}},
		{"lower, then higher than that", []step{{0, long, long}, {1, short, long}, {2, mid, long}, {long + 2, mid, mid}}},
		{"lifted", []step{{0, long, long}, {1, 0, 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l idleLimit
			for i, s := range test.steps {
				assert.Equal(t, l.update(s.limit, start.Add(s.after)), s.want, "step %d", i)
			}
		})
	}
}

// TestCloseIdle guards against an idle connection that is never closed.
func TestCloseIdle(t *testing.T) {
	s := newLimitedServer(t, model.CallerLimits{IdleTimeoutMS: 1})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.HTTP().Serve(ln) }()
	defer func() { _ = s.HTTP().Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.CloseIdle(ctx) }()

	conn, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET /unknown HTTP/1.1\r\nHost: press.example\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
