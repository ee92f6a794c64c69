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

// OrderMark is contained in the request identifier of every order. The text
// before the first slash of an identifier is the customer.
const OrderMark = "/order/"

// Runs returns the executions of each request, by request identifier, at the
// services of the given routes. Chain calls carry the identifier of their root
// request, so the routes must not include services that chain calls reach.
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

// Doubled returns the number of orders that ran more than once.
func Doubled(runs map[string]fakes.Run) int {
	n := 0
	for id, run := range runs {
		if strings.Contains(id, OrderMark) && run.Count > 1 {
			n++
		}
	}
	return n
}

// FalseNo returns the number of refusals that wrongly say executed "no": either
// the request was sent once and ran, or it is an order that had already run when
// the refused request was sent. If the order ran later, it ran for a later
// request with the same key, and the earlier refusal was correct.
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

// Mismatched returns the number of responses with status 200 whose content is
// wrong, for example because it carries the identifier of another request.
func Mismatched(list []load.Outcome) int {
	n := 0
	for _, o := range list {
		if o.OK() && o.Err != nil {
			n++
		}
	}
	return n
}

// AboveRate returns the number of customers with more executed requests than
// their burst and rate permit in the time since the start. Retries by the nodes
// count once and repeats of an order that got its stored response do not count,
// so the result is a lower bound.
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

// KeysSeen returns the number of customer keys that reached an upstream. A key
// counts once for each upstream.
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
