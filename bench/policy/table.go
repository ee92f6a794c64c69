package policy

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Result is a row of the table for a site.
type Result struct {
	Measure Measure
	Values  []float64 // by policy; the bound applies to the first
}

// Pass reports whether the first policy meets the bound.
func (r Result) Pass() bool {
	return r.Measure.Pass(r.Values[0])
}

// Evaluate runs measures for every policy at a site.
func Evaluate(site Site, measures []Measure, policies []Policy, seed uint64) []Result {
	out := make([]Result, len(measures))
	for i, m := range measures {
		out[i].Measure = m
		for _, p := range policies {
			out[i].Values = append(out[i].Values, m.Run(site, p, seed))
		}
	}
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
