package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/pubsh"
)

// keyNamespace is the UUID namespace in which the identifier of a key is derived
// from that of the change that issues it, so that a repeated change refers to the
// same key.
var keyNamespace = uuid.MustParse("8b1d0f52-6a0c-4a58-9d0e-3f6f0a6b7c11")

func (c *cli) keyCommand() *cobra.Command {
	return group("key", "Issue, withdraw and list customers' keys", c.keyIssue(), c.keyWithdraw(), c.keyList())
}

func (c *cli) keyIssue() *cobra.Command {
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "issue CUSTOMER",
		Short: "Issue a key and print it once",
		Long: `Issue a key and print it once. Only the digest of the key goes to the log, so a key
that is lost can't be shown again: withdraw it and issue another.

If the outcome is unknown, the key is printed too. A repeat with the same --id tells
which key is in force: the one that it prints, or, if it prints none, that of the
earlier run. Never more than one of them becomes valid.`,
		Example: "  admin key issue theatre --wait\n  admin key issue theatre --id ticket-4711 --output json",
		Args:    cobra.ExactArgs(1),
	}
	flags.add(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error { return e.issue(ctx, args[0]) })
	}
	return cmd
}

// issue publishes a new key. The key is printed if this run's change was accepted,
// or if it was sent and its outcome is unknown.
func (e *editor) issue(ctx context.Context, customer string) error {
	if _, ok := e.pub.View().Customers[customer]; !ok && e.flags.id == "" {
		return fmt.Errorf("there is no customer %q", customer)
	}
	id := uuid.NewString()
	if e.flags.id != "" {
		id = uuid.NewSHA1(keyNamespace, []byte(e.flags.id)).String()
	}
	secret := keys.New()
	digest := keys.Digest(secret)
	change, err := e.pub.PutChange(model.KindKey, id, model.Key{Customer: customer, Digest: digest})
	if err != nil {
		return err
	}
	change.Base = 0
	res, err := e.publish(ctx, change, func(recorded config.Change) bool {
		var k model.Key
		return recorded.Kind == model.KindKey && recorded.Name == id && json.Unmarshal(recorded.Body, &k) == nil && k.Customer == customer
	})
	if err != nil {
		return err
	}
	last := &e.doc.Changes[len(e.doc.Changes)-1]
	switch {
	case res.Status == pubsh.Unknown.String() && res.Appends > 0:
		e.doc.Key = secret
	case res.Status == pubsh.Accepted.String() && e.pub.View().Keys[id].Digest == digest:
		e.doc.Key = secret
	case res.Status == pubsh.Accepted.String():
		last.Reason = "issued by an earlier run, which printed the key"
	}
	return nil
}

func (c *cli) keyWithdraw() *cobra.Command {
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Revoke a key, named by its identifier",
		Long: `Revoke a key, named by its identifier (see: admin key list). Running requests of the
key get no further chain calls. --wait names the zones and instances that have not
confirmed the revocation.`,
		Example: "  admin key withdraw 6f1c1d1e-6a55-4c1b-9e9a-0f4f5b8f0a10 --wait",
		Args:    cobra.ExactArgs(1),
	}
	flags.add(cmd)
	base := baseFlag(cmd)
	o := &object[model.Key]{kind: model.KindKey, all: func(v *config.View) map[string]model.Key { return v.Keys }}
	cmd.ValidArgsFunction = o.complete(c)
	applyEdit := func(k *model.Key) error { k.Revoked = true; return nil }
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return c.edit(cmd, flags, func(ctx context.Context, e *editor) error {
			if _, ok := e.pub.View().Keys[args[0]]; !ok {
				return fmt.Errorf("there is no key with identifier %q", args[0])
			}
			return o.write(ctx, e, args[0], objectEdit[model.Key]{applyEdit: applyEdit, base: base(cmd)})
		})
	}
	return cmd
}

func (c *cli) keyList() *cobra.Command {
	var customer string
	cmd := &cobra.Command{
		Use: "list", Short: "List keys by identifier", Args: cobra.NoArgs,
		Example: "  admin key list --customer theatre",
	}
	cmd.Flags().StringVar(&customer, "customer", "", "list the keys of one customer")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		v, err := c.view(cmd)
		if err != nil {
			return err
		}
		return printKeys(c, v, customer)
	}
	return cmd
}

func printKeys(c *cli, v *config.View, customer string) error {
	rows := &show.Rows{Header: []string{"KEY-ID", "CUSTOMER", "STATE", "REVISION"}}
	docs := []listed[model.Key]{}
	ids := slices.SortedFunc(maps.Keys(v.Keys), func(a, b string) int {
		return strings.Compare(v.Keys[a].Customer+"\x00"+a, v.Keys[b].Customer+"\x00"+b)
	})
	for _, id := range ids {
		k := v.Keys[id]
		if customer != "" && k.Customer != customer {
			continue
		}
		rev := v.Revisions[config.ObjectID{Kind: model.KindKey, Name: id}]
		rows.Add(id, k.Customer, keyState(v, id), rev)
		docs = append(docs, listed[model.Key]{Name: id, Revision: rev, Object: k})
	}
	return c.write(docs, rows)
}

func keyState(v *config.View, id string) string {
	switch {
	case v.Keys[id].Revoked:
		return "revoked"
	case !v.ValidKey(id):
		return "no customer"
	default:
		return "valid"
	}
}
