package start

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"dogwoodsill.org/core/setup"
)

// Program is a program that runs a node.
type Program struct {
	Use, Short, Long, Example string

	File string // settings file without the flag --config
	// Complete checks what the program needs beyond a node and fills in what
	// follows from it; may be nil.
	Complete func(cfg *setup.Node) error
	// Run serves until it is told to end. The source tells of changed settings.
	Run func(ctx context.Context, cfg setup.Node, changes *Source) error
}

// Command returns the command line of the program.
func (p Program) Command() *cobra.Command {
	var checkOnly bool
	file := p.File
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
			boundMemory(cfg.Limits)
			return p.Run(cmd.Context(), cfg, newSource(file, data, load))
		},
	}
	cmd.Flags().StringVarP(&file, "config", "c", p.File, "settings `file` (TOML)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

func (p Program) load(file string, data []byte) (setup.Node, error) {
	cfg, err := setup.Parse(file, data)
	if err == nil && p.Complete != nil {
		err = p.Complete(&cfg)
	}
	return cfg, err
}
