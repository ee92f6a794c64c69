package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/pubsh"
	"dogwoodsill.org/core/strict"
)

// Environment variables that provide defaults for flags.
const (
	EnvLog   = "DOGWOODSILL_LOG"
	EnvNodes = "DOGWOODSILL_NODES"
)

// defaultTimeout exceeds the 17 s within which a change takes effect in a fleet of
// the target size.
const defaultTimeout = 30 * time.Second

// Option configures Run.
type Option func(*cli)

// WithHTTPClient sets the HTTP client for the log service and the nodes.
func WithHTTPClient(hc *http.Client) Option {
	return func(c *cli) { c.http = hc }
}

// WithEnv sets the function that looks up environment variables; the default is
// os.Getenv.
func WithEnv(getenv func(string) string) Option {
	return func(c *cli) { c.getenv = getenv }
}

// cli holds the global flags, HTTP client and output writers of one invocation.
type cli struct {
	logURL  string
	nodes   []string
	output  show.Format
	timeout time.Duration
	http    *http.Client
	getenv  func(string) string
	out     io.Writer
	errOut  io.Writer
}

// Run executes the command given by args and returns the exit status. Customers'
// keys are redacted in everything that is written to stderr.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, opts ...Option) int {
	c := &cli{output: show.Table, http: strict.NewClient(), getenv: os.Getenv, out: stdout, errOut: stderr}
	for _, opt := range opts {
		opt(c)
	}
	err := c.run(ctx, args)
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(stderr, "admin:", show.Redact(err.Error()))
	}
	return exitStatus(err)
}

func (c *cli) run(ctx context.Context, args []string) error {
	if slices.ContainsFunc(args, show.HasKey) {
		return errors.New("an argument holds a customer's key; keys are never given to admin, name the key by its identifier (see: admin key list)")
	}
	cmd := c.root()
	cmd.SetArgs(args)
	cmd.SetOut(c.out)
	cmd.SetErr(c.errOut)
	return cmd.ExecuteContext(ctx)
}

func (c *cli) root() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Operate a dogwoodsill deployment",
		Long: `Operate a dogwoodsill deployment: publish configuration to the platform's log and
read the state of the nodes from their operations listeners.

` + exitHelp,
		Example: `  export DOGWOODSILL_LOG=http://10.0.0.5:7000 DOGWOODSILL_NODES=10.0.1.1:9000,10.0.2.1:9000
  admin apply -f site.toml --dry-run
  admin customer set theatre --rate 300 --burst 600 --wait
  admin status`,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(*cobra.Command, []string) error { return c.check() },
	}
	f := cmd.PersistentFlags()
	f.StringVar(&c.logURL, "log", c.getenv(EnvLog), "base `URL` of the log service (env "+EnvLog+")")
	f.StringSliceVar(&c.nodes, "nodes", split(c.getenv(EnvNodes)), "operations `addresses` of nodes, comma-separated (env "+EnvNodes+")")
	f.Var(&c.output, "output", "table or json")
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "time for the whole command, --wait included")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
	cmd.AddCommand(c.applyCommand(), c.customerCommand(), c.keyCommand(), c.serviceCommand(), c.routeCommand(),
		c.importanceCommand(), c.fleetCommand(), c.statusCommand(), c.explainCommand(), c.reportCommand(), c.logCommand())
	return cmd
}

// group returns a command that only has subcommands. Called without one, it
// returns an error that points to --help.
func group(use, short string, subs ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short,
		Example: subs[0].Example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("%s needs a command, see: %s --help", cmd.CommandPath(), cmd.CommandPath())
		},
	}
	cmd.AddCommand(subs...)
	return cmd
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// check validates the global flags.
func (c *cli) check() error {
	if c.timeout <= 0 {
		return errors.New("--timeout must be above 0")
	}
	if c.logURL != "" {
		u, err := url.Parse(c.logURL)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return fmt.Errorf("--log %q is not an http or https URL", c.logURL)
		}
	}
	_, err := nodes.New(c.nodes, c.http)
	return err
}

func (c *cli) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return context.WithTimeout(cmd.Context(), c.timeout)
}

func (c *cli) logClient() (*logsvc.Client, error) {
	if c.logURL == "" {
		return nil, errors.New("set the log service with --log or " + EnvLog)
	}
	return logsvc.NewClient(strings.TrimRight(c.logURL, "/"), c.http), nil
}

func (c *cli) nodeClient() (*nodes.Client, error) {
	if len(c.nodes) == 0 {
		return nil, errors.New("set nodes with --nodes or " + EnvNodes)
	}
	return nodes.New(c.nodes, c.http)
}

// view reads the configuration for a read-only command.
func (c *cli) view(cmd *cobra.Command) (*config.View, error) {
	log, err := c.logClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.context(cmd)
	defer cancel()
	p := pubsh.New(log)
	if err := p.Refresh(ctx); err != nil {
		return nil, exitf(ExitUnreachable, "the configuration can't be read: %w", err)
	}
	return p.View(), nil
}

// write prints v as JSON or rows as a table, depending on --output.
func (c *cli) write(v any, rows *show.Rows) error {
	if c.output == show.JSON {
		return show.WriteJSON(c.out, v)
	}
	return rows.Write(c.out)
}
