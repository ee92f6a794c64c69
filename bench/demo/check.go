package demo

import (
	"fmt"
	"strings"
	"time"

	"dogwoodsill.org/bench/audit"
	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/core/refuse"
)

// row is a row of a table. A row without a limit is only informative, because its
// value depends on the speed of the machine.
type row struct {
	label string
	value string
	limit string
	ok    bool
}

// limitRow returns a row for a guarantee: count must not exceed limit.
func limitRow(what string, count, limit int) row {
	return row{label: what, value: fmt.Sprint(count), limit: fmt.Sprintf("at most %d", limit), ok: count <= limit}
}

// figureRow returns an informative row.
func figureRow(what, format string, args ...any) row {
	return row{label: what, value: fmt.Sprintf(format, args...)}
}

// goodput returns the number of successful requests per second, counting only
// outcomes for which keep returns true.
func goodput(rep load.Report, keep func(load.Outcome) bool) float64 {
	n := count(rep.Outcomes, func(o load.Outcome) bool { return o.OK() && keep(o) })
	return float64(n) / rep.Ended.Sub(rep.Began).Seconds()
}

func count(list []load.Outcome, match func(load.Outcome) bool) int {
	n := 0
	for _, o := range list {
		if match(o) {
			n++
		}
	}
	return n
}

func isLookup(o load.Outcome) bool { return o.Kind == "lookup" }
func isOrder(o load.Outcome) bool  { return o.Kind == "order" }
func anyOutcome(load.Outcome) bool { return true }

// percentage returns the percentage of outcomes that match part among those that
// match whole.
func percentage(list []load.Outcome, part, whole func(load.Outcome) bool) string {
	n := count(list, whole)
	if n == 0 {
		return "none sent"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(count(list, part))/float64(n))
}

// common returns the rows that the tables of all phases share.
func (d *demo) common(rep load.Report) []row {
	rows := []row{
		figureRow("requests sent", "%d", len(rep.Outcomes)),
		figureRow("goodput per second", "%.0f", goodput(rep, anyOutcome)),
		figureRow("orders completed", "%s", percentage(rep.Outcomes, func(o load.Outcome) bool { return isOrder(o) && o.OK() }, isOrder)),
	}
	return append(rows, d.invariants(rep.Outcomes)...)
}

// invariants returns the rows for the guarantees that must hold in every phase.
func (d *demo) invariants(list []load.Outcome) []row {
	runs := audit.Runs(d.run, "runs", "order")
	return []row{
		limitRow("orders that ran more than once", audit.Doubled(runs), 0),
		limitRow("refused as not run, but ran", audit.FalseNo(list, runs), 0),
		limitRow("answers that belong to another request", audit.Mismatched(list), 0),
		limitRow("customers above burst + rate*t", audit.AboveRate(d.run, runs, time.Since(d.began)), 0),
	}
}

func (d *demo) checkNormal(rep load.Report) []row {
	d.baseline = goodput(rep, anyOutcome)
	inside := count(rep.Outcomes, func(o load.Outcome) bool { return o.Reason == string(refuse.RateLimited) })
	return append(d.common(rep), figureRow("refused inside the rate", "%d", inside))
}

func (d *demo) checkSurge(rep load.Report) []row {
	return append(d.common(rep),
		figureRow("lookups completed", "%s", percentage(rep.Outcomes, func(o load.Outcome) bool { return isLookup(o) && o.OK() }, isLookup)),
		figureRow("refused by rate", "%d", count(rep.Outcomes, func(o load.Outcome) bool { return o.Reason == string(refuse.RateLimited) })),
		figureRow("refused by load", "%d", count(rep.Outcomes, func(o load.Outcome) bool { return o.Reason == string(refuse.Overloaded) })),
	)
}

func (d *demo) checkRecovery(rep load.Report) []row {
	return append(d.common(rep), figureRow("goodput against normal", "%.0f%%", 100*goodput(rep, anyOutcome)/d.baseline))
}

func (d *demo) checkRevoked(rep load.Report) []row {
	name := d.revoked()
	ran := 0
	for id := range audit.Runs(d.run, "runs", "order") {
		if strings.HasPrefix(id, name+"/key withdrawal/") {
			ran++
		}
	}
	return append(d.common(rep), limitRow("requests of the withdrawn key that ran", ran, 0))
}

func (d *demo) checkDrained(rep load.Report) []row {
	ran := 0
	for id := range d.drained().Upstream.AllRuns() {
		if strings.Contains(id, "/upstream drain/") {
			ran++
		}
	}
	return append(d.common(rep), limitRow("new work at the draining upstream", ran, 0))
}

func (d *demo) checkOutage(rep load.Report) []row {
	failed := count(rep.Outcomes, func(o load.Outcome) bool { return isOrder(o) && !o.OK() })
	return append(d.common(rep), figureRow("orders not completed", "%d", failed))
}

// checkWholeRun writes the table of the guarantees that are checked over the whole
// run.
func (d *demo) checkWholeRun() {
	d.table("whole run", []row{limitRow("customers' keys seen by upstreams", audit.KeysSeen(d.run), 0)})
}
