package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodsill.org/core/model"
)

// Alert says how urgent a burn rate is.
type Alert string

// Alerts.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket" // the budget ends before its period does
	AlertPage   Alert = "page"   // the budget ends within hours
)

// rule raises an alert if both windows burn at least at a rate. The rates are
// for a budget of 72 h: 14.4 uses 20% of it in an hour, 6 uses half in 6 h.
type rule struct {
	alert       Alert
	long, short time.Duration
	rate        float64
}

// minAlertCalls is the number of calls in the short window below which a rule
// raises no alert: with fewer, one failed call can exceed every rate.
const minAlertCalls = 20

var rules = []rule{
	{AlertPage, time.Hour, 5 * time.Minute, 14.4},
	{AlertPage, 6 * time.Hour, 30 * time.Minute, 6},
	{AlertTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// Scope says which fields of a row are set.
type Scope string

// Scopes.
const (
	ScopeService    Scope = "service"    // all calls that the objective covers
	ScopeImportance Scope = "importance" // those of one importance
	ScopeCustomer   Scope = "customer"   // those of one importance and customer
)

// Rate is the burn rate of one window.
type Rate struct {
	Window time.Duration `json:"window"` // nanoseconds
	Count
	Burn float64 `json:"burn"` // 0 without calls
}

// Row compares one objective with the calls of a scope.
type Row struct {
	Scope      Scope     `json:"scope"`
	Service    string    `json:"service"`
	Importance int       `json:"importance"`
	Customer   string    `json:"customer"`
	SLO        model.SLO `json:"slo"`
	Rates      []Rate    `json:"rates"`  // shortest window first
	Budget     float64   `json:"budget"` // fraction left of the longest window's budget; negative when overspent
	Alert      Alert     `json:"alert"`
}

// scopeID names the calls that a row covers.
type scopeID struct {
	scope      Scope
	service    string
	importance int
	customer   string
}

// Evaluate compares a report that Merge or Counters.Report returned with the
// objectives of the services. For each
// objective it returns a row for the service, then for each importance and
// customer with calls. Objectives without calls have no row.
func Evaluate(r Report, services map[string]model.Service) []Row {
	byService := map[string][]Series{}
	for _, s := range r.Series {
		byService[s.Service] = append(byService[s.Service], s)
	}
	var rows []Row
	for _, name := range slices.Sorted(maps.Keys(services)) {
		for _, slo := range services[name].SLOs {
			rows = append(rows, evaluate(r.Windows, byService[name], slo)...)
		}
	}
	return rows
}

// evaluate returns the rows of one objective.
func evaluate(ws []time.Duration, all []Series, slo model.SLO) []Row {
	sums := map[scopeID][]Count{}
	for _, s := range all {
		if s.LatencyMS != slo.LatencyMS || !covers(slo, s.Importance) {
			continue
		}
		for _, k := range []scopeID{
			{ScopeService, s.Service, 0, ""},
			{ScopeImportance, s.Service, s.Importance, ""},
			{ScopeCustomer, s.Service, s.Importance, s.Customer},
		} {
			sums[k] = addCounts(sums[k], s.Counts)
		}
	}
	rows := make([]Row, 0, len(sums))
	for k, counts := range sums {
		rows = append(rows, newRow(k, slo, ws, counts))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(order(a.Scope), order(b.Scope)),
			cmp.Compare(a.Importance, b.Importance),
			cmp.Compare(a.Customer, b.Customer),
		)
	})
	return rows
}

// order returns the place of a scope among the rows of an objective.
func order(s Scope) int {
	return slices.Index([]Scope{ScopeService, ScopeImportance, ScopeCustomer}, s)
}

func addCounts(sum, counts []Count) []Count {
	if sum == nil {
		sum = make([]Count, len(counts))
	}
	for i := range counts {
		sum[i].Add(counts[i])
	}
	return sum
}

func newRow(id scopeID, slo model.SLO, ws []time.Duration, counts []Count) Row {
	r := Row{
		Scope:      id.scope,
		Service:    id.service,
		Importance: id.importance,
		Customer:   id.customer,
		SLO:        slo,
		Budget:     1,
		Alert:      AlertNone,
	}
	for i, c := range counts {
		r.Rates = append(r.Rates, Rate{Window: ws[i], Count: c, Burn: burnRate(c, slo.Objective)})
	}
	if n := len(r.Rates); n > 0 {
		r.Budget = 1 - r.Rates[n-1].Burn
	}
	for _, rule := range rules {
		short := r.rate(rule.short)
		if short.Total >= minAlertCalls && short.Burn >= rule.rate && r.rate(rule.long).Burn >= rule.rate {
			r.Alert = rule.alert
			break
		}
	}
	return r
}

// burnRate returns the fraction of bad calls over the fraction that the
// objective allows. Objectives lie in (0, 1), see package config.
func burnRate(c Count, objective float64) float64 {
	return fraction(c.Bad, c.Total) / (1 - objective)
}

// rate returns the rate of a window, or zero if the report doesn't have it.
func (r *Row) rate(window time.Duration) Rate {
	for _, rate := range r.Rates {
		if rate.Window == window {
			return rate
		}
	}
	return Rate{}
}
