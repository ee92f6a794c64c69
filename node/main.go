// Command node is the process that runs beside each upstream instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/agent"
	"dogwoodsill.org/node/start"
)

func main() {
	program := start.Program{
		Use:     "node --config FILE",
		Short:   "Run the overload control node beside an upstream instance",
		Example: "  node --config node.toml\n  node --config node.toml --check",
		File:    "node.toml",
		Run:     run,
	}
	if err := program.Command().Execute(); err != nil {
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and then shuts down gracefully.
func run(ctx context.Context, cfg setup.Node, changes *start.Source) error {
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "node",
		Level:      hclog.LevelFromString(cfg.Logging.Level),
		JSONFormat: cfg.Logging.JSON,
		Output:     os.Stderr,
	})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	a, err := agent.New(cfg, agent.WithLogger(log), agent.WithSettings(changes))
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	timeout := a.ShutdownTimes().Timeout.D()
	log.Info("shutting down", "timeout", timeout)
	end, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return a.Shutdown(end)
}
