package cmds

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/chart"
	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/burn"
)

func (c *cli) reportCommand() *cobra.Command {
	return group("report", "Report on objectives", c.reportBurn())
}

func (c *cli) reportBurn() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Show how fast services use up their error budgets",
		Long: `Show how fast services use up their error budgets, over all services, importances and
customers. The counts of the given nodes for the last six hours are added up; each
node counts the requests that it took from callers since it started. Instances that
are not among --nodes are named.

A burn rate of 1 uses up the budget exactly within the period of the objective. A
page is due when both the last 5 minutes and the last hour burn faster than 14.4, a
ticket when both the last 30 minutes and the last 6 hours burn faster than 6.`,
		Example: "  admin report burn\n  admin report burn --output json\n  admin report burn --html burn.html",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := c.context(cmd)
			defer cancel()
			b, err := c.mergeBurnCounts(ctx)
			if err != nil {
				return err
			}
			if err := b.write(c, file); err != nil {
				return err
			}
			if n := len(b.Unreachable); n > 0 {
				return exitf(ExitUnreachable, "%d of %d nodes can't be read", n, n+len(b.Instances))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "html", "", "write an HTML page with plots to a `file`, which is replaced")
	_ = cmd.MarkFlagFilename("html", "html")
	return cmd
}

// burnReport is the JSON output of admin report burn.
type burnReport struct {
	burn.Report
	Instances   []string        `json:"instances"` // included in the report
	Missing     []string        `json:"missing"`   // known to other nodes but not included
	Unreachable []nodes.Pending `json:"unreachable,omitempty"`
	table       *burn.Table
}

// mergeBurnCounts fetches the counts of all given nodes and merges them into a
// report.
func (c *cli) mergeBurnCounts(ctx context.Context) (*burnReport, error) {
	client, err := c.nodeClient()
	if err != nil {
		return nil, err
	}
	b := &burnReport{Instances: []string{}, Missing: []string{}, table: burn.NewTable()}
	for _, r := range client.Burned(ctx) {
		if r.Err == nil {
			r.Err = b.table.Merge(r.Doc)
		}
		if r.Err != nil {
			b.Unreachable = append(b.Unreachable, nodes.Pending{Addr: r.Addr, Reason: r.Err.Error()})
			continue
		}
		b.Instances = append(b.Instances, r.Doc.Instance)
	}
	if len(b.Instances) == 0 {
		return nil, exitf(ExitUnreachable, "no node can be read: %s", b.Unreachable[0])
	}
	slices.Sort(b.Instances)
	b.Instances = slices.Compact(b.Instances)
	for _, i := range nodes.Merge(client.Statuses(ctx)).Instances {
		if !slices.Contains(b.Instances, i.Name) {
			b.Missing = append(b.Missing, i.Name)
		}
	}
	b.Report = b.table.Report()
	return b, nil
}

// notes describes which instances and nodes the report covers and which it
// doesn't.
func (b *burnReport) notes() []string {
	out := []string{fmt.Sprintf("counts of %d instances until %s", len(b.Instances), b.Until.Format("2006-01-02 15:04 MST"))}
	if len(b.Missing) > 0 {
		out = append(out, "not covered: "+strings.Join(b.Missing, ", "))
	}
	for _, u := range b.Unreachable {
		out = append(out, "can't be read: "+u.String())
	}
	return out
}

func (b *burnReport) write(c *cli, file string) error {
	if file != "" {
		return b.writePage(c, file)
	}
	if c.output == show.JSON {
		return show.WriteJSON(c.out, b)
	}
	for _, n := range b.notes() {
		if _, err := fmt.Fprintln(c.out, show.Clean(n)); err != nil {
			return err
		}
	}
	for _, rows := range []*show.Rows{objectiveRows(b.Objectives), customerRows(b.Customers), usageRows(b.Usage)} {
		if _, err := fmt.Fprintln(c.out); err != nil {
			return err
		}
		if err := rows.Write(c.out); err != nil {
			return err
		}
	}
	return nil
}

func (b *burnReport) writePage(c *cli, file string) error {
	page, err := chart.NewPage(b.table, b.notes())
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := page.Write(&buf); err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(show.Redact(buf.String())), 0o644); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.out, "%s: %d objectives, %d plots\n", file, len(b.Objectives), len(page.Plots))
	return err
}

func objectiveRows(list []burn.Objective) *show.Rows {
	rows := &show.Rows{Header: []string{"OBJECTIVE", "REQUESTS", "BAD", "INSIDE-RATE", "BUDGET-LEFT", "5M", "1H", "30M", "6H", "ALERT"}}
	for _, o := range list {
		rows.Add(append([]any{chart.Title(o), o.Counts.Total, o.Counts.Bad, o.Counts.Inside}, rateCells(o)...)...)
	}
	return rows
}

func customerRows(list []burn.Objective) *show.Rows {
	rows := &show.Rows{Header: []string{"CUSTOMER", "OBJECTIVE", "REQUESTS", "BAD", "BUDGET-LEFT", "5M", "1H", "30M", "6H", "ALERT"}}
	for _, o := range list {
		rows.Add(append([]any{chart.CustomerName(*o.Customer), chart.Title(o), o.Counts.Total, o.Counts.Bad}, rateCells(o)...)...)
	}
	return rows
}

func rateCells(o burn.Objective) []any {
	cells := []any{fmt.Sprintf("%.1f%%", 100*o.BudgetLeft)}
	for _, r := range []float64{o.Burn.Min5, o.Burn.Hour1, o.Burn.Min30, o.Burn.Hour6} {
		cells = append(cells, fmt.Sprintf("%.2f", r))
	}
	return append(cells, orDash(o.Alert))
}

func usageRows(list []burn.Usage) *show.Rows {
	rows := &show.Rows{Header: []string{"SERVICE", "IMPORTANCE", "CUSTOMER", "REQUESTS", "BAD", "REFUSED-INSIDE-RATE", "REFUSED-OVER-RATE"}}
	for _, u := range list {
		rows.Add(u.Service, u.Importance, chart.CustomerName(u.Customer), u.Counts.Total, u.Counts.Bad, u.Counts.Inside, u.Counts.Over)
	}
	return rows
}
