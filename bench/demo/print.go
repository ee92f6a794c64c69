package demo

import (
	"fmt"
	"text/tabwriter"
	"time"

	"dogwoodsill.org/bench/load"
)

// print writes the table of a phase.
func (d *demo) print(name string, rep load.Report, rows []row) {
	d.table(fmt.Sprintf("%s (%.1f s)", name, rep.Ended.Sub(rep.Began).Round(100*time.Millisecond).Seconds()), rows)
}

// table writes a table of the rows and counts the guarantees that did not hold.
func (d *demo) table(title string, rows []row) {
	_, _ = fmt.Fprintf(d.w, "\n%s\n", title)
	t := tabwriter.NewWriter(d.w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		verdict := ""
		switch {
		case r.limit != "" && r.ok:
			verdict = "kept"
		case r.limit != "":
			verdict = "BROKEN"
			d.missed++
		}
		_, _ = fmt.Fprintf(t, "  %s\t%s\t%s\t%s\n", r.label, r.value, r.limit, verdict)
	}
	_ = t.Flush()
}
