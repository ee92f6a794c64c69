package burn

import (
	"time"

	"dogwoodsill.org/core/model"
)

// Alert is active while the burn rates of both windows are above Threshold.
type Alert struct {
	Name      string
	Short     time.Duration
	Long      time.Duration
	Threshold float64
}

// Alerts returns the alerts, the most urgent first. The thresholds are for an
// objective period of 30 days: 2% of the budget used within one hour, and 5%
// within six hours.
func Alerts() []Alert {
	return []Alert{
		{Name: "page", Short: 5 * time.Minute, Long: time.Hour, Threshold: 14.4},
		{Name: "ticket", Short: 30 * time.Minute, Long: 6 * time.Hour, Threshold: 6},
	}
}

// Rate returns the burn rate of counts for an objective: the fraction of bad
// requests, divided by the fraction that the objective allows. It is 0 if there
// are no requests.
func Rate(c Counts, objective float64) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - objective)
}

// Windows holds the burn rates of the alert windows.
type Windows struct {
	Min5  float64 `json:"5m"`
	Hour1 float64 `json:"1h"`
	Min30 float64 `json:"30m"`
	Hour6 float64 `json:"6h"`
}

// Objective is the state of one objective, for all requests that it applies to or
// for those of one customer and importance.
type Objective struct {
	Service    string  `json:"service"`
	Importance *int    `json:"importance,omitempty"` // nil for every importance
	Customer   *string `json:"customer,omitempty"`   // nil for every customer; empty for requests without a key
	Objective  float64 `json:"objective"`
	LatencyMS  int64   `json:"latencyMs,omitempty"`
	Counts     Counts  `json:"counts"`     // over the retention time
	BudgetLeft float64 `json:"budgetLeft"` // remaining fraction of the budget over the retention time; negative if exceeded
	Burn       Windows `json:"burn"`
	Alert      string  `json:"alert,omitempty"` // name of the most urgent active alert
}

// Usage holds the counts of one customer at one service and importance.
type Usage struct {
	Service    string `json:"service"`
	Importance int    `json:"importance"`
	Customer   string `json:"customer"`
	Counts     Counts `json:"counts"` // over the retention time, without a latency limit
}

// Report holds the state of every objective and the counts of every customer.
type Report struct {
	Until      time.Time   `json:"until"` // time of the newest document
	Objectives []Objective `json:"objectives"`
	Customers  []Objective `json:"customers"` // objectives by customer and importance
	Usage      []Usage     `json:"usage"`
}

// Report computes a report from the merged documents.
func (t *Table) Report() Report {
	r := Report{Until: t.until, Objectives: []Objective{}, Customers: []Objective{}, Usage: []Usage{}}
	for _, service := range t.Services() {
		for _, o := range t.objectives[service] {
			r.Objectives = append(r.Objectives, t.objective(service, o, nil))
			for _, s := range t.CustomerSeries(service) {
				if Applies(o, s.Importance) {
					r.Customers = append(r.Customers, t.objective(service, o, &s))
				}
			}
		}
		for _, s := range t.CustomerSeries(service) {
			counts := t.Sum(service, Retention, 0, func(other Series) bool { return other == s })
			r.Usage = append(r.Usage, Usage{Service: service, Importance: s.Importance, Customer: s.Customer, Counts: counts})
		}
	}
	return r
}

// objective computes the state of an objective. If series is not nil, it includes
// only requests of its customer and importance.
func (t *Table) objective(service string, o model.SLO, series *Series) Objective {
	match := seriesMatcher(o)
	out := Objective{Service: service, Importance: o.Importance, Objective: o.Objective, LatencyMS: o.LatencyMS}
	if series != nil {
		out.Importance, out.Customer = &series.Importance, &series.Customer
		all := match
		match = func(s Series) bool {
			return all(s) && s.Customer == series.Customer && s.Importance == series.Importance
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

// History returns the burn rates of an objective over the retention time, for
// windows of the given length whose ends are one step apart.
func (t *Table) History(service string, o model.SLO, window, step time.Duration) []Point {
	match := seriesMatcher(o)
	var out []Point
	for back := Retention - window; back >= 0; back -= step {
		c := t.Sum(service, window, int64(back/Slot), match)
		out = append(out, Point{At: t.End().Add(-back), Rate: Rate(c, o.Objective)})
	}
	return out
}
