package route

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
	"k8s.io/apimachinery/pkg/labels"
)

// Match is the route of a request.
type Match struct {
	Name  string
	Route model.Route
}

// Table matches requests to the routes of a configuration. It is read-only and
// safe for concurrent use.
type Table struct {
	mux   *http.ServeMux
	rules []importanceRule
	view  *config.View
	// Conflicts describes the routes that were left out because their pattern
	// conflicts with that of an earlier route. It is ordered by the names of
	// the routes.
	Conflicts []string
}

// routeHandler is the handler that ServeMux returns for a route. It never
// serves requests.
type routeHandler struct {
	match Match
}

func (*routeHandler) ServeHTTP(http.ResponseWriter, *http.Request) {}

// importanceRule assigns a level of importance to the requests whose route,
// service and customer match its label selectors.
type importanceRule struct {
	name                        string
	order, level                int
	routes, services, customers labels.Selector
}

// NewTable builds the table of a configuration.
func NewTable(v *config.View) *Table {
	t := &Table{mux: http.NewServeMux(), view: v}
	names := make([]string, 0, len(v.Routes))
	for name := range v.Routes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.addRoute(name, v.Routes[name])
	}
	for name, imp := range v.Importance {
		t.addRule(name, imp)
	}
	slices.SortFunc(t.rules, func(a, b importanceRule) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.name, b.name))
	})
	return t
}

// addRoute registers a route. ServeMux panics if its pattern is invalid or
// conflicts with an earlier one; such a route is left out and listed in
// Conflicts.
func (t *Table) addRoute(name string, r model.Route) {
	defer func() {
		if p := recover(); p != nil {
			t.Conflicts = append(t.Conflicts, fmt.Sprintf("route %q: %v", name, p))
		}
	}()
	t.mux.Handle(r.Pattern, &routeHandler{match: Match{Name: name, Route: r}})
}

// addRule adds an importance rule. A rule with an invalid selector is left out.
func (t *Table) addRule(name string, imp model.Importance) {
	r := importanceRule{name: name, order: imp.Order, level: imp.Level}
	for _, f := range []struct {
		text string
		sel  *labels.Selector
	}{{imp.Routes, &r.routes}, {imp.Services, &r.services}, {imp.Customers, &r.customers}} {
		sel, err := labels.Parse(f.text)
		if err != nil {
			return
		}
		*f.sel = sel
	}
	t.rules = append(t.rules, r)
}

// Lookup returns the route of a request. The path is matched as it was sent, with empty and dot
// segments. Routes for internal calls match only if internal is set.
func (t *Table) Lookup(r *http.Request, internal bool) (Match, bool) {
	h, _ := t.mux.Handler(withLiteralPath(r))
	e, ok := h.(*routeHandler)
	if !ok || e.match.Route.Internal && !internal {
		return Match{}, false
	}
	return e.match, true
}

// LeavesRoute reports whether a target that resolves the segments ".." of a request's path
// would take it for a request of another route than m, or of none.
func (t *Table) LeavesRoute(r *http.Request, m Match) bool {
	if !hasParentSegment(r.URL.Path) {
		return false
	}
	resolved := path.Clean("/" + r.URL.Path)
	if strings.HasSuffix(r.URL.Path, "/") && resolved != "/" {
		resolved += "/"
	}
	c := *r
	c.URL = &url.URL{Path: resolved}
	got, ok := t.Lookup(&c, true)
	return !ok || got.Name != m.Name
}

// Importance returns the importance of a customer's requests on a route, from 0
// (most important) to model.MaxLevel. The customer is empty for a request
// without a key; on a route with a priority, such a request counts as a call
// made for a running request.
func (t *Table) Importance(m Match, customer string) int {
	if m.Route.Priority != nil {
		return priorityLevel(*m.Route.Priority, t.view.Customers[customer].Priority, customer)
	}
	routeLabels := labels.Set(m.Route.Labels)
	serviceLabels := labels.Set(t.view.Services[m.Route.Service].Labels)
	customerLabels := labels.Set(t.view.Customers[customer].Labels)
	for _, r := range t.rules {
		if r.routes.Matches(routeLabels) && r.services.Matches(serviceLabels) && r.customers.Matches(customerLabels) {
			return r.level
		}
	}
	return model.DefaultLevel
}

// routePriorities is the number of route priorities that are distinguished
// within one customer priority: 0 for orders, 1 for uploads and 2 for lookups.
const routePriorities = 3

// priorityLevel returns the importance for the priorities of a route and a
// customer. The customer's priority has precedence. Requests without a customer
// are taken for calls made for requests that are already running, so they are
// more important than all new requests.
func priorityLevel(route, customerPriority int, customer string) int {
	if customer == "" {
		return 0
	}
	return min(model.MaxLevel, 1+max(0, customerPriority)*routePriorities+min(max(0, route), routePriorities-1))
}
