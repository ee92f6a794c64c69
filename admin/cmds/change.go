package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/nodes"
	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/pubsh"
)

// maxIDBytes is the maximum length of a change identifier, which the log and
// every node store.
const maxIDBytes = 128

// Statuses of a change in addition to those of core/pubsh.
const (
	statusUnchanged = "unchanged" // the object already has the requested value; nothing was sent
	statusNotSent   = "not sent"  // an earlier change of the same command was not accepted
)

// changeResult is the outcome of one change.
type changeResult struct {
	Status   string     `json:"status"`
	Kind     model.Kind `json:"kind"`
	Name     string     `json:"name"`
	ID       string     `json:"id,omitempty"`
	Base     uint64     `json:"base"`
	Revision uint64     `json:"revision,omitempty"` // new revision, or the current one that the change conflicts with
	Reason   string     `json:"reason,omitempty"`
	Appends  int        `json:"appends"` // number of append requests sent to the log
}

// changeDocument is the JSON output of a command that changes the configuration.
type changeDocument struct {
	Changes []changeResult  `json:"changes"`
	Key     string          `json:"key,omitempty"`
	Offset  uint64          `json:"offset,omitempty"`  // configuration offset from which the changes are in effect
	InForce *bool           `json:"inForce,omitempty"` // set with --wait
	Pending []nodes.Pending `json:"pending,omitempty"`
}

// changeFlags are the flags that all commands that change the configuration share.
type changeFlags struct {
	id   string
	wait bool
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.id, "id", "", "`identifier` of the change; a repeat with the same one has no further effect")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on every instance (needs --nodes)")
}

func (f *changeFlags) check(c *cli) error {
	if f.wait && len(c.nodes) == 0 {
		return errors.New("--wait needs nodes: set --nodes or " + EnvNodes)
	}
	bad := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) }
	if len(f.id) > maxIDBytes || strings.IndexFunc(f.id, bad) >= 0 {
		return fmt.Errorf("--id must have at most %d bytes and neither spaces nor control characters", maxIDBytes)
	}
	return nil
}

// editor publishes the changes of one command and collects their results.
type editor struct {
	cli   *cli
	flags *changeFlags
	log   logsvc.Log
	pub   *pubsh.Publisher
	doc   changeDocument
}

// edit reads the configuration, runs f and prints the results. With --wait it
// first waits until the accepted changes are in effect.
func (c *cli) edit(cmd *cobra.Command, flags *changeFlags, f func(context.Context, *editor) error) error {
	if err := flags.check(c); err != nil {
		return err
	}
	log, err := c.logClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.context(cmd)
	defer cancel()
	e := &editor{cli: c, flags: flags, log: log, pub: pubsh.New(log)}
	if err := e.pub.Refresh(ctx); err != nil {
		return e.readError(err)
	}
	if err := f(ctx, e); err != nil {
		return err
	}
	e.waitConfirmed(ctx)
	if err := e.print(); err != nil {
		return err
	}
	return e.resultError()
}

// readError returns the error for a log that could not be read before anything
// was sent. With --id, an earlier run of the command may have taken effect, so
// the outcome is unknown.
func (e *editor) readError(err error) error {
	if e.flags.id == "" {
		return exitf(ExitUnreachable, "the log can't be read, nothing was changed: %w", err)
	}
	return exitf(ExitUnknown, "unknown: the log can't be read, so an earlier run with --id %s may have taken effect; repeat the command: %w", e.flags.id, err)
}

// sameChange reports whether the change that the log already holds under the
// identifier of a new change is equivalent to it.
type sameChange func(recorded config.Change) bool

// sameBody returns a sameChange that compares the kind, name, deletion and body
// with those of c, but not the base.
func sameBody(c config.Change) sameChange {
	return func(recorded config.Change) bool {
		return recorded.Kind == c.Kind && recorded.Name == c.Name && recorded.Delete == c.Delete && equalJSON(recorded.Body, c.Body)
	}
}

// publish sends a change under the identifier of --id, if given, and records the
// result.
func (e *editor) publish(ctx context.Context, c config.Change, check sameChange) (changeResult, error) {
	if e.flags.id != "" {
		c.ID = e.flags.id
	}
	return e.send(ctx, c, check)
}

func (e *editor) send(ctx context.Context, c config.Change, check sameChange) (changeResult, error) {
	res := e.pub.Publish(ctx, c)
	out := changeResult{
		Status: res.Status.String(), Kind: c.Kind, Name: c.Name, ID: c.ID, Base: c.Base,
		Revision: res.Revision, Reason: res.Reason, Appends: res.Appends,
	}
	if res.Status == pubsh.Unknown {
		out.Reason = unknownReason(res)
	}
	if res.Status == pubsh.Accepted && res.Appends == 0 && !e.matches(ctx, res, check) {
		return out, exitf(ExitRejected, "rejected: --id %s belongs to another change, accepted as revision %d; nothing was changed", c.ID, res.Revision)
	}
	e.doc.Changes = append(e.doc.Changes, out)
	return out, nil
}

func unknownReason(res pubsh.Result) string {
	if res.Appends == 0 {
		return fmt.Sprintf("nothing was sent: %v", res.Err)
	}
	return fmt.Sprintf("%d requests sent: %v", res.Appends, res.Err)
}

// matches compares a change with the record that was accepted earlier under its
// identifier. A record that can't be fetched or is no longer retained counts as a
// match; one that can't be decoded doesn't.
func (e *editor) matches(ctx context.Context, res pubsh.Result, check sameChange) bool {
	b, err := e.log.Read(ctx, logsvc.StreamConfig, res.Revision-1, 1, 0)
	if err != nil || len(b.Records) == 0 {
		return true
	}
	rec, err := config.Decode(b.Records[0])
	return err == nil && rec.Change != nil && rec.Change.ID == res.Change.ID && check(*rec.Change)
}

// unchanged records that an object already has the requested value.
func (e *editor) unchanged(kind model.Kind, name string) {
	rev := e.pub.View().Revisions[config.ObjectID{Kind: kind, Name: name}]
	e.doc.Changes = append(e.doc.Changes, changeResult{Status: statusUnchanged, Kind: kind, Name: name, Base: rev, Revision: rev})
}

// waitConfirmed sets the offset from which all accepted changes and unchanged
// objects are in effect. With --wait, it waits until the nodes confirm that offset
// or ctx is done, and records what is still unconfirmed.
func (e *editor) waitConfirmed(ctx context.Context) {
	for _, c := range e.doc.Changes {
		if c.Status == pubsh.Accepted.String() || c.Status == statusUnchanged {
			e.doc.Offset = max(e.doc.Offset, c.Revision)
		}
	}
	if !e.flags.wait || e.doc.Offset == 0 {
		return
	}
	client, err := e.cli.nodeClient()
	if err != nil {
		e.doc.Pending = []nodes.Pending{{Reason: err.Error()}}
	} else {
		e.doc.Pending = client.Wait(ctx, e.pub.View().Fleet, e.doc.Offset)
	}
	done := len(e.doc.Pending) == 0
	e.doc.InForce = &done
}

func (e *editor) print() error {
	if e.cli.output == show.JSON && e.doc.Key != "" {
		return show.WriteSecret(e.cli.out, e.doc)
	}
	if e.cli.output == show.JSON {
		return show.WriteJSON(e.cli.out, e.doc)
	}
	w := e.cli.out
	for _, c := range e.doc.Changes {
		if _, err := fmt.Fprintln(w, c.line()); err != nil {
			return err
		}
	}
	if e.doc.Key != "" {
		if _, err := fmt.Fprintf(w, "key: %s\n", e.doc.Key); err != nil {
			return err
		}
	}
	if e.doc.InForce == nil {
		return nil
	}
	if *e.doc.InForce {
		_, err := fmt.Fprintf(w, "in force everywhere: configuration offset %d\n", e.doc.Offset)
		return err
	}
	_, err := fmt.Fprintf(w, "not confirmed in force: configuration offset %d\n", e.doc.Offset)
	for _, p := range e.doc.Pending {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %s\n", show.Clean(p.String()))
		}
	}
	return err
}

// line formats the result as one line.
func (c changeResult) line() string {
	object := fmt.Sprintf("%s %s", c.Kind, show.Clean(c.Name))
	switch c.Status {
	case pubsh.Accepted.String():
		text := fmt.Sprintf("accepted: %s, revision %d (id %s)", object, c.Revision, c.ID)
		if c.Reason != "" {
			text += ": " + c.Reason
		}
		return text
	case statusNotSent:
		return fmt.Sprintf("%s: %s", c.Status, object)
	case pubsh.Rejected.String():
		return fmt.Sprintf("rejected: %s, base %d against revision %d: %s (id %s)", object, c.Base, c.Revision, c.Reason, c.ID)
	case pubsh.Unknown.String():
		return fmt.Sprintf("unknown: %s, repeat with --id %s (%s)", object, c.ID, c.Reason)
	default:
		return fmt.Sprintf("%s: %s, revision %d", c.Status, object, c.Revision)
	}
}

// resultError returns the error that determines the exit status. Its text is
// empty because the results were already printed.
func (e *editor) resultError() error {
	for _, c := range e.doc.Changes {
		switch c.Status {
		case pubsh.Rejected.String():
			return exitf(ExitRejected, "")
		case pubsh.Unknown.String():
			return exitf(ExitUnknown, "")
		}
	}
	if e.doc.InForce != nil && !*e.doc.InForce {
		return exitf(ExitUnconfirmed, "")
	}
	return nil
}

// equalJSON reports whether two JSON documents have equal values. An empty
// document equals only another empty one.
func equalJSON(a, b []byte) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
