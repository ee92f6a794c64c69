package pubsh

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"github.com/zeebo/errs"
)

// Status is the result of publishing a change.
type Status uint8

// Statuses of a change.
const (
	// Unknown means that the outcome could not be read from the log. The change
	// may have taken effect or may still do so; it is safe to publish it again.
	Unknown Status = iota
	Accepted
	Rejected
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case Rejected:
		return "rejected"
	default:
		return "unknown"
	}
}

// Result is the result of publishing a change.
type Result struct {
	Status   Status
	Change   config.Change
	Revision uint64 // of the object: the new one, or the current one if the change was rejected
	Reason   string // why the change was rejected
	Appends  int    // number of append requests sent; if 0, this call changed nothing
	Err      error  // the last error, if the status is unknown
}

// GapError reports that records have expired that no snapshot covers.
type GapError struct {
	Next uint64 // offset up to which the log was read
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configuration stream: no snapshot before offset %d covers the expired records", e.Next)
}

// Defaults of the options, and the maximum number of records of a read.
const (
	defaultInitialBackoff = 50 * time.Millisecond
	defaultMaxBackoff     = 2 * time.Second
	// defaultAttemptTimeout ends a request to a log that doesn't respond, so
	// that it can be retried before the caller's deadline.
	defaultAttemptTimeout = 5 * time.Second
	maxReadRecords        = 1000
)

// Option configures a Publisher.
type Option func(*Publisher)

// WithBackoff sets the initial and the maximum time between two attempts.
func WithBackoff(initial, maximum time.Duration) Option {
	return func(p *Publisher) { p.initialBackoff, p.maxBackoff = initial, maximum }
}

// WithAttemptTimeout sets the timeout of one request to the log.
func WithAttemptTimeout(d time.Duration) Option {
	return func(p *Publisher) { p.attemptTimeout = d }
}

// Publisher publishes configuration changes. It is not safe for concurrent use.
type Publisher struct {
	log            logsvc.Log
	reader         *config.Reader
	initialBackoff time.Duration
	maxBackoff     time.Duration
	attemptTimeout time.Duration
}

// New returns a publisher that has not read the stream yet.
func New(log logsvc.Log, opts ...Option) *Publisher {
	p := &Publisher{
		log: log, reader: config.NewReader(time.Now()),
		initialBackoff: defaultInitialBackoff, maxBackoff: defaultMaxBackoff, attemptTimeout: defaultAttemptTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// View returns the configuration as of the last read.
func (p *Publisher) View() *config.View {
	return p.reader.View()
}

// Refresh reads the stream to its end, and retries until ctx ends. It returns a
// *GapError if records have expired that no snapshot covers.
func (p *Publisher) Refresh(ctx context.Context) error {
	return p.retry(ctx, p.readToEnd)
}

// PutChange returns a change that creates or replaces an object, based on the
// last revision that was read.
func (p *Publisher) PutChange(kind model.Kind, name string, body any) (config.Change, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return config.Change{}, errs.Wrap(err)
	}
	if err := config.Check(kind, name, data); err != nil {
		return config.Change{}, err
	}
	c := p.change(kind, name)
	c.Body = data
	return c, nil
}

// DeleteChange returns a change that deletes an object, based on the last
// revision that was read.
func (p *Publisher) DeleteChange(kind model.Kind, name string) config.Change {
	c := p.change(kind, name)
	c.Delete = true
	return c
}

func (p *Publisher) change(kind model.Kind, name string) config.Change {
	base := p.View().Revisions[config.ObjectID{Kind: kind, Name: name}]
	return config.Change{ID: rand.Text(), Kind: kind, Name: name, Base: base}
}

// Publish appends a change and waits until its outcome is known or ctx ends. It
// is safe to publish the same change again, even from another process, as long
// as the state retains its outcome.
func (p *Publisher) Publish(ctx context.Context, c config.Change) Result {
	res := Result{Change: c}
	data, err := json.Marshal(config.Record{Change: &c})
	if err != nil {
		res.Status, res.Reason = Rejected, err.Error()
		return res
	}
	res.Err = p.retry(ctx, func(ctx context.Context) error {
		return p.publishOnce(ctx, &res, data)
	})
	return res
}

// publishOnce reads the outcome of a change. If there is none, it appends the
// change and reads again. It reads before it appends because an earlier append
// may have taken effect in the meantime.
func (p *Publisher) publishOnce(ctx context.Context, res *Result, data []byte) error {
	if err := p.readToEnd(ctx); err != nil {
		return err
	}
	if p.resolve(res) {
		return nil
	}
	res.Appends++
	_, appendErr := p.append(ctx, data)
	if err := p.readToEnd(ctx); err != nil {
		return errors.Join(appendErr, err)
	}
	if p.resolve(res) {
		return nil
	}
	if appendErr == nil {
		appendErr = &LostAppendError{ID: res.Change.ID}
	}
	return appendErr
}

// LostAppendError reports that the log confirmed an append but doesn't return the
// record.
type LostAppendError struct {
	ID string
}

// Error implements error.
func (e *LostAppendError) Error() string {
	return fmt.Sprintf("configuration stream: the log confirmed change %s but doesn't return it", e.ID)
}

// resolve sets the result if the outcome of the change is known, and reports
// whether it is.
func (p *Publisher) resolve(res *Result) bool {
	out, ok := p.reader.Outcome(res.Change.ID)
	if !ok {
		return false
	}
	res.Status, res.Revision, res.Reason = Rejected, out.Revision, out.Reason
	if out.Accepted {
		res.Status = Accepted
	}
	return true
}

func (p *Publisher) append(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, p.attemptTimeout)
	defer cancel()
	return p.log.Append(ctx, logsvc.StreamConfig, data)
}

// readToEnd reads the stream up to the end that the log reports.
func (p *Publisher) readToEnd(ctx context.Context) error {
	for {
		sentAt := time.Now()
		b, err := p.read(ctx)
		var expired *logsvc.ExpiredError
		if errors.As(err, &expired) && expired.First > p.reader.Next() {
			p.reader.SetFirstRetained(expired.First)
			continue
		}
		if err != nil {
			return err
		}
		now := time.Now()
		p.reader.ApplyLogBatch(now, config.Batch{First: b.First, End: b.End, Records: b.Records, Age: now.Sub(sentAt)})
		switch {
		case p.reader.Next() < b.End && len(b.Records) == 0:
			return errs.New("configuration stream: empty batch at offset %d before the end %d", b.First, b.End)
		case p.reader.Next() < b.End:
		case p.reader.HasGap():
			return &GapError{Next: p.reader.Next()}
		default:
			return nil
		}
	}
}

func (p *Publisher) read(ctx context.Context) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, p.attemptTimeout)
	defer cancel()
	return p.log.Read(ctx, logsvc.StreamConfig, p.reader.Next(), maxReadRecords, 0)
}

// retry calls f until it succeeds, returns a *GapError or ctx ends. The time
// between two calls doubles after each call, up to the maximum.
func (p *Publisher) retry(ctx context.Context, f func(context.Context) error) error {
	wait := p.initialBackoff
	for {
		err := f(ctx)
		var gap *GapError
		if err == nil || errors.As(err, &gap) {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.Join(err, ctx.Err())
		case <-timer.C:
		}
		wait = min(2*wait, p.maxBackoff)
	}
}
