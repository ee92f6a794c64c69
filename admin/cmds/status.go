package cmds

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
)

func (c *cli) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as the given nodes see it",
		Long: `Show the fleet as the given nodes see it: instances, zones, upstreams, epochs, and the
offset and age of each configuration. An instance that is not among --nodes is shown
as the others know it, without an age. Evacuated zones and differences between the views
follow.`,
		Example: "  admin status --nodes 10.0.1.1:9000,10.0.2.1:9000\n  admin status --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := c.nodeClient()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			view := nodes.Merge(client.Statuses(ctx))
			if err := c.printFleet(view); err != nil {
				return err
			}
			if len(view.Unreachable) > 0 {
				return exitf(ExitUnreachable, "%d of %d nodes can't be read", len(view.Unreachable), len(view.Unreachable)+view.Views)
			}
			return nil
		},
	}
}

func (c *cli) printFleet(f nodes.Fleet) error {
	if c.output == show.JSON {
		return show.WriteJSON(c.out, f)
	}
	rows := &show.Rows{Header: []string{"ZONE", "INSTANCE", "STATE", "SERVICE", "UPSTREAM", "LOAD", "EPOCH", "LEASE", "OFFSET", "AGE", "SEEN"}}
	for _, i := range f.Instances {
		rows.Add(i.Zone, i.Name, i.State, orDash(i.Service), orDash(i.Upstream), orDash(i.Load), i.Epoch, orDash(i.Lease), i.Offset, age(i.AgeMS), fmt.Sprintf("%d/%d", i.SeenBy, f.Views))
	}
	if err := rows.Write(c.out); err != nil {
		return err
	}
	for _, u := range f.Unreachable {
		if _, err := fmt.Fprintf(c.out, "can't be read: %s: %s\n", u.Addr, show.Clean(u.Reason)); err != nil {
			return err
		}
	}
	for _, z := range f.Evacuated {
		if _, err := fmt.Fprintln(c.out, show.Clean(z.String())); err != nil {
			return err
		}
	}
	for _, d := range f.Differences {
		if _, err := fmt.Fprintf(c.out, "difference: %s\n", show.Clean(d)); err != nil {
			return err
		}
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// maxAge exceeds any real age of a configuration. A node reports -1 before its
// first configuration and the maximum duration until that is confirmed to be the
// newest.
const maxAge = 100 * 365 * 24 * time.Hour

func age(ms *int64) string {
	switch {
	case ms == nil:
		return "-"
	case *ms < 0 || *ms > maxAge.Milliseconds():
		return "never"
	default:
		return (time.Duration(*ms) * time.Millisecond).String()
	}
}
