package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
)

// object defines the commands for one kind of configuration object.
type object[T any] struct {
	kind     model.Kind
	short    string
	examples map[string]string // by subcommand
	upsert   bool              // set creates the object if it doesn't exist
	all      func(*config.View) map[string]T
	header   []string
	cells    func(T) []any
	// warn returns a warning to print before an object is deleted, or "". It may
	// be nil.
	warn func(v *config.View, name string) string
	// flags declares the flags of set and create. The function that it returns
	// copies the flags that were given into an object.
	flags func(*cobra.Command) func(*T) error
}

func (o *object[T]) command(c *cli) *cobra.Command {
	subs := []*cobra.Command{o.set(c), o.list(c), o.delete(c)}
	if !o.upsert {
		subs = append([]*cobra.Command{o.create(c)}, subs...)
	}
	return group(string(o.kind), o.short, subs...)
}

func (o *object[T]) create(c *cli) *cobra.Command {
	return o.writer(c, "create NAME", fmt.Sprintf("Create a %s; rejected if it exists", o.kind), true)
}

func (o *object[T]) set(c *cli) *cobra.Command {
	short := fmt.Sprintf("Change the given fields of a %s", o.kind)
	if o.upsert {
		short = fmt.Sprintf("Create a %s or change the given fields of it", o.kind)
	}
	return o.writer(c, "set NAME", short, false)
}

// writer returns the create or set command.
func (o *object[T]) writer(c *cli, use, short string, create bool) *cobra.Command {
	flags := &changeFlags{}
	verb, _, _ := strings.Cut(use, " ")
	cmd := &cobra.Command{Use: use, Short: short, Example: o.examples[verb], Args: cobra.ExactArgs(1)}
	if !create {
		cmd.ValidArgsFunction = o.complete(c)
	}
	applyEdit := o.flags(cmd)
	flags.add(cmd)
	base := baseFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error {
			return o.write(ctx, e, args[0], objectEdit[T]{applyEdit: applyEdit, create: create, base: base(cmd)})
		})
	}
	return cmd
}

// objectEdit is a requested change of an object.
type objectEdit[T any] struct {
	applyEdit func(*T) error
	create    bool
	base      *uint64 // expected revision; nil for the one that was read
}

func (o *object[T]) write(ctx context.Context, e *editor, name string, want objectEdit[T]) error {
	old, exists := o.all(e.pub.View())[name]
	if !exists && !want.create && !o.upsert && e.flags.id == "" {
		return fmt.Errorf("there is no %s %q", o.kind, name)
	}
	var body T
	if !want.create {
		body = old
	}
	if err := want.applyEdit(&body); err != nil {
		return err
	}
	change, err := e.pub.PutChange(o.kind, name, body)
	if err != nil {
		return err
	}
	if want.create {
		change.Base = 0
	}
	if want.base != nil {
		change.Base = *want.base
	}
	if exists && !want.create && e.flags.id == "" && want.base == nil && sameObject(old, body) {
		e.unchanged(o.kind, name)
		return nil
	}
	_, err = e.publish(ctx, change, o.same(change, want))
	return err
}

// same returns a function that compares a recorded change with the same
// identifier: it is equivalent if applying the edit to the recorded object
// changes nothing.
func (o *object[T]) same(change config.Change, want objectEdit[T]) sameChange {
	return func(recorded config.Change) bool {
		if recorded.Kind != change.Kind || recorded.Name != change.Name || recorded.Delete {
			return false
		}
		var before, after T
		if json.Unmarshal(recorded.Body, &before) != nil || !want.create && json.Unmarshal(recorded.Body, &after) != nil {
			return false
		}
		return want.applyEdit(&after) == nil && sameObject(before, after)
	}
}

// sameObject compares objects by their JSON encoding, which is how the log stores
// them.
func sameObject(a, b any) bool {
	x, err1 := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return err1 == nil && err2 == nil && equalJSON(x, y)
}

func (o *object[T]) delete(c *cli) *cobra.Command {
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use: "delete NAME", Short: fmt.Sprintf("Delete a %s", o.kind), Example: o.examples["delete"], Args: cobra.ExactArgs(1),
		ValidArgsFunction: o.complete(c),
	}
	flags.add(cmd)
	base := baseFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error {
			if _, ok := o.all(e.pub.View())[args[0]]; !ok && flags.id == "" {
				return fmt.Errorf("there is no %s %q", o.kind, args[0])
			}
			if o.warn != nil {
				_, _ = fmt.Fprint(c.errOut, show.Redact(o.warn(e.pub.View(), args[0])))
			}
			change := e.pub.DeleteChange(o.kind, args[0])
			if b := base(cmd); b != nil {
				change.Base = *b
			}
			_, err := e.publish(ctx, change, sameBody(change))
			return err
		})
	}
	return cmd
}

// completeTimeout limits the read of the log for shell completion, so that the
// shell doesn't hang.
const completeTimeout = 2 * time.Second

// complete returns a shell completion function for the names of existing objects.
func (o *object[T]) complete(c *cli) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
		c.timeout = min(c.timeout, completeTimeout)
		if len(args) > 0 || c.check() != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		v, err := c.view(cmd)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		names := slices.Sorted(maps.Keys(o.all(v)))
		names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, prefix) })
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}

// baseFlag declares --base. The function that it returns reads the flag; it
// returns nil if the flag wasn't given.
func baseFlag(cmd *cobra.Command) func(*cobra.Command) *uint64 {
	base := cmd.Flags().Uint64("base", 0, "`revision` that the change is based on; rejected if another change came first (default: the current one)")
	return func(cmd *cobra.Command) *uint64 {
		if !cmd.Flags().Changed("base") {
			return nil
		}
		return base
	}
}

func (o *object[T]) list(c *cli) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: fmt.Sprintf("List every %s", o.kind), Example: o.examples["list"], Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := c.view(cmd)
			if err != nil {
				return err
			}
			return o.print(c, v)
		},
	}
}

// listed is the JSON output for one object of a list command.
type listed[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Object   T      `json:"object"`
}

func (o *object[T]) print(c *cli, v *config.View) error {
	rows := &show.Rows{Header: append(append([]string{"NAME"}, o.header...), "REVISION")}
	docs := []listed[T]{}
	all := o.all(v)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		rev := v.Revisions[config.ObjectID{Kind: o.kind, Name: name}]
		rows.Add(append(append([]any{name}, o.cells(all[name])...), rev)...)
		docs = append(docs, listed[T]{Name: name, Revision: rev, Object: all[name]})
	}
	return c.write(docs, rows)
}

// labelFlag declares --label. The function that it returns applies the flag to a
// copy of an object's labels: name=value sets a label, a name alone removes it.
func labelFlag(cmd *cobra.Command) func(map[string]string) (map[string]string, error) {
	list := cmd.Flags().StringArray("label", nil, "`name=value` to set or name to remove a label; may be repeated")
	return func(old map[string]string) (map[string]string, error) {
		if len(*list) == 0 {
			return old, nil
		}
		out := maps.Clone(old)
		if out == nil {
			out = map[string]string{}
		}
		for _, l := range *list {
			name, value, ok := strings.Cut(l, "=")
			if name == "" {
				return nil, errors.New("--label needs a name")
			}
			if ok {
				out[name] = value
			} else {
				delete(out, name)
			}
		}
		return out, nil
	}
}

// copyIfChanged copies the value of a flag if it was given on the command line.
func copyIfChanged[V any](cmd *cobra.Command, name string, to *V, value *V) {
	if cmd.Flags().Changed(name) {
		*to = *value
	}
}

func labelText(labels map[string]string) string {
	parts := make([]string, 0, len(labels))
	for _, name := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, name+"="+labels[name])
	}
	return cmp.Or(strings.Join(parts, ","), "-")
}
