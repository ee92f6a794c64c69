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

// Status is what became of a change.
type Status uint8

// Statuses of a change.
const (
	// Unknown means that the log could not be read back. The change may have
	// been appended, or may yet take effect; it is safe to publish it again.
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

// Result says what became of a change.
type Result struct {
	Status   Status
	Change   config.Change
	Revision uint64 // of the object: the new one, or the one that won against the change
	Reason   string // why the change was rejected
	Appends  int    // append requests that were sent; with 0 this call changed nothing
	Err      error  // the last error of the log, if the status is unknown
}

// GapError says that the log dropped records that no snapshot covers.
type GapError struct {
	Next uint64 // offset up to which the log was read
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configuration stream: no snapshot before offset %d covers the expired records", e.Next)
}

// Waiting times and sizes, unless options set others.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// attemptTimeout ends a request to a log that doesn't answer, so that
	// another is tried before the caller's time is over.
	attemptTimeout = 5 * time.Second
	readRecords    = 1000
)

// Option changes a Publisher.
type Option func(*Publisher)

// WithBackoff sets the first and the longest time between two tries.
func WithBackoff(first, longest time.Duration) Option {
	return func(p *Publisher) { p.first, p.longest = first, longest }
}

// WithAttemptTimeout sets the time that one request to the log may take.
func WithAttemptTimeout(d time.Duration) Option {
	return func(p *Publisher) { p.attempt = d }
}

// Publisher publishes changes. It is not safe for concurrent use.
type Publisher struct {
	log     logsvc.Log
	reader  *config.Reader
	first   time.Duration
	longest time.Duration
	attempt time.Duration
}

// New returns a publisher that has read nothing yet.
func New(log logsvc.Log, opts ...Option) *Publisher {
	p := &Publisher{
		log: log, reader: config.NewReader(time.Now()),
		first: firstBackoff, longest: maxBackoff, attempt: attemptTimeout,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// View returns the configuration as it was read last.
func (p *Publisher) View() *config.View {
	return p.reader.View()
}

// Refresh reads the stream to its end, trying again until ctx ends. It returns
// a *GapError if the log dropped records that no snapshot covers.
func (p *Publisher) Refresh(ctx context.Context) error {
	return p.retry(ctx, p.readToEnd)
}

// PutChange returns a change that creates or replaces an object, based on the
// revision that was read last.
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

// DeleteChange returns a change that deletes an object, based on the revision that
// was read last.
func (p *Publisher) DeleteChange(kind model.Kind, name string) config.Change {
	c := p.change(kind, name)
	c.Delete = true
	return c
}

func (p *Publisher) change(kind model.Kind, name string) config.Change {
	base := p.View().Revisions[config.ObjectID{Kind: kind, Name: name}]
	return config.Change{ID: rand.Text(), Kind: kind, Name: name, Base: base}
}

// Publish appends a change and waits until the fold decides it or ctx ends. It
// is safe to publish the same change again, also from another process, as long
// as the fold keeps its identifier.
func (p *Publisher) Publish(ctx context.Context, c config.Change) Result {
	res := Result{Change: c}
	data, err := json.Marshal(config.Record{Change: &c})
	if err != nil {
		res.Status, res.Reason = Rejected, err.Error()
		return res
	}
	res.Err = p.retry(ctx, func(ctx context.Context) error {
		return p.try(ctx, &res, data)
	})
	return res
}

// try looks for the outcome of a change, appends the change if there is none,
// and looks again. An earlier append may take effect at any time, so it reads
// first.
func (p *Publisher) try(ctx context.Context, res *Result, data []byte) error {
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

// LostAppendError says that the log confirmed an append but doesn't show the record.
type LostAppendError struct {
	ID string
}

// Error implements error.
func (e *LostAppendError) Error() string {
	return fmt.Sprintf("configuration stream: change %s was confirmed but can't be read", e.ID)
}

// resolve fills in the result if the fold decided the change.
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
	ctx, cancel := context.WithTimeout(ctx, p.attempt)
	defer cancel()
	return p.log.Append(ctx, logsvc.StreamConfig, data)
}

// readToEnd reads until the end that the log names.
func (p *Publisher) readToEnd(ctx context.Context) error {
	for {
		asked := time.Now()
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
		p.reader.ApplyLogBatch(now, config.Batch{First: b.First, End: b.End, Records: b.Records, Age: now.Sub(asked)})
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
	ctx, cancel := context.WithTimeout(ctx, p.attempt)
	defer cancel()
	return p.log.Read(ctx, logsvc.StreamConfig, p.reader.Next(), readRecords, 0)
}

// retry calls f until it succeeds, ctx ends or an error is final. The time
// between two calls doubles each time.
func (p *Publisher) retry(ctx context.Context, f func(context.Context) error) error {
	wait := p.first
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
		wait = min(2*wait, p.longest)
	}
}
