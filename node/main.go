// Command node is the process that runs beside each upstream instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/agent"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var file string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:          "node --config FILE",
		Short:        "Run the overload control node beside an upstream instance",
		Example:      "  node --config node.toml\n  node --config node.toml --check",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := setup.Load(file)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
				return err
			}
			return run(cmd.Context(), cfg)
		},
	}
	cmd.Flags().StringVarP(&file, "config", "c", "node.toml", "settings `file` (TOML)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// run serves until SIGTERM or SIGINT and then shuts down gracefully.
func run(ctx context.Context, cfg setup.Node) error {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "node",
		Level:      hclog.LevelFromString(cfg.Logging.Level),
		JSONFormat: cfg.Logging.JSON,
		Output:     os.Stderr,
	})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	a, err := agent.New(cfg, agent.WithLogger(log))
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	log.Info("shutting down", "timeout", cfg.Shutdown.Timeout.D())
	end, cancel := context.WithTimeout(context.Background(), cfg.Shutdown.Timeout.D())
	defer cancel()
	return a.Shutdown(end)
}
