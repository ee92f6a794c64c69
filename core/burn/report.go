package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Count counts the calls of one window.
type Count struct {
	Total   uint64 `json:"total" msgpack:"total"`     // calls, except those above their customer's rate
	Bad     uint64 `json:"bad" msgpack:"bad"`         // calls that missed the objective
	Refused uint64 `json:"refused" msgpack:"refused"` // calls refused within their customer's rate; they are bad too
}

// Add adds another count.
func (c *Count) Add(o Count) {
	c.Total += o.Total
	c.Bad += o.Bad
	c.Refused += o.Refused
}

// RefusedFraction returns the fraction of calls that were refused although
// within their customer's rate.
func (c Count) RefusedFraction() float64 {
	return fraction(c.Refused, c.Total)
}

func fraction(part, total uint64) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Series counts the calls of one service, importance and customer against a
// latency limit.
type Series struct {
	Service    string  `json:"service" msgpack:"service"`
	Importance int     `json:"importance" msgpack:"importance"`
	Customer   string  `json:"customer" msgpack:"customer"`
	LatencyMS  int64   `json:"latencyMs" msgpack:"latencyMs"` // 0 for no limit
	Counts     []Count `json:"counts" msgpack:"counts"`       // by window
}

// Report is the state of the counters of one or several nodes.
type Report struct {
	Windows []time.Duration `json:"windows" msgpack:"windows"` // nanoseconds
	Nodes   int             `json:"nodes" msgpack:"nodes"`     // nodes that the report covers
	Series  []Series        `json:"series" msgpack:"series"`   // in a fixed order
}

// Report returns the counts of the node.
func (c *Counters) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Windows: Windows(), Nodes: 1}
	for id, s := range c.series {
		out := Series{Service: id.service, Importance: id.importance, Customer: id.customer, LatencyMS: id.latencyMS}
		for i := range windows {
			out.Counts = append(out.Counts, s.sum(now, i))
		}
		if out.Counts[windowCount-1].Total > 0 {
			r.Series = append(r.Series, out)
		}
	}
	r.sort()
	return r
}

// MergeError says that a report can't be merged, as its windows differ from
// those of this version or a series lacks some.
type MergeError struct {
	Windows []time.Duration
}

// Error implements error.
func (e *MergeError) Error() string {
	return fmt.Sprintf("burn report: windows %v or a series don't match %v", e.Windows, windows)
}

// Merge adds reports in any order. Reports that can't be merged are left out,
// and the error joins a *MergeError for each of them.
func Merge(reports ...Report) (Report, error) {
	sum := Report{Windows: Windows()}
	place := map[seriesID]int{}
	var err error
	for i := range reports {
		if !reports[i].complete() {
			err = errors.Join(err, &MergeError{Windows: reports[i].Windows})
			continue
		}
		sum.add(&reports[i], place)
	}
	sum.sort()
	return sum, err
}

// add adds a complete report. place is the index of each series.
func (r *Report) add(o *Report, place map[seriesID]int) {
	r.Nodes += o.Nodes
	for _, s := range o.Series {
		i, ok := place[s.id()]
		if ok {
			addCounts(r.Series[i].Counts, s.Counts)
			continue
		}
		place[s.id()] = len(r.Series)
		s.Counts = slices.Clone(s.Counts)
		r.Series = append(r.Series, s)
	}
}

// complete reports whether every series has a count for each window.
func (r *Report) complete() bool {
	return slices.Equal(r.Windows, windows[:]) && !slices.ContainsFunc(r.Series, func(s Series) bool { return len(s.Counts) != windowCount })
}

func (s *Series) id() seriesID {
	return seriesID{s.Service, s.Importance, s.Customer, s.LatencyMS}
}

func (r *Report) sort() {
	slices.SortFunc(r.Series, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.LatencyMS, b.LatencyMS),
			cmp.Compare(a.Importance, b.Importance),
			cmp.Compare(a.Customer, b.Customer),
		)
	})
}
