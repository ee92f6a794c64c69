package policy

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// Result holds the values of a measure at a site. It is one row of the table.
type Result struct {
	Measure Measure
	Values  []float64 // by policy; the bound applies to the first only
}

// Pass reports whether the first policy meets the bound.
func (r Result) Pass() bool {
	return r.Measure.Pass(r.Values[0])
}

// parallel is the maximum number of concurrent runs. It bounds the memory for
// pending events.
const parallel = 4

// Evaluate runs each measure with each policy at a site.
func Evaluate(site Site, measures []Measure, policies []Policy, seed uint64) []Result {
	out := make([]Result, len(measures))
	var wg sync.WaitGroup
	free := make(chan struct{}, parallel)
	for i, m := range measures {
		out[i] = Result{Measure: m, Values: make([]float64, len(policies))}
		for j, p := range policies {
			free <- struct{}{}
			wg.Go(func() {
				out[i].Values[j] = m.Run(site, p, seed)
				<-free
			})
		}
	}
	wg.Wait()
	return out
}

// Write prints the results of a site as a table.
func Write(w io.Writer, site Site, policies []Policy, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\tbound", site.Name)
	for _, p := range policies {
		fmt.Fprintf(t, "\t%s", p.Name)
	}
	fmt.Fprint(t, "\tverdict\n")
	for _, r := range results {
		sign, verdict := ">=", "pass"
		if r.Measure.Most {
			sign = "<="
		}
		if !r.Pass() {
			verdict = "FAIL"
		}
		fmt.Fprintf(t, "%s\t%s %g %s", r.Measure.Name, sign, r.Measure.Bound, r.Measure.Unit)
		for _, x := range r.Values {
			fmt.Fprintf(t, "\t%.4f", x)
		}
		fmt.Fprintf(t, "\t%s\n", verdict)
	}
	return t.Flush()
}
