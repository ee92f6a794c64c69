package site_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/node/entry"
)

// The users' bound for a request that crashes the upstreams that run it: from
// crashWindow after its third crash, it arrives at upstreams at most maxRepeats times.
const (
	crashesToKnow = 3
	crashWindow   = 3 * time.Second
	maxRepeats    = 3
)

const (
	crashDown     = time.Second // after which a crashed upstream is back
	crashRate     = 8           // crashing requests per second
	bystanderTime = time.Second
	bystanderRate = 10 // requests per second with the same content
	bystanders    = 15 // requests that run before the first crash
	promptRefusal = entry.DefaultTimeout / 5
)

// content is what identifies a request for the fleet, wherever it enters.
type content struct {
	name     string
	customer string
	method   string
	path     string
	body     string
}

// stream returns requests with the content that enter at all nodes in turn. Identifiers
// begin with the name of the content.
func (c content) stream(r *site.Running, perSecond float64) load.Stream {
	began := time.Now().UnixNano()
	s := load.Stream{Name: c.customer, Key: r.Keys[c.customer], Rate: perSecond, Kind: c.name}
	for _, n := range r.Nodes {
		s.BaseURLs = append(s.BaseURLs, "http://"+n.Addrs().Callers)
	}
	s.Make = func(i int) load.Request {
		return load.Request{ID: fmt.Sprintf("%s/%d-%d", c.name, began, i), Method: c.method, Path: c.path, Body: c.body}
	}
	return s
}

// crashCase is a request that crashes the upstreams of a service, and requests that run
// beside it and differ from it in one part.
type crashCase struct {
	name       string
	service    string
	crashing   content
	bystanders []content
}

const crashName = "crashing"

func crashCases() []crashCase {
	return []crashCase{
		{
			name: "repeatable", service: "archive",
			crashing: content{crashName, "theatre", http.MethodGet, "/runs/7", ""},
			bystanders: []content{
				{"other path", "theatre", http.MethodGet, "/runs/8", ""},
				{"other customer", "football", http.MethodGet, "/runs/7", ""},
				{"other body", "theatre", http.MethodGet, "/runs/7", "with designs"},
			},
		},
		{
			name: "runs once", service: "orders",
			crashing: content{crashName, "theatre", http.MethodPost, "/orders/quick", "666 stubs"},
			bystanders: []content{
				{"other body", "theatre", http.MethodPost, "/orders/quick", "200 stubs"},
				{"other body of the same length", "theatre", http.MethodPost, "/orders/quick", "667 stubs"},
				{"other customer", "football", http.MethodPost, "/orders/quick", "666 stubs"},
			},
		},
	}
}

// startCrashing starts the Press deployment with customers that depend on the upstreams
// only, and upstreams that crash in each run of the crashing request.
func startCrashing(t *testing.T, c crashCase) (context.Context, *site.Running) {
	t.Helper()
	ctx, r := startUnlimited(t)
	football := r.Site.Customers["football"]
	football.Unlimited = true
	assert.NilError(t, r.Publish(ctx, model.KindCustomer, "football", football))
	assert.NilError(t, r.InForce(ctx))
	crashes := func(q *http.Request) bool { return strings.HasPrefix(q.Header.Get(fakes.RequestID), crashName+"/") }
	for _, i := range nodesOf(r, c.service) {
		r.Nodes[i].Upstream.SetServiceTime(bystanderTime)
		r.Nodes[i].Upstream.CrashOn(crashes, crashDown)
	}
	return ctx, r
}

// play sends the crashing request for the duration d, beside bystanders.
func (c crashCase) play(ctx context.Context, t *testing.T, r *site.Running, d time.Duration) load.Report {
	t.Helper()
	beside := make(chan load.Report, 1)
	go func() { beside <- load.Run(ctx, load.Client(), c.bystanderStreams(r), d) }()
	awaitRunning(t, r, c.service, bystanders)
	rep := load.Run(ctx, load.Client(), []load.Stream{c.crashing.stream(r, crashRate)}, d)
	rep.Outcomes = append(rep.Outcomes, (<-beside).Outcomes...)
	return rep
}

func (c crashCase) bystanderStreams(r *site.Running) []load.Stream {
	var out []load.Stream
	for _, b := range c.bystanders {
		out = append(out, b.stream(r, bystanderRate))
	}
	return out
}

// history is what the upstreams of a site recorded of a crashing request.
type history struct {
	arrivals []fakes.CrashingRequest
	crashes  []fakes.Crash
}

func historyOf(r *site.Running) history {
	var h history
	for _, n := range r.Nodes {
		h.arrivals = append(h.arrivals, n.Upstream.CrashingRequests()...)
		h.crashes = append(h.crashes, n.Upstream.Crashes()...)
	}
	slices.SortFunc(h.arrivals, func(a, b fakes.CrashingRequest) int { return a.Arrived.Compare(b.Arrived) })
	slices.SortFunc(h.crashes, func(a, b fakes.Crash) int { return a.At.Compare(b.At) })
	return h
}

// known returns the time from which the bound holds.
func (h history) known(t *testing.T) time.Time {
	t.Helper()
	assert.Assert(t, len(h.crashes) >= crashesToKnow, "%d crashes", len(h.crashes))
	return h.crashes[crashesToKnow-1].At.Add(crashWindow)
}

// repeats returns the arrivals since the given time.
func (h history) repeats(since time.Time) []fakes.CrashingRequest {
	return slices.DeleteFunc(slices.Clone(h.arrivals), func(q fakes.CrashingRequest) bool { return q.Arrived.Before(since) })
}

// beside returns the number of crashes at which a request with the given content ran.
func (h history) beside(c content) int {
	n := 0
	for _, crash := range h.crashes {
		if slices.ContainsFunc(crash.Running, func(id string) bool { return strings.HasPrefix(id, c.name+"/") }) {
			n++
		}
	}
	return n
}

// Guards against a request that goes on crashing upstreams after it has crashed three.
func TestCrashingRequestReachesFewUpstreams(t *testing.T) {
	for _, test := range crashCases() {
		t.Run(test.name, func(t *testing.T) {
			ctx, r := startCrashing(t, test)
			rep := test.play(ctx, t, r, 8*time.Second)
			h := historyOf(r)
			known := h.known(t)
			repeats := h.repeats(known)
			assert.Check(t, len(repeats) <= maxRepeats, "%d arrivals after the window, %d crashes in all", len(repeats), len(h.crashes))
			checkRefusals(t, rep, known, repeats)
		})
	}
}

// checkRefusals checks that the crashing requests sent since the given time, except those
// that arrived at an upstream, were refused at once as not executed.
func checkRefusals(t *testing.T, rep load.Report, since time.Time, arrived []fakes.CrashingRequest) {
	t.Helper()
	refused := 0
	for _, o := range rep.Outcomes {
		reached := func(q fakes.CrashingRequest) bool { return q.ID == o.ID }
		if o.Kind != crashName || o.Sent.Before(since) || slices.ContainsFunc(arrived, reached) {
			continue
		}
		refused++
		assert.Check(t, o.Status >= http.StatusInternalServerError && o.Executed == refuse.NotExecuted && o.Took < promptRefusal,
			"status %d, %s, executed %q after %s, %v", o.Status, o.Reason, o.Executed, o.Took, o.Err)
	}
	assert.Check(t, refused > 0, "no request refused since %s", since)
}

// Guards against the refusal of requests that ran at the upstreams when another one
// crashed them.
func TestRequestsBesideCrashAreServed(t *testing.T) {
	for _, test := range crashCases() {
		t.Run(test.name, func(t *testing.T) {
			ctx, r := startCrashing(t, test)
			test.play(ctx, t, r, 5*time.Second)
			h := historyOf(r)
			for _, b := range test.bystanders {
				assert.Check(t, h.beside(b) > 0, "%s ran at none of %d crashes", b.name, len(h.crashes))
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				rep := load.Run(ctx, load.Client(), test.bystanderStreams(r), time.Second)
				if completed(rep) < 1 {
					return poll.Continue("%.3f served: %v", completed(rep), servedSince(rep, rep.Began))
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(0))
		})
	}
}

// servedSince returns the numbers of requests sent since the given time, by kind and
// status.
func servedSince(rep load.Report, since time.Time) string {
	counts := map[string]int{}
	for _, o := range rep.Outcomes {
		if !o.Sent.Before(since) {
			counts[fmt.Sprintf("%s: %d %s", o.Kind, o.Status, o.Reason)]++
		}
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s ×%d", k, counts[k]))
	}
	return strings.Join(out, ", ")
}

// Guards against a crashing request that the fleet forgets when nodes restart.
func TestCrashingRequestStaysKnownThroughRestarts(t *testing.T) {
	for _, test := range crashCases() {
		t.Run(test.name, func(t *testing.T) {
			ctx, r := startCrashing(t, test)
			test.play(ctx, t, r, 5*time.Second)
			known := historyOf(r).known(t)
			for i := range r.Nodes {
				restart(ctx, t, r, i)
				awaitMembers(ctx, t, r, r.Nodes[i])
				sendOnce(ctx, r, test.crashing, r.Nodes[i])
			}
			oneByOne := len(historyOf(r).repeats(known))
			for _, n := range r.Nodes[1:] {
				n.Kill()
			}
			for i := range r.Nodes[1:] {
				restart(ctx, t, r, i+1)
			}
			awaitMembers(ctx, t, r, r.Nodes...)
			sendOnce(ctx, r, test.crashing, r.Nodes...)
			all := len(historyOf(r).repeats(known))
			assert.Check(t, all <= maxRepeats, "%d arrivals after the window, %d of them before the restart of all nodes but one", all, oneByOne)
		})
	}
}

// awaitMembers waits until the nodes know the targets of all nodes.
func awaitMembers(ctx context.Context, t *testing.T, r *site.Running, nodes ...*site.Node) {
	t.Helper()
	assert.NilError(t, r.Await(ctx, func() bool {
		return !slices.ContainsFunc(nodes, func(n *site.Node) bool {
			members := slices.DeleteFunc(n.Status().Members, func(m report.Member) bool { return m.Service == "" })
			return len(members) < len(r.Nodes)
		})
	}))
}

// sendOnce sends a request to each of the nodes.
func sendOnce(ctx context.Context, r *site.Running, c content, nodes ...*site.Node) {
	q := c.stream(r, 0)
	for i, n := range nodes {
		load.Send(ctx, http.DefaultClient, "http://"+n.Addrs().Callers, q.Key, q.Make(i))
	}
}
