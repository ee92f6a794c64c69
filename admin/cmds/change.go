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

// maxIDBytes bounds the identifier of a change, which the log and every node
// keep.
const maxIDBytes = 128

// Statuses of a change beside those of core/pubsh.
const (
	statusUnchanged = "unchanged" // the object was already as wanted; nothing was sent
	statusNotSent   = "not sent"  // an earlier change of the same command was not accepted
)

// changed is what became of one change.
type changed struct {
	Status   string     `json:"status"`
	Kind     model.Kind `json:"kind"`
	Name     string     `json:"name"`
	ID       string     `json:"id,omitempty"`
	Base     uint64     `json:"base"`
	Revision uint64     `json:"revision,omitempty"` // the new one, or the one that won against the change
	Reason   string     `json:"reason,omitempty"`
	Appends  int        `json:"appends"` // append requests that were sent
}

// document is the output of a command that changes something.
type document struct {
	Changes []changed       `json:"changes"`
	Key     string          `json:"key,omitempty"`
	Offset  uint64          `json:"offset,omitempty"`  // configuration offset to wait for
	InForce *bool           `json:"inForce,omitempty"` // with --wait
	Pending []nodes.Pending `json:"pending,omitempty"`
}

// changeFlags are the flags of every command that changes something.
type changeFlags struct {
	id   string
	wait bool
}

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.id, "id", "", "`identifier` of the change; a repeat with the same one has no further effect")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on every instance (needs --nodes)")
}

func (f *changeFlags) check(c *ctl) error {
	if f.wait && len(c.nodes) == 0 {
		return errors.New("--wait needs nodes: set --nodes or " + EnvNodes)
	}
	bad := func(r rune) bool { return !unicode.IsPrint(r) || unicode.IsSpace(r) }
	if len(f.id) > maxIDBytes || strings.IndexFunc(f.id, bad) >= 0 {
		return fmt.Errorf("--id must have at most %d bytes and neither spaces nor control characters", maxIDBytes)
	}
	return nil
}

// editor publishes the changes of one command.
type editor struct {
	ctl   *ctl
	flags *changeFlags
	log   logsvc.Log
	pub   *pubsh.Publisher
	doc   document
}

// edit reads the configuration, runs f and prints the result. With --wait it
// then waits until the accepted changes are in force.
func (c *ctl) edit(cmd *cobra.Command, flags *changeFlags, f func(context.Context, *editor) error) error {
	if err := flags.check(c); err != nil {
		return err
	}
	log, err := c.logClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.context(cmd)
	defer cancel()
	e := &editor{ctl: c, flags: flags, log: log, pub: pubsh.New(log)}
	if err := e.pub.Refresh(ctx); err != nil {
		return e.unread(err)
	}
	if err := f(ctx, e); err != nil {
		return err
	}
	e.wait(ctx)
	if err := e.print(); err != nil {
		return err
	}
	return e.status()
}

// unread describes a log that could not be read before anything was sent.
func (e *editor) unread(err error) error {
	if e.flags.id == "" {
		return exitf(ExitUnreachable, "the log can't be read, nothing was changed: %w", err)
	}
	return exitf(ExitUnknown, "unknown: the log can't be read, so an earlier run with --id %s may have taken effect; repeat the command: %w", e.flags.id, err)
}

// same reports whether a change that the log holds under the identifier of this
// one is the same change.
type same func(recorded config.Change) bool

// sameBody compares the whole change except for its base.
func sameBody(c config.Change) same {
	return func(recorded config.Change) bool {
		return recorded.Kind == c.Kind && recorded.Name == c.Name && recorded.Delete == c.Delete && equalJSON(recorded.Body, c.Body)
	}
}

// publish sends a change and records the result.
func (e *editor) publish(ctx context.Context, c config.Change, check same) (changed, error) {
	if e.flags.id != "" {
		c.ID = e.flags.id
	}
	return e.send(ctx, c, check)
}

func (e *editor) send(ctx context.Context, c config.Change, check same) (changed, error) {
	res := e.pub.Publish(ctx, c)
	out := changed{
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

// matches reads the record of a change that was accepted earlier and compares
// it. A record that the log no longer keeps counts as a match.
func (e *editor) matches(ctx context.Context, res pubsh.Result, check same) bool {
	b, err := e.log.Read(ctx, logsvc.StreamConfig, res.Revision-1, 1, 0)
	if err != nil || len(b.Records) == 0 {
		return true
	}
	rec, err := config.Decode(b.Records[0])
	return err == nil && rec.Change != nil && rec.Change.ID == res.Change.ID && check(*rec.Change)
}

// unchanged records an object that is already as wanted.
func (e *editor) unchanged(kind model.Kind, name string) {
	rev := e.pub.View().Revisions[config.ObjectID{Kind: kind, Name: name}]
	e.doc.Changes = append(e.doc.Changes, changed{Status: statusUnchanged, Kind: kind, Name: name, Base: rev, Revision: rev})
}

// wait waits until the accepted changes, and the objects that were already as
// wanted, are in force.
func (e *editor) wait(ctx context.Context) {
	for _, c := range e.doc.Changes {
		if c.Status == pubsh.Accepted.String() || c.Status == statusUnchanged {
			e.doc.Offset = max(e.doc.Offset, c.Revision)
		}
	}
	if !e.flags.wait || e.doc.Offset == 0 {
		return
	}
	client, err := e.ctl.nodeClient()
	if err != nil {
		e.doc.Pending = []nodes.Pending{{Reason: err.Error()}}
	} else {
		e.doc.Pending = client.Wait(ctx, e.pub.View().Fleet, e.doc.Offset)
	}
	done := len(e.doc.Pending) == 0
	e.doc.InForce = &done
}

func (e *editor) print() error {
	if e.ctl.output == show.JSON && e.doc.Key != "" {
		return show.WriteSecret(e.ctl.out, e.doc)
	}
	if e.ctl.output == show.JSON {
		return show.WriteJSON(e.ctl.out, e.doc)
	}
	w := e.ctl.out
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

// line describes the result in one line.
func (c changed) line() string {
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

// status returns the error that gives the command its exit status. What
// happened was printed, so the error has no text.
func (e *editor) status() error {
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

// equalJSON compares two JSON documents by value.
func equalJSON(a, b []byte) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}
