package main

import (
	"fmt"

	"dogwoodsill.org/bench/policy"
	"github.com/spf13/cobra"
)

// newPolicyCommand returns the command that simulates the overload policy and two
// baselines in virtual time. The command fails if the policy of this repository
// misses a bound.
func newPolicyCommand() *cobra.Command {
	var site string
	var seed uint64
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare the overload policy with two baselines in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sites, err := policy.Sites(site)
			if err != nil {
				return err
			}
			cmd.SilenceUsage = true
			return runPolicy(cmd, sites, seed)
		},
	}
	cmd.Flags().StringVar(&site, "site", "", "press or koorbank; both if empty")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the runs")
	return cmd
}

// runPolicy evaluates the policies at each site and writes the results. It returns
// an error if any bound was missed.
func runPolicy(cmd *cobra.Command, sites []policy.Site, seed uint64) error {
	missed := 0
	policies := policy.Policies()
	for _, s := range sites {
		results := policy.Evaluate(s, policy.All(), policies, seed)
		if err := policy.Write(cmd.OutOrStdout(), s, policies, results); err != nil {
			return err
		}
		for _, r := range results {
			if !r.Pass() {
				missed++
			}
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d bounds missed", missed)
	}
	return nil
}
