// Command bench runs the demo, the fault tests and the measurements, and serves a
// deployment for manual use.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

// newRootCommand returns the root command. Each subcommand has its constructor in
// its own file.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "bench",
		Short: "Demo, measurements and load tool of dogwoodsill",
	}
	root.AddCommand(newDemoCommand(), newPolicyCommand(), newSpreadCommand(), newMatrixCommand(), newSoakCommand(), newCostCommand(), newServeCommand())
	return root
}
