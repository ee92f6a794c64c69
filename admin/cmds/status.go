package cmds

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
)

func (c *cli) statusCommand() *cobra.Command {
	var instance string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as the given nodes see it",
		Long: `Show the fleet as the given nodes see it: instances, zones, upstreams, epochs, and the
offset and age of each configuration. An instance that is not among --nodes is shown
as the others know it, without an age. Evacuated zones and differences between the views
follow. With --upstream, what the node of that instance knows of the capacity of its upstream.`,
		Example: "  admin status --nodes 10.0.1.1:9000,10.0.2.1:9000\n  admin status --output json\n  admin status --upstream bole-archive-0",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := c.nodeClient()
			if err != nil {
				return err
			}
			ctx, cancel := c.context(cmd)
			defer cancel()
			view := nodes.Merge(client.Statuses(ctx))
			if instance != "" {
				return c.printCapacity(view, instance)
			}
			if err := c.printFleet(view); err != nil {
				return err
			}
			if len(view.Unreachable) > 0 {
				return exitf(ExitUnreachable, "%d of %d nodes can't be read", len(view.Unreachable), len(view.Unreachable)+view.Views)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&instance, "upstream", "", "show the capacity of the upstream beside this instance")
	return cmd
}

// printCapacity prints what the node of an instance knows of the capacity of its upstream.
func (c *cli) printCapacity(f nodes.Fleet, instance string) error {
	at := slices.IndexFunc(f.Instances, func(i nodes.Instance) bool { return i.Name == instance && i.Capacity != nil })
	if at < 0 {
		return exitf(ExitUnreachable, "no status of instance %s with an upstream was read; it must be among --nodes", show.Clean(instance))
	}
	i := f.Instances[at]
	if c.output == show.JSON {
		return show.WriteJSON(c.out, i)
	}
	rows := &show.Rows{Header: []string{"INSTANCE", "SERVICE", "UPSTREAM", "LOAD", "SLOTS", "LEARNED LIMIT", "SERVICE TIME", "WORK TIME"}}
	workTime := "-"
	if i.Capacity.WorkTime > 0 {
		workTime = fmt.Sprintf("%.2f", i.Capacity.WorkTime)
	}
	rows.Add(i.Name, i.Service, i.Upstream, i.Load, i.Capacity.Slots, limitOrDash(i.Capacity.LearnedLimit), serviceTime(i.Capacity.ServiceUS), workTime)
	return rows.Write(c.out)
}

// limitOrDash returns a learned limit, or a dash if none is in use.
func limitOrDash(n int) string {
	if n <= 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

// serviceTime returns a learned service time, or a dash if none is known.
func serviceTime(us int64) string {
	if us <= 0 {
		return "-"
	}
	return (time.Duration(us) * time.Microsecond).String()
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
