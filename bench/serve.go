package main

import (
	"fmt"
	"io"
	"maps"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"dogwoodsill.org/bench/site"
)

func newServeCommand() *cobra.Command {
	var selected func() (site.Site, error)
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run a deployment in one process until it is interrupted",
		Example: "  bench serve\n  bench serve --site koorbank",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := selected()
			if err != nil {
				return err
			}
			cmd.SilenceUsage = true
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			r, err := site.Start(ctx, s)
			if err != nil {
				return err
			}
			defer r.Stop()
			if err := printEnvironment(cmd.OutOrStdout(), r); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	selected = siteFlag(cmd)
	return cmd
}

// printEnvironment prints shell commands that set the environment variables for
// callers and for the operators' command line.
func printEnvironment(w io.Writer, r *site.Running) error {
	var ops []string
	for _, n := range r.Nodes {
		ops = append(ops, n.Addrs().Operations)
	}
	customer := slices.Sorted(maps.Keys(r.Keys))[0]
	_, err := fmt.Fprintf(w, "export NODE=%s KEY=%s   # customer %s\nexport DOGWOODSILL_LOG=%s DOGWOODSILL_NODES=%s\n",
		r.Nodes[0].Addrs().Callers, r.Keys[customer], customer, r.Log.URL(), strings.Join(ops, ","))
	return err
}
