// Command node runs the overload control node beside an upstream instance.
package main

import (
	"os"

	"dogwoodsill.org/node/start"
)

func main() {
	program := start.Program{
		Use:          "node --config FILE",
		Short:        "Run the overload control node beside an upstream instance",
		Example:      "  node --config node.toml\n  node --config node.toml --check",
		SettingsFile: "node.toml",
		Output:       os.Stderr,
	}
	if err := program.Command().Execute(); err != nil {
		os.Exit(1)
	}
}
