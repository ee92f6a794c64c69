package main

import (
	"github.com/spf13/cobra"

	"dogwoodsill.org/bench/cost"
)

func newCostCommand() *cobra.Command {
	o := cost.DefaultOptions()
	cmd := &cobra.Command{
		Use:     "cost",
		Short:   "Measure what nodes add to a call and spend on control",
		Example: "  bench cost\n  bench cost --calls 1000 --nodes 9,18 --idle 3s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.SilenceUsage = true
			return cost.Run(cmd.Context(), cmd.OutOrStdout(), o)
		},
	}
	f := cmd.Flags()
	f.IntVar(&o.Calls, "calls", o.Calls, "calls for the latency")
	f.IntSliceVar(&o.Sizes, "nodes", o.Sizes, "sizes of the idle fleets")
	f.IntSliceVar(&o.Customers, "customers", o.Customers, "numbers of customers")
	f.DurationVar(&o.Idle, "idle", o.Idle, "time of each measurement of an idle fleet")
	return cmd
}
