package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
)

// maxReadRecords is the maximum number of records in one read.
const maxReadRecords = 500

// ReadLog reads one batch from the log and applies it. The read is a long poll of the
// given duration.
func (s *Store) ReadLog(ctx context.Context, log logsvc.Log, wait time.Duration) error {
	s.mu.Lock()
	next := s.reader.Next()
	s.mu.Unlock()
	if s.Current() == nil {
		wait = 0 // the first configuration should not wait for a change
	}
	sent := boot.Now()
	b, err := log.Read(ctx, logsvc.StreamConfig, next, maxReadRecords, wait)
	var expired *logsvc.ExpiredError
	if errors.As(err, &expired) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reader.SetFirstRetained(expired.First)
		return nil
	}
	if err != nil {
		return err
	}
	s.ApplyBatch(b, sent, boot.Now())
	return nil
}

// ApplyBatch applies a batch of records from the log. sent is the time at which
// the read was sent.
func (s *Store) ApplyBatch(b logsvc.Batch, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An empty batch arrives at the end of a long poll. Whether it reflects the
	// log at the time of the response depends on the service, so the age counts
	// from the time of the request, which can only overstate it.
	s.reader.ApplyLogBatch(now, config.Batch{First: b.First, End: b.End, Records: b.Records, Age: now.Sub(sent)})
	for i, rec := range b.Records {
		s.recent.Add(b.First+uint64(i), rec)
	}
	s.logEnd = max(s.logEnd, b.End)
	s.publish(now, FromLog, false)
}

// SnapshotRecords returns the encoded records of a snapshot if this node should
// append one to the log now. candidates are the nodes that may append snapshots; id
// must be unique for each snapshot.
func (s *Store) SnapshotRecords(now time.Time, p config.SnapshotPolicy, self string, candidates []string, id string) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reader.SnapshotDue(now, p, self, candidates) {
		return nil, nil
	}
	return s.reader.Snapshot().Encode(id)
}

// Source is a service that stores the newest configuration as a whole.
type Source interface {
	// Next returns the newest configuration if it is later than the one that it
	// returned last. Otherwise it waits at most the given time for a change, and
	// returns nil if there was none. newest is the offset of the configuration that
	// the source holds, 0 for none. It may be lower than before if the source has
	// come back from a copy.
	Next(ctx context.Context, wait time.Duration) (snap *config.Snapshot, newest uint64, err error)
}

// BehindError reports that a source holds an older configuration than the node. It has come
// back from a copy, and says nothing about changes since.
type BehindError struct {
	Newest uint64 // offset of the configuration that the source holds
	Known  uint64 // offset of the node's configuration when it asked
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the source is behind: it holds configuration %d, this node has %d", e.Newest, e.Known)
}

// ReadSource reads the configuration from a source once and applies it. The read waits at
// most the given time for a change.
func (s *Store) ReadSource(ctx context.Context, src Source, wait time.Duration) error {
	sent, known := boot.Now(), s.Offset()
	snap, newest, err := src.Next(ctx, wait)
	if zones, ok := src.(EvacuationSource); ok {
		s.mu.Lock()
		s.applyReadings(zones.TakeEvacuations(), sent)
		s.mu.Unlock()
	}
	if err != nil {
		return err
	}
	if newest < known {
		return &BehindError{Newest: newest, Known: known}
	}
	s.ApplySnapshot(snap, sent, boot.Now())
	return nil
}

// ApplySnapshot applies the result of a call of a source that was sent at the given
// time. A nil snapshot confirms that the applied configuration is the newest.
func (s *Store) ApplySnapshot(snap *config.Snapshot, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap == nil {
		if s.reader.Offset() == 0 {
			s.recordEmpty(sent)
			return
		}
		snap = &config.Snapshot{Offset: s.reader.Offset()}
	}
	s.reader.ApplyPeerSnapshot(now, *snap, now.Sub(sent))
	s.logEnd = max(s.logEnd, snap.Offset)
	s.publish(now, FromLog, false)
}
