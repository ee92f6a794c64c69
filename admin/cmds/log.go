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
	tailRecords = 1000 // maximum number of records per read
	followWait  = 10 * time.Second
)

func (c *cli) logCommand() *cobra.Command {
	return group("log", "Read the platform's log", c.logTail())
}

func (c *cli) logTail() *cobra.Command {
	t := &tail{cli: c, reader: config.NewReader(time.Now())}
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

// tail reads the configuration stream and prints its records.
type tail struct {
	cli    *cli
	count  int
	follow bool
	log    logsvc.Log
	reader *config.Reader
	recent []record
}

// record is the JSON output for one log record.
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
	if t.log, err = t.cli.logClient(); err != nil {
		return err
	}
	ctx, cancel := t.cli.context(cmd)
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
	return t.followRecords(cmd.Context())
}

// followRecords prints new records until ctx is done. Read errors are printed and
// retried after a second.
func (t *tail) followRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		t.recent = nil
		if _, err := t.read(ctx, followWait); err != nil && ctx.Err() == nil {
			_, _ = fmt.Fprintln(t.cli.errOut, "admin:", show.Redact(err.Error()))
			super.Pause(ctx, time.Second)
			continue
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	return nil
}

// read applies the next batch to the reader, appends its records to t.recent and
// reports whether it reached the end of the log.
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

// setOutcome sets the outcome of a change record. It is called after the batch is
// applied, because the outcome may depend on later records.
func (t *tail) setOutcome(r *record) {
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
		t.setOutcome(&t.recent[i])
		if err := t.printRecord(t.recent[i]); err != nil {
			return err
		}
	}
	return nil
}

// printRecord prints a record as one line, also in JSON, so that the output of
// --follow can be piped.
func (t *tail) printRecord(r record) error {
	if t.cli.output == show.JSON {
		data, err := json.Marshal(r)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(t.cli.out, show.Redact(string(data)))
		return err
	}
	_, err := fmt.Fprintln(t.cli.out, show.Clean(r.line()))
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
