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

// object describes the commands of one kind of object.
type object[T any] struct {
	kind     model.Kind
	short    string
	examples map[string]string // by command
	upsert   bool              // set creates an object that doesn't exist
	all      func(*config.View) map[string]T
	header   []string
	cells    func(T) []any
	// warn returns what an operator should know before an object is deleted; nil
	// for nothing.
	warn func(v *config.View, name string) string
	// flags declares the flags of set and create and returns a function that
	// copies those that were given to an object.
	flags func(*cobra.Command) func(*T) error
}

func (o *object[T]) command(c *ctl) *cobra.Command {
	subs := []*cobra.Command{o.set(c), o.list(c), o.delete(c)}
	if !o.upsert {
		subs = append([]*cobra.Command{o.create(c)}, subs...)
	}
	return group(string(o.kind), o.short, subs...)
}

func (o *object[T]) create(c *ctl) *cobra.Command {
	return o.writer(c, "create NAME", fmt.Sprintf("Create a %s; rejected if it exists", o.kind), true)
}

func (o *object[T]) set(c *ctl) *cobra.Command {
	short := fmt.Sprintf("Change the given fields of a %s", o.kind)
	if o.upsert {
		short = fmt.Sprintf("Create a %s or change the given fields of it", o.kind)
	}
	return o.writer(c, "set NAME", short, false)
}

// writer returns the command that creates or changes an object.
func (o *object[T]) writer(c *ctl, use, short string, create bool) *cobra.Command {
	flags := &changeFlags{}
	verb, _, _ := strings.Cut(use, " ")
	cmd := &cobra.Command{Use: use, Short: short, Example: o.examples[verb], Args: cobra.ExactArgs(1)}
	if !create {
		cmd.ValidArgsFunction = o.complete(c)
	}
	fill := o.flags(cmd)
	flags.add(cmd)
	base := baseFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error {
			return o.write(ctx, e, args[0], edit[T]{fill: fill, create: create, base: base(cmd)})
		})
	}
	return cmd
}

// edit is a wanted change of an object.
type edit[T any] struct {
	fill   func(*T) error
	create bool
	base   *uint64 // nil for the revision that was read
}

func (o *object[T]) write(ctx context.Context, e *editor, name string, want edit[T]) error {
	old, exists := o.all(e.pub.View())[name]
	if !exists && !want.create && !o.upsert && e.flags.id == "" {
		return fmt.Errorf("there is no %s %q", o.kind, name)
	}
	var body T
	if !want.create {
		body = old
	}
	if err := want.fill(&body); err != nil {
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

// same returns the check of an earlier change with the same identifier: the
// edit, made again on the recorded object, changes nothing.
func (o *object[T]) same(change config.Change, want edit[T]) same {
	return func(recorded config.Change) bool {
		if recorded.Kind != change.Kind || recorded.Name != change.Name || recorded.Delete {
			return false
		}
		var before, after T
		if json.Unmarshal(recorded.Body, &before) != nil || !want.create && json.Unmarshal(recorded.Body, &after) != nil {
			return false
		}
		return want.fill(&after) == nil && sameObject(before, after)
	}
}

// sameObject compares objects by the form in which the log keeps them.
func sameObject(a, b any) bool {
	x, err1 := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return err1 == nil && err2 == nil && equalJSON(x, y)
}

func (o *object[T]) delete(c *ctl) *cobra.Command {
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

// completeTimeout bounds the read of the log for a completion, so that the shell
// doesn't hang.
const completeTimeout = 2 * time.Second

// complete returns the function that completes the names of existing objects.
func (o *object[T]) complete(c *ctl) cobra.CompletionFunc {
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

// baseFlag declares --base and returns a function that reads it.
func baseFlag(cmd *cobra.Command) func(*cobra.Command) *uint64 {
	base := cmd.Flags().Uint64("base", 0, "`revision` that the change is based on; rejected if another change came first (default: the current one)")
	return func(cmd *cobra.Command) *uint64 {
		if !cmd.Flags().Changed("base") {
			return nil
		}
		return base
	}
}

func (o *object[T]) list(c *ctl) *cobra.Command {
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

// listed is an object in JSON output.
type listed[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Object   T      `json:"object"`
}

func (o *object[T]) print(c *ctl, v *config.View) error {
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

// labelFlag declares --label and returns a function that changes the labels of
// an object: name=value sets one, a name alone removes one.
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

// pick copies the value of a flag that was given.
func pick[V any](cmd *cobra.Command, name string, to *V, value *V) {
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
