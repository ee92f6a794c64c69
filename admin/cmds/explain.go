package cmds

import (
	"fmt"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/report"
)

func (c *cli) explainCommand() *cobra.Command {
	q := url.Values{}
	var method, host, customer, service string
	var bodyBytes int64
	cmd := &cobra.Command{
		Use:   "explain PATH",
		Short: "Show where each node would send a request now, and why, without sending it",
		Long: `Show where each of the given nodes would send a request of a caller now, and why,
without sending it: the route and the service, the fraction of such requests that the
admission level permits, and for each target its chance to be chosen, the figures
that decide it, or why it is left out. Rates of customers, idempotency keys and the
queue of the chosen target are not considered.`,
		Example: "  admin explain /orders --method POST --customer theatre\n  admin explain /runs/7 --host press.example --customer theatre --output json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for name, value := range map[string]string{
				"path": args[0], "method": method, "host": host, "customer": customer, "service": service,
				"bodyBytes": strconv.FormatInt(bodyBytes, 10),
			} {
				q.Set(name, value)
			}
			client, err := c.nodeClient()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			return c.printExplanations(client.Explanations(ctx, q))
		},
	}
	f := cmd.Flags()
	f.StringVar(&method, "method", "GET", "method of the request")
	f.StringVar(&host, "host", "", "host of the request")
	f.StringVar(&customer, "customer", "", "name of the customer; empty for a request without a key")
	f.StringVar(&service, "service", "", "service, for a route with a traffic split")
	f.Int64Var(&bodyBytes, "body-bytes", 0, "size of the body in bytes")
	return cmd
}

// printExplanations prints what the nodes said. It returns an error if some can't be read.
func (c *cli) printExplanations(replies []nodes.Reply[report.Explanation]) error {
	rows := &show.Rows{Header: []string{"INSTANCE", "SERVICE", "ADMITTED", "TARGET", "ZONE", "CHANCE", "IN FLIGHT", "LOAD", "LIMIT", "SERVICE TIME", "ATTEMPTS", "LEFT OUT"}}
	var docs []report.Explanation
	unreachable := 0
	for _, r := range replies {
		if r.Err != nil {
			unreachable++
			if _, err := fmt.Fprintf(c.errOut, "can't be read: %s: %s\n", r.Addr, show.Clean(r.Err.Error())); err != nil {
				return err
			}
			continue
		}
		docs = append(docs, r.Doc)
		addExplanation(rows, r.Doc)
	}
	var err error
	if c.output == show.JSON {
		err = show.WriteJSON(c.out, docs)
	} else {
		err = rows.Write(c.out)
	}
	if err == nil && unreachable > 0 {
		err = exitf(ExitUnreachable, "%d of %d nodes can't be read", unreachable, len(replies))
	}
	return err
}

func addExplanation(rows *show.Rows, e report.Explanation) {
	if e.Refused != "" {
		rows.Add(e.Instance, e.Service, "refused: "+e.Refused, "", "", "", "", "", "", "", "", "")
	}
	for _, t := range e.Targets {
		rows.Add(e.Instance, e.Service, fmt.Sprintf("%.3f", e.Admitted), t.ID, t.Zone, fmt.Sprintf("%.3f", t.Chance), t.InFlight,
			fmt.Sprintf("%.1f", t.Load), limitOrDash(t.Limit), serviceTime(t.ServiceUS), fmt.Sprintf("%.2f", t.Attempts), t.Excluded)
	}
}
