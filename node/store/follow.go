package store

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/super"
)

const (
	readBatch = 500                    // records in one read
	retryWait = 200 * time.Millisecond // after a failed read
	roleWait  = time.Second            // between two looks at whether this node reads the log
)

// Follow returns the duty that reads the configuration stream while reads
// reports that it is this node's task. A read waits for a change for the time
// that wait returns. Errors of the log are passed to onErr and the read is
// repeated.
func (s *Store) Follow(log logsvc.Log, wait func() time.Duration, reads func() bool, onErr func(error)) func(context.Context) error {
	return inRole(reads, onErr, func(ctx context.Context) error { return s.readOnce(ctx, log, wait()) })
}

// inRole returns the duty that reads again and again while reads reports that it
// is this node's task.
func inRole(reads func() bool, onErr func(error), read func(ctx context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		return super.Repeat(ctx, retryWait, onErr, func(ctx context.Context) error {
			if !reads() {
				super.Pause(ctx, roleWait)
				return nil
			}
			return read(ctx)
		})
	}
}

// readOnce reads one batch from the log.
func (s *Store) readOnce(ctx context.Context, log logsvc.Log, wait time.Duration) error {
	s.mu.Lock()
	next := s.reader.Next()
	s.mu.Unlock()
	if s.Current() == nil {
		wait = 0
	}
	sent := boot.Now()
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
	s.ApplyBatch(b, sent, boot.Now())
	return nil
}

// ApplyBatch takes a batch of the log. sent is when its read was sent.
func (s *Store) ApplyBatch(b logsvc.Batch, sent, now time.Time) {
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
	s.publish(now, FromLog, false)
}

// SnapshotRecords is the duty's decision and encoding: it returns the records of a
// snapshot if this node should append one now.
func (s *Store) SnapshotRecords(now time.Time, p config.SnapshotPolicy, self string, candidates []string, id string) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reader.SnapshotDue(now, p, self, candidates) {
		return nil, nil
	}
	return s.reader.Snapshot().Encode(id)
}

// Source is a service that keeps the newest configuration as a whole.
type Source interface {
	// Next returns the newest configuration if it differs from the one returned
	// before, at once or after a wait of at most the given time. It returns nil if
	// none came.
	Next(ctx context.Context, wait time.Duration) (*config.Snapshot, error)
}

// Watch returns the duty that takes whole configurations from a source, which is
// asked again after each wait, while reads reports that it is this node's task.
func (s *Store) Watch(src Source, wait time.Duration, reads func() bool, onErr func(error)) func(context.Context) error {
	return inRole(reads, onErr, func(ctx context.Context) error {
		sent := boot.Now()
		snap, err := src.Next(ctx, wait)
		if err == nil {
			s.ApplySnapshot(snap, sent, boot.Now())
		}
		return err
	})
}

// ApplySnapshot takes the answer of a source to a question that was sent at a time.
// Without a snapshot the state is still the newest.
func (s *Store) ApplySnapshot(snap *config.Snapshot, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap == nil {
		if s.reader.Offset() == 0 {
			return
		}
		snap = &config.Snapshot{Offset: s.reader.Offset()}
	}
	s.reader.PeerSnapshot(now, *snap, now.Sub(sent))
	s.end = max(s.end, snap.Offset)
	s.publish(now, FromLog, false)
}
