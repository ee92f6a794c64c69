package cmds

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/plan"
	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/admin/sites"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/pubsh"
)

func (c *cli) applyCommand() *cobra.Command {
	flags := &changeFlags{}
	var file string
	var dryRun, prune bool
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Make the configuration equal to a site file",
		Long: `Make the configuration equal to a site file. The file is checked first; a fault is
reported with file, line and key, and nothing is changed. The difference is shown
before it is applied. Objects that the file doesn't name are kept unless --prune is
given. Keys are never touched.

The changes are sent one by one. The first that is not accepted ends the command;
apply the file again to send the rest. With --id each object gets an identifier of
its own that starts with the given one.`,
		Example: "  admin apply -f examples/press.toml --dry-run\n  admin apply -f examples/press.toml --prune --wait\n  admin apply -f examples/press.toml --id release-12",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return errors.New("name the site file with -f")
			}
			f, err := sites.Load(file)
			if err != nil {
				return err
			}
			if dryRun && flags.wait {
				return errors.New("--dry-run changes nothing to wait for")
			}
			if dryRun {
				return c.dryRun(cmd, f, prune)
			}
			return c.edit(cmd, flags, func(ctx context.Context, e *editor) error { return e.apply(ctx, f, prune) })
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "site `file` (TOML)")
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the difference and change nothing")
	cmd.Flags().BoolVar(&prune, "prune", false, "delete the customers, services, routes and importance rules that the file doesn't name")
	_ = cmd.MarkFlagFilename("file", "toml")
	flags.add(cmd)
	return cmd
}

func (c *cli) dryRun(cmd *cobra.Command, f *sites.File, prune bool) error {
	v, err := c.view(cmd)
	if err != nil {
		return err
	}
	p, err := plan.New(f, v, prune)
	if err != nil {
		return err
	}
	if c.output == show.JSON {
		return show.WriteJSON(c.out, p)
	}
	return c.printPlan(p)
}

func (c *cli) printPlan(p *plan.Plan) error {
	text := p.Text()
	if text == "" {
		text = "no difference\n"
	}
	if len(p.Extra) > 0 {
		text += fmt.Sprintf("%d objects that the file doesn't name are kept\n", len(p.Extra))
	}
	_, err := fmt.Fprint(c.out, show.Redact(text))
	return err
}

// apply publishes the steps of the plan in order. After the first step that is
// not accepted, the remaining ones are recorded as not sent.
func (e *editor) apply(ctx context.Context, f *sites.File, prune bool) error {
	p, err := plan.New(f, e.pub.View(), prune)
	if err != nil {
		return err
	}
	if e.cli.output != show.JSON {
		if err := e.cli.printPlan(p); err != nil {
			return err
		}
	}
	if len(p.Steps) == 0 {
		e.doc.Changes = []changeResult{}
		e.doc.Offset = e.pub.View().Next
	}
	stopped := false
	for _, s := range p.Steps {
		if stopped {
			e.doc.Changes = append(e.doc.Changes, changeResult{Status: statusNotSent, Kind: s.Kind, Name: s.Name, Base: s.Base})
			continue
		}
		res, err := e.step(ctx, s)
		if err != nil {
			return errors.Join(err, e.print())
		}
		stopped = res.Status != pubsh.Accepted.String()
	}
	return nil
}

func (e *editor) step(ctx context.Context, s plan.Step) (changeResult, error) {
	var c config.Change
	if s.Action == plan.Delete {
		c = e.pub.DeleteChange(s.Kind, s.Name)
	} else {
		var err error
		if c, err = e.pub.PutChange(s.Kind, s.Name, s.Body); err != nil {
			return changeResult{}, err
		}
	}
	c.Base = s.Base
	if e.flags.id != "" {
		c.ID = fmt.Sprintf("%s/%s/%s", e.flags.id, s.Kind, s.Name)
	}
	return e.send(ctx, c, sameBody(c))
}
