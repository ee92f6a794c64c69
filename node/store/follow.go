package store

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/logsvc"
)

// ReadWait is the long poll time of a read. It bounds the age of the
// configuration.
const ReadWait = 2 * time.Second

const (
	readBatch = 500                    // records in one read
	retryWait = 200 * time.Millisecond // after a failed read
)

// Follow returns the duty that reads the configuration stream until its context
// ends. Errors of the log are passed to onErr and retried.
func (s *Store) Follow(log logsvc.Log, onErr func(error)) func(context.Context) error {
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			sent := time.Now()
			b, err := log.Read(ctx, logsvc.StreamConfig, s.Next(), readBatch, s.wait())
			if err == nil {
				s.Apply(b, sent)
				continue
			}
			var expired *logsvc.ExpiredError
			if errors.As(err, &expired) {
				s.skip(expired.First)
			}
			if ctx.Err() == nil {
				onErr(err)
			}
			pause(ctx, retryWait)
		}
		return nil
	}
}

// wait returns the long poll time: none before the first complete read.
func (s *Store) wait() time.Duration {
	if s.Current() == nil {
		return 0
	}
	return ReadWait
}

// skip continues after records that the log no longer keeps.
func (s *Store) skip(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Next = max(s.state.Next, first)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
