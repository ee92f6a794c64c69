package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"dogwoodsill.org/admin/cmds"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/burn"
	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/model"
)

// scriptName is a service name that would end an element or run a script if a
// page contained it without escaping.
const scriptName = `<script src="http://x/">`

// burnNow is the time of the burn documents.
var burnNow = time.Date(2026, 12, 4, 12, 0, 30, 0, time.UTC)

// burnDocument returns the burn document of a node that counted the given numbers
// of good and failed requests.
func burnDocument(instance string, good, failed int) burn.Document {
	slo := model.SLO{Objective: 0.9, LatencyMS: 500}
	r := burn.NewRecorder()
	for i := range good + failed {
		q := burn.Request{Service: scriptName, Customer: "theatre"}
		if i < failed {
			q.Outcome = burn.RefusedInsideRate
		}
		r.Record(burnNow, q, []model.SLO{slo})
	}
	return burn.Document{
		Instance: instance, Now: burnNow, SlotMS: burn.Slot.Milliseconds(), Series: r.Series(burnNow),
		Objectives: map[string][]model.SLO{scriptName: {slo}},
	}
}

// Guards against a report that omits a node without saying so or counts it twice.
func TestReportBurn(t *testing.T) {
	e := newEnv(t)
	e.startNode(status("bole", "b1", 1, member("bole", "b2", 1, 1), member("arada", "a1", 1, 1))).burnDoc = burnDocument("b1", 80, 20)
	e.startNode(status("bole", "b2", 1)).burnDoc = burnDocument("b2", 20, 80)
	e.startNode(status("bole", "b2", 1)).burnDoc = burnDocument("b2", 20, 80)
	out := e.ok("report burn")
	assert.Assert(t, cmp.Contains(out, "counts of 2 instances until 2026-12-04 12:00 UTC\nnot covered: a1\n"))
	assert.Assert(t, cmp.Regexp(`90% within 500 ms +200 +100 +100 +-400\.0% +5\.00 +5\.00 +5\.00 +5\.00 +-\n`, out))

	e.nodes = append(e.nodes, "127.0.0.1:1")
	r := e.run("report burn --output json")
	assert.Equal(t, r.status, cmds.ExitUnreachable)
	var doc struct {
		burn.Report
		Missing, Instances []string
	}
	assert.NilError(t, json.Unmarshal([]byte(r.out), &doc))
	assert.DeepEqual(t, doc.Missing, []string{"a1"})
	assert.DeepEqual(t, doc.Usage[0].Counts, burn.Counts{Total: 200, Bad: 100, Inside: 100})
	e.nodes = e.nodes[3:]
	r = e.run("report burn")
	assert.Equal(t, r.status, cmds.ExitUnreachable)
	assert.Equal(t, r.out, "")
}

// activeContent matches markup that loads a resource or runs a script.
var activeContent = regexp.MustCompile(`(?i)\s(src|href|action|data|on\w+)\s*=|url\(|@import|<script|<link|<iframe`)

// Guards against a page that loads external resources or runs a name as a script,
// and against a page without plots.
func TestReportPage(t *testing.T) {
	e := newEnv(t)
	e.startNode(status("bole", "b1", 1)).burnDoc = burnDocument("b1", 80, 20)
	file := filepath.Join(t.TempDir(), "burn.html")
	e.ok("report burn --html " + file)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	page := string(data)
	assert.Equal(t, strings.Count(page, "<svg"), 1)
	assert.Equal(t, strings.Count(page, "</svg>"), 1)
	assert.Assert(t, !strings.Contains(page, "<?xml"))
	visible := strings.ReplaceAll(page, "&lt;script src=", "")
	assert.Equal(t, activeContent.FindString(visible), "")
	assert.Assert(t, cmp.Contains(page, "theatre"))
	assert.Equal(t, e.run("report burn --html /nonexistent/x.html").status, cmds.ExitUsage)
}

// Guards against requests at real nodes that are not counted, or that are counted
// for the wrong customer or with the wrong outcome.
func TestReportRealNodes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s := site.Sized(3, 2)
	s.Customers["small"] = model.Customer{Rate: 0.001, Burst: 1}
	s.Routes["gone"] = model.Route{Pattern: "GET /gone", Service: "gone"}
	r, err := site.Start(ctx, s)
	assert.NilError(t, err)
	defer r.Stop()
	e := &env{t: t, log: r.Log}
	for _, n := range r.Nodes {
		e.nodes = append(e.nodes, n.Addrs().Operations)
	}
	e.ok("service set archive --slo objective=0.9 --wait")
	get := func(node int, path, key string) int {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Nodes[node].Addrs().Callers+path, nil)
		assert.NilError(t, err)
		req.Header.Set(keys.HeaderAPIKey, key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		return resp.StatusCode
	}
	// The counts must match the status codes that the callers received, which
	// are not predictable.
	want := map[string]burn.Counts{}
	send := func(service, customer, path string) {
		c := want[service+"/"+customer]
		c.Add(countsByStatus[get(0, path, r.Keys[customer])])
		want[service+"/"+customer] = c
	}
	for range 6 {
		send("archive", "customer0000", "/runs/1")
		send("archive", "small", "/runs/1")
	}
	send("gone", "customer0001", "/gone")
	assert.Equal(t, get(1, "/runs/1", "unknown"), http.StatusUnauthorized)
	// A node counts a request only after it sent the response.
	assert.NilError(t, r.Await(ctx, func() bool { return recordedRequests(r) == 13 }))
	var doc burn.Report
	out := e.ok("report burn --output json")
	assert.NilError(t, json.Unmarshal([]byte(out), &doc))
	got := map[string]burn.Counts{}
	for _, u := range doc.Usage {
		got[u.Service+"/"+u.Customer] = u.Counts
	}
	assert.DeepEqual(t, got, want)
	assert.Assert(t, want["archive/small"].Over >= 5) // the burst of the customer is 1
	assert.Assert(t, want["archive/customer0000"].Total > 0)
	assert.Equal(t, doc.Objectives[0].Counts.Total, want["archive/customer0000"].Total+want["archive/small"].Total)
}

// countsByStatus maps the status code of a response to the counts that the request
// adds.
var countsByStatus = map[int]burn.Counts{
	http.StatusOK:                 {Total: 1},
	http.StatusTooManyRequests:    {Over: 1},
	http.StatusServiceUnavailable: {Total: 1, Bad: 1, Inside: 1},
}

// recordedRequests returns the number of requests counted by all nodes.
func recordedRequests(r *site.Running) int64 {
	var n int64
	for _, node := range r.Nodes {
		for _, s := range node.BurnCounts().Series {
			for _, c := range s.Slots {
				n += c.Total + c.Over
			}
		}
	}
	return n
}
