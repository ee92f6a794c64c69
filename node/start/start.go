package start

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/agent"
)

// Program describes a program that runs a node. Command returns its command line.
type Program struct {
	Use, Short, Long, Example string

	SettingsFile string    // settings file if the flag --config is not set
	Output       io.Writer // log output
	// Complete validates settings that only this program needs and sets values
	// derived from them; may be nil.
	Complete func(cfg *setup.Node) error
	// Options returns further options of the agent; may be nil.
	Options func(cfg setup.Node) []agent.Option
	// Serve starts the servers that the program runs beside the agent. They run until
	// ctx ends or closeAll is called. Serve may be nil.
	Serve func(ctx context.Context, a *agent.Agent, cfg setup.Node, log hclog.Logger) (closeAll func(), err error)
	// KillMargin is subtracted from the shutdown timeout, so that the shutdown ends
	// before the process is killed.
	KillMargin time.Duration
}

// Command returns the command of the program with its flags.
func (p Program) Command() *cobra.Command {
	var checkOnly bool
	file := p.SettingsFile
	cmd := &cobra.Command{
		Use:          p.Use,
		Short:        p.Short,
		Long:         p.Long,
		Example:      p.Example,
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			load := func(data []byte) (setup.Node, error) { return p.load(file, data) }
			cfg, err := load(data)
			if err != nil {
				return err
			}
			if checkOnly {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", file)
				return err
			}
			setMemoryLimit(cfg.Limits)
			return p.run(cmd.Context(), cfg, newSource(file, data, load))
		},
	}
	cmd.Flags().StringVarP(&file, "config", "c", p.SettingsFile, "settings `file` (TOML)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// notifyStop returns a context that ends with the first SIGTERM or SIGINT. After ignoreMore, a
// further SIGTERM has no effect, so that it doesn't cut the requests that a shutdown answers; a
// further SIGINT ends the process at once.
func notifyStop(ctx context.Context) (stopped context.Context, ignoreMore func()) {
	stopped, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	return stopped, func() {
		signal.Ignore(syscall.SIGTERM)
		stop()
	}
}

// run runs the node until SIGTERM or SIGINT and then shuts it down gracefully.
func (p Program) run(ctx context.Context, cfg setup.Node, changes *FileSource) error {
	out := lines.NewWriter(p.Output)
	defer flush(out)
	log := newLogger(cfg.Logging, out)
	ctx, ignoreMore := notifyStop(ctx)
	defer ignoreMore()
	opts := []agent.Option{agent.WithLogger(log), agent.WithSettings(changes), agent.WithDroppedLogLines(out.Dropped)}
	if p.Options != nil {
		opts = append(opts, p.Options(cfg)...)
	}
	a, err := agent.New(cfg, opts...)
	if err != nil {
		return err
	}
	if p.Serve != nil {
		closeAll, err := p.Serve(ctx, a, cfg, log)
		if err != nil {
			return err
		}
		defer closeAll()
	}
	<-ctx.Done()
	ignoreMore()
	timeout := a.ShutdownTimes().Timeout.D() - p.KillMargin
	log.Info("shutting down", "timeout", timeout)
	end, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	began := time.Now()
	err = a.Shutdown(end)
	log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}

func (p Program) load(file string, data []byte) (setup.Node, error) {
	cfg, err := setup.Parse(file, data)
	if err == nil && p.Complete != nil {
		err = p.Complete(&cfg)
	}
	return cfg, err
}
