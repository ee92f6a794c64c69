package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"dogwoodsill.org/bench/demo"
	"dogwoodsill.org/bench/site"
)

func newDemoCommand() *cobra.Command {
	var selected func() (site.Site, error)
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Run a deployment in one process and check what the users were promised",
		Example: "  bench demo\n  bench demo --site koorbank",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := selected()
			if err != nil {
				return err
			}
			cmd.SilenceUsage = true
			return demo.Run(cmd.Context(), cmd.OutOrStdout(), s)
		},
	}
	selected = siteFlag(cmd)
	return cmd
}

// siteFlag adds the flag --site to a command. The returned function returns the
// selected deployment; it must be called after the flags were parsed.
func siteFlag(cmd *cobra.Command) func() (site.Site, error) {
	name := cmd.Flags().String("site", "press", "deployment: press or koorbank")
	return func() (site.Site, error) {
		s, ok := site.ByName(*name)
		if !ok {
			return site.Site{}, fmt.Errorf("no site %q; use press or koorbank", *name)
		}
		return s, nil
	}
}
