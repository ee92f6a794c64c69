package main

import (
	"dogwoodsill.org/bench/spread"
	"github.com/spf13/cobra"
)

// newSpreadCommand returns the command that compares the choice of targets with
// and without service times in virtual time.
func newSpreadCommand() *cobra.Command {
	var seed uint64
	cmd := &cobra.Command{
		Use:   "spread",
		Short: "Compare the choice of targets with and without service times in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cmd.SilenceUsage = true
			return spread.Write(cmd.OutOrStdout(), seed)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 7, "seed of the runs")
	return cmd
}
