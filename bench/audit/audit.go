package audit

import (
	"slices"
	"strings"
	"time"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/bench/site"
	"dogwoodsill.org/core/refuse"
)

// OrderMark is the part of a request identifier that marks an order. The part
// before the first slash is the customer.
const OrderMark = "/order/"

// Runs returns the runs of each request at the services of some routes. Chain
// calls carry the identifier of their root request, so the services that they
// reach must not be among them.
func Runs(r *site.Running, routes ...string) map[string]fakes.Run {
	var services []string
	for _, name := range routes {
		services = append(services, r.Site.Routes[name].Service)
	}
	out := map[string]fakes.Run{}
	for _, n := range r.Nodes {
		if !slices.Contains(services, n.Service) {
			continue
		}
		for id, run := range n.Upstream.AllRuns() {
			out[id] = out[id].Add(run)
		}
	}
	return out
}

// Doubled counts the orders that ran more than once.
func Doubled(runs map[string]fakes.Run) int {
	n := 0
	for id, run := range runs {
		if strings.Contains(id, OrderMark) && run.Count > 1 {
			n++
		}
	}
	return n
}

// FalseNo counts the refusals with executed "no" that were false: of a request
// that was sent once and ran, or of an order that already ran when the refused
// request was sent. An order that ran later ran for a later request with its
// key, which does not make the earlier refusal false.
func FalseNo(list []load.Outcome, runs map[string]fakes.Run) int {
	sent := map[string]int{}
	for _, o := range list {
		sent[o.ID]++
	}
	n := 0
	for _, o := range list {
		run, ran := runs[o.ID]
		if o.Executed != refuse.NotExecuted || !ran {
			continue
		}
		if sent[o.ID] == 1 || o.Idem != "" && run.First.Before(o.Sent) {
			n++
		}
	}
	return n
}

// Mismatched counts the answers that belong to another request.
func Mismatched(list []load.Outcome) int {
	n := 0
	for _, o := range list {
		if o.OK() && o.Err != nil {
			n++
		}
	}
	return n
}

// AboveRate counts the customers of which more requests ran than their burst
// and rate permit since the start. Attempts that the system repeated count once,
// and repeats of an order that got its stored answer not at all, so the count
// errs in favour of the nodes.
func AboveRate(r *site.Running, runs map[string]fakes.Run, since time.Duration) int {
	ran := map[string]int{}
	for id := range runs {
		customer, _, _ := strings.Cut(id, "/")
		ran[customer]++
	}
	n := 0
	for name, c := range r.Site.Customers {
		if float64(ran[name]) > float64(c.Burst)+c.Rate*since.Seconds() {
			n++
		}
	}
	return n
}

// KeysSeen counts the customers' keys that reached an upstream, once for each
// upstream.
func KeysSeen(r *site.Running) int {
	n := 0
	for _, node := range r.Nodes {
		for _, key := range r.AllKeys {
			if node.Upstream.Saw(key) {
				n++
			}
		}
	}
	return n
}
