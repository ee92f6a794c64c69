package burn

import (
	"time"

	"dogwoodsill.org/core/model"
)

// Alert is a pair of windows with the burn rate above which it holds.
type Alert struct {
	Name      string
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// Alerts returns the alerts in the order of their urgency. The thresholds are
// those for a period of 30 days: 2% of the budget used within one hour, and 5%
// within six hours.
func Alerts() []Alert {
	return []Alert{
		{Name: "page", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "ticket", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
	}
}

// Rate returns the burn rate of counts under an objective: the part of bad
// requests in relation to the part that the objective allows. It is 0 without
// requests.
func Rate(c Counts, objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - objective)
}

// Windows holds the burn rates of the windows of the alerts.
type Windows struct {
	Min5  float64 `json:"5m"`
	Hour1 float64 `json:"1h"`
	Min30 float64 `json:"30m"`
	Hour6 float64 `json:"6h"`
}

// Objective is the state of one objective, for all requests that it counts or
// for those of one customer and importance.
type Objective struct {
	Service    string  `json:"service"`
	Importance *int    `json:"importance,omitempty"` // nil for every importance
	Customer   *string `json:"customer,omitempty"`   // nil for every customer; empty for requests without a key
	Objective  float64 `json:"objective"`
	LatencyMS  int64   `json:"latencyMs,omitempty"`
	Counts     Counts  `json:"counts"`     // over the kept time
	BudgetLeft float64 `json:"budgetLeft"` // part of the budget of the kept time; negative if overspent
	Burn       Windows `json:"burn"`
	Alert      string  `json:"alert,omitempty"` // the most urgent alert that holds
}

// Usage are the counts of one customer at one service and importance.
type Usage struct {
	Service    string `json:"service"`
	Importance int    `json:"importance"`
	Customer   string `json:"customer"`
	Counts     Counts `json:"counts"` // over the kept time, without a latency limit
}

// Report is the state of every objective and the counts of every customer.
type Report struct {
	Until      time.Time   `json:"until"` // time of the latest document
	Objectives []Objective `json:"objectives"`
	Customers  []Objective `json:"customers"` // objectives by customer and importance
	Usage      []Usage     `json:"usage"`
}

// Report computes the report of the table.
func (t *Table) Report() Report {
	r := Report{Until: t.until, Objectives: []Objective{}, Customers: []Objective{}, Usage: []Usage{}}
	for _, service := range t.Services() {
		for _, o := range t.objectives[service] {
			r.Objectives = append(r.Objectives, t.objective(service, o, nil))
			for _, s := range t.Customers(service) {
				if Applies(o, s.Importance) {
					r.Customers = append(r.Customers, t.objective(service, o, &s))
				}
			}
		}
		for _, s := range t.Customers(service) {
			counts := t.Sum(service, Retention, 0, func(other Series) bool { return other == s })
			r.Usage = append(r.Usage, Usage{Service: service, Importance: s.Importance, Customer: s.Customer, Counts: counts})
		}
	}
	return r
}

// objective computes the state of an objective, for one customer and importance
// if one is given.
func (t *Table) objective(service string, o model.SLO, one *Series) Objective {
	match := countedBy(o)
	out := Objective{Service: service, Importance: o.Importance, Objective: o.Objective, LatencyMS: o.LatencyMS}
	if one != nil {
		out.Importance, out.Customer = &one.Importance, &one.Customer
		all := match
		match = func(s Series) bool {
			return all(s) && s.Customer == one.Customer && s.Importance == one.Importance
		}
	}
	rate := func(window time.Duration) float64 { return Rate(t.Sum(service, window, 0, match), o.Objective) }
	out.Counts = t.Sum(service, Retention, 0, match)
	out.Burn = Windows{Min5: rate(5 * time.Minute), Hour1: rate(time.Hour), Min30: rate(30 * time.Minute), Hour6: rate(Retention)}
	out.BudgetLeft = 1 - out.Burn.Hour6
	for _, a := range Alerts() {
		if out.Alert == "" && rate(a.Short) > a.Threshold && rate(a.Long) > a.Threshold {
			out.Alert = a.Name
		}
	}
	return out
}

// Point is the burn rate of a window that ends at a time.
type Point struct {
	At   time.Time
	Rate float64
}

// History returns the burn rates of an objective over the kept time, for
// windows of the given length that end one step apart.
func (t *Table) History(service string, o model.SLO, window, step time.Duration) []Point {
	match := countedBy(o)
	var out []Point
	for back := Retention - window; back >= 0; back -= step {
		c := t.Sum(service, window, int64(back/Slot), match)
		out = append(out, Point{At: t.End().Add(-back), Rate: Rate(c, o.Objective)})
	}
	return out
}
