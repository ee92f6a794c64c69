// Command node is the process that runs beside each upstream instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodsill.org/core/lines"
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
	out := lines.NewWriter(os.Stderr)
	defer start.Flush(out)
	log := start.NewLogger(cfg.Logging, out)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	a, err := agent.New(cfg, agent.WithLogger(log), agent.WithSettings(changes), agent.WithUnwritten(out.LeftOut))
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
