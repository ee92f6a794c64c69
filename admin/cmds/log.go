package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"dogwoodsill.org/admin/show"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
)

const (
	tailRecords = 1000 // records in one read
	followWait  = 10 * time.Second
)

func (c *ctl) logCommand() *cobra.Command {
	return group("log", "Read the platform's log", c.logTail())
}

func (c *ctl) logTail() *cobra.Command {
	t := &tail{ctl: c, reader: config.NewReader(time.Now())}
	cmd := &cobra.Command{
		Use:   "tail",
		Short: "Show the last configuration changes and their outcomes",
		Long: `Show the last configuration changes and their outcomes. The outcome is "unknown" where
the log no longer keeps the records and snapshots that decide it, and "repeat" for a
record whose change counted earlier. With --follow, new records are shown until the
command is interrupted; --timeout then bounds the first read only.`,
		Example: "  admin log tail\n  admin log tail -n 100 --output json\n  admin log tail --follow",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return t.run(cmd) },
	}
	cmd.Flags().IntVarP(&t.count, "lines", "n", 20, "`number` of records to show")
	cmd.Flags().BoolVar(&t.follow, "follow", false, "show new records as they arrive")
	return cmd
}

// tail reads the configuration stream and shows its records.
type tail struct {
	ctl    *ctl
	count  int
	follow bool
	log    logsvc.Log
	reader *config.Reader
	recent []record
}

// record is one record in JSON output.
type record struct {
	Offset   uint64         `json:"offset"`
	Outcome  string         `json:"outcome,omitempty"`
	Reason   string         `json:"reason,omitempty"`
	Revision uint64         `json:"revision,omitempty"`
	Change   *config.Change `json:"change,omitempty"`
	Snapshot uint64         `json:"snapshotOffset,omitempty"`
	Invalid  string         `json:"invalid,omitempty"`
}

func (t *tail) run(cmd *cobra.Command) error {
	if t.count < 0 {
		return errors.New("-n must not be negative")
	}
	var err error
	if t.log, err = t.ctl.logClient(); err != nil {
		return err
	}
	ctx, cancel := t.ctl.context(cmd)
	defer cancel()
	for end := false; !end; {
		if end, err = t.read(ctx, 0); err != nil {
			return exitf(ExitUnreachable, "the log can't be read: %w", err)
		}
		t.recent = t.recent[max(0, len(t.recent)-t.count):]
	}
	if err := t.print(); err != nil || !t.follow {
		return err
	}
	return t.watch(cmd.Context())
}

// watch shows new records until ctx ends. An outage of the log is waited out.
func (t *tail) watch(ctx context.Context) error {
	for ctx.Err() == nil {
		t.recent = nil
		if _, err := t.read(ctx, followWait); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintln(t.ctl.errOut, "admin:", show.Redact(err.Error()))
			super.Pause(ctx, time.Second)
			continue
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	return nil
}

// read folds the next batch, notes its records and reports whether it reached
// the end of the log.
func (t *tail) read(ctx context.Context, wait time.Duration) (bool, error) {
	b, err := t.log.Read(ctx, logsvc.StreamConfig, t.reader.Next(), tailRecords, wait)
	var expired *logsvc.ExpiredError
	if errors.As(err, &expired) && expired.First > t.reader.Next() {
		t.reader.SetFirstRetained(expired.First)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	now := time.Now()
	t.reader.ApplyLogBatch(now, config.Batch{First: b.First, End: b.End, Records: b.Records})
	for i, data := range b.Records {
		t.recent = append(t.recent, t.describe(b.First+uint64(i), data))
	}
	return b.Next >= b.End, nil
}

func (t *tail) describe(offset uint64, data []byte) record {
	r := record{Offset: offset}
	rec, err := config.Decode(data)
	switch {
	case err != nil:
		r.Invalid = err.Error()
	case rec.Snapshot != nil:
		r.Snapshot = rec.Snapshot.Offset
	default:
		r.Change = rec.Change
	}
	return r
}

// decide fills in the outcomes of the records, which may be known only after
// later ones were folded.
func (t *tail) decide(r *record) {
	if r.Change == nil {
		return
	}
	out, ok := t.reader.Outcome(r.Change.ID)
	switch {
	case !ok:
		r.Outcome = "unknown"
	case !out.Accepted:
		r.Outcome, r.Revision, r.Reason = "rejected", out.Revision, out.Reason
	case out.Revision != r.Offset+1:
		r.Outcome, r.Revision = "repeat", out.Revision
	default:
		r.Outcome, r.Revision = "accepted", out.Revision
	}
}

func (t *tail) print() error {
	for i := range t.recent {
		t.decide(&t.recent[i])
		if err := t.printRecord(t.recent[i]); err != nil {
			return err
		}
	}
	return nil
}

// printRecord prints one line for each record, so that --follow can be piped.
func (t *tail) printRecord(r record) error {
	if t.ctl.output == show.JSON {
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(t.ctl.out, show.Redact(string(data)))
		return err
	}
	_, err := fmt.Fprintln(t.ctl.out, show.Clean(r.line()))
	return err
}

func (r record) line() string {
	switch {
	case r.Invalid != "":
		return fmt.Sprintf("%d invalid: %s", r.Offset, r.Invalid)
	case r.Change == nil:
		return fmt.Sprintf("%d snapshot of offset %d", r.Offset, r.Snapshot)
	}
	c := r.Change
	verb := "set"
	if c.Delete {
		verb = "delete"
	}
	line := fmt.Sprintf("%d %s: %s %s %s, base %d (id %s)", r.Offset, r.Outcome, verb, c.Kind, c.Name, c.Base, c.ID)
	if r.Outcome == "rejected" {
		line += fmt.Sprintf(" against revision %d: %s", r.Revision, r.Reason)
	}
	return line
}
