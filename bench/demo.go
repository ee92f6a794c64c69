package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"dogwoodsill.org/bench/demo"
	"dogwoodsill.org/bench/site"
)

func newDemoCommand() *cobra.Command {
	name := "press"
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a deployment in one process and check what the users were promised",
		Example: "  bench demo\n  bench demo --site koorbank",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, ok := site.ByName(name)
			if !ok {
				return fmt.Errorf("no site %q; use press or koorbank", name)
			}
			cmd.SilenceUsage = true
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), s)
		},
	}
	cmd.Flags().StringVar(&name, "site", name, "deployment: press or koorbank")
	return cmd
}
