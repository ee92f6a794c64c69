package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/admin/cmds"
	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/pubsh"
	"dogwoodsill.org/core/report"
)

// env is a test environment for the command line: a fake log service and the
// operations listeners of the nodes.
type env struct {
	t     *testing.T
	log   *fakes.Log
	nodes []string

	beforeAppend, afterAppend func() // hooks for the next append; each is called once
}

func newEnv(t *testing.T) *env {
	t.Helper()
	log, err := fakes.StartLog("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	return &env{t: t, log: log}
}

// RoundTrip implements http.RoundTripper. It calls the hooks before and after an
// append.
func (e *env) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method != http.MethodPost {
		return http.DefaultTransport.RoundTrip(r)
	}
	runOnce(&e.beforeAppend)
	resp, err := http.DefaultTransport.RoundTrip(r)
	runOnce(&e.afterAppend)
	return resp, err
}

// runOnce calls a hook, if it is set, and clears it.
func runOnce(f *func()) {
	if g := *f; g != nil {
		*f = nil
		g()
	}
}

// startOutageAtAppend starts an outage of the log immediately before or after the
// next append.
func (e *env) startOutageAtAppend(before bool) {
	down := func() { e.log.SetDown(true) }
	if before {
		e.beforeAppend = down
	} else {
		e.afterAppend = down
	}
}

// result is the output and the exit status of a command.
type result struct {
	status   int
	out, err string
}

// run runs a command line. The line is split at white space; more holds further
// arguments.
func (e *env) run(line string, more ...string) result {
	e.t.Helper()
	var out, errOut bytes.Buffer
	args := append(strings.Fields(line), more...)
	status := cmds.Run(e.t.Context(), args, &out, &errOut,
		cmds.WithHTTPClient(&http.Client{Transport: e}), cmds.WithEnv(e.getenv))
	return result{status, out.String(), errOut.String()}
}

func (e *env) getenv(name string) string {
	switch name {
	case cmds.EnvLog:
		return e.log.URL()
	case cmds.EnvNodes:
		return strings.Join(e.nodes, ",")
	default:
		return ""
	}
}

// ok runs a command that must succeed and returns its output.
func (e *env) ok(line string, more ...string) string {
	e.t.Helper()
	r := e.run(line, more...)
	assert.Equal(e.t, r.status, cmds.ExitDone, "%s: %s %s", line, r.out, r.err)
	return r.out
}

// file writes a site file and returns its path.
func (e *env) file(content string) string {
	e.t.Helper()
	name := filepath.Join(e.t.TempDir(), "site.toml")
	assert.NilError(e.t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

func (e *env) client() *logsvc.Client {
	return logsvc.NewClient(e.log.URL(), &http.Client{})
}

// view returns the published configuration.
func (e *env) view() *config.View {
	e.t.Helper()
	p := pubsh.New(e.client())
	assert.NilError(e.t, p.Refresh(e.t.Context()))
	return p.View()
}

// records returns the configuration stream as text.
func (e *env) records() string {
	e.t.Helper()
	b, err := e.client().Read(e.t.Context(), logsvc.StreamConfig, 0, 1000, 0)
	assert.NilError(e.t, err)
	return string(bytes.Join(b.Records, []byte("\n")))
}

// node is a fake operations listener that responds with the status set by a test.
// The function step, if set, is called before each response with a status.
type node struct {
	mu      sync.Mutex
	status  report.Status
	step    func(*report.Status)
	burnDoc burn.Document
}

// startNode starts a fake operations listener and adds it to the nodes that the
// command line reads.
func (e *env) startNode(s report.Status) *node {
	e.t.Helper()
	n := &node{status: s}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if r.URL.Path == "/burn" {
			_ = json.NewEncoder(w).Encode(n.burnDoc)
			return
		}
		if n.step != nil {
			n.step(&n.status)
		}
		_ = json.NewEncoder(w).Encode(n.status)
	}))
	e.t.Cleanup(srv.Close)
	e.nodes = append(e.nodes, srv.Listener.Addr().String())
	return n
}

func customerID(name string) config.ObjectID {
	return config.ObjectID{Kind: model.KindCustomer, Name: name}
}
