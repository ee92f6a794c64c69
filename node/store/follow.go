package store

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
)

// ReadWait is the long poll time of a read. It bounds the age of the
// configuration.
const ReadWait = 2 * time.Second

const (
	readBatch = 500                    // records in one read
	retryWait = 200 * time.Millisecond // after a failed read
	roleWait  = time.Second            // between two looks at whether this node reads the log
)

// Follow returns the duty that reads the configuration stream while reads
// reports that it is this node's task. Errors of the log are passed to onErr
// and the read is repeated.
func (s *Store) Follow(log logsvc.Log, reads func() bool, onErr func(error)) func(context.Context) error {
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			if !reads() {
				super.Pause(ctx, roleWait)
				continue
			}
			if err := s.readOnce(ctx, log); err != nil && ctx.Err() == nil {
				onErr(err)
				super.Pause(ctx, retryWait)
			}
		}
		return nil
	}
}

// readOnce reads one batch from the log.
func (s *Store) readOnce(ctx context.Context, log logsvc.Log) error {
	s.mu.Lock()
	next := s.reader.Next()
	s.mu.Unlock()
	wait := ReadWait
	if s.Current() == nil {
		wait = 0
	}
	sent := time.Now()
	b, err := log.Read(ctx, logsvc.StreamConfig, next, readBatch, wait)
	var expired *logsvc.ExpiredError
	if errors.As(err, &expired) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reader.Expired(expired.First)
		return nil
	}
	if err != nil {
		return err
	}
	s.Take(b, sent)
	return nil
}

// Take takes a batch of the log. sent is when its read was sent.
func (s *Store) Take(b logsvc.Batch, sent time.Time) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// An empty batch comes at the end of a long poll and is true of the time of
	// the answer only as far as the service says so; the time of the request is
	// the safe bound.
	s.reader.Log(now, config.Batch{First: b.First, End: b.End, Records: b.Records, Age: now.Sub(sent)})
	for i, rec := range b.Records {
		s.recent.add(b.First+uint64(i), rec)
	}
	s.end = max(s.end, b.End)
	s.publish(now, false)
}

// Snapshot is the duty's decision and encoding: it returns the records of a
// snapshot if this node should append one now.
func (s *Store) Snapshot(now time.Time, p config.SnapshotPolicy, self string, candidates []string, id string) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reader.SnapshotDue(now, p, self, candidates) {
		return nil, nil
	}
	return s.reader.Snapshot().Encode(id)
}
