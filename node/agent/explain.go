package agent

import (
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/node/opsapi"
	"dogwoodsill.org/node/relay"
)

// Explain tells where a request of a caller would go now, without sending it.
func (a *Agent) Explain(q opsapi.ExplainQuery) report.Explanation {
	now := time.Now()
	out := report.Explanation{Instance: a.cfg.Instance.Name, Targets: []report.ExplainedTarget{}}
	cur := a.store.Current()
	if cur == nil {
		out.Refused = "the node has no configuration yet"
		return out
	}
	r := &http.Request{Method: q.Method, Host: q.Host, URL: &url.URL{Path: q.Path}, Header: http.Header{}}
	m, ok := cur.Table.Lookup(r, false)
	if !ok {
		out.Refused = fmt.Sprintf("no route for %s %s", q.Method, q.Path)
		return out
	}
	out.Route, out.Service = m.Name, m.Route.Service
	if len(m.Route.Split) > 0 {
		out.Service = q.Service
		if !slices.ContainsFunc(m.Route.Split, func(s model.Part) bool { return s.Service == q.Service }) {
			out.Refused = fmt.Sprintf("route %q has a traffic split; name one of its services", m.Name)
			return out
		}
	}
	if _, known := cur.View.Customers[q.Customer]; q.Customer != "" && !known {
		out.Refused = fmt.Sprintf("customer %q is not known", q.Customer)
		return out
	}
	if q.Customer == "" && !m.Route.Open {
		out.Refused = fmt.Sprintf("route %q needs a key; name a customer", m.Name)
		return out
	}
	out.Importance = cur.Table.Importance(m, q.Customer)
	e := a.caller.Explain(out.Service, q.Customer, out.Importance, relay.QueryOf(q.BodyBytes, time.Duration(m.Route.LatencyGoalMS)*time.Millisecond), now)
	out.Admitted = e.Admitted
	for _, t := range e.Targets {
		out.Targets = append(out.Targets, explainedTarget(t))
	}
	if len(out.Targets) == 0 {
		out.Refused = fmt.Sprintf("no target of service %q is known", out.Service)
	}
	return out
}

func explainedTarget(e picker.Explanation) report.ExplainedTarget {
	t := report.ExplainedTarget{
		ID: e.ID, Zone: e.Zone, Excluded: e.Excluded, Chance: e.Chance, InFlight: e.InFlight, Load: e.Load, Limit: e.Limit,
		ServiceUS: e.ServiceTime.Microseconds(), Attempts: e.Attempts,
	}
	if e.FeedbackAge >= 0 {
		ms := e.FeedbackAge.Milliseconds()
		t.FeedbackAgeMS = &ms
	}
	return t
}
