package config

import (
	"encoding/json"
	"time"
)

// Batch is a run of consecutive records of the configuration stream.
type Batch struct {
	First   uint64   // offset of the first record
	End     uint64   // offset after the last record of the stream; 0 if not known
	Records [][]byte // starting at First; may be empty
	// Age is the maximum age of End: for a batch from the log the time since
	// the read was sent, for one from a peer the age of the peer's state plus
	// the time since the request was sent.
	Age time.Duration
}

// Reader builds a state from records and snapshots of the log and of peers, in
// any order. The state never goes back to an earlier offset. Reader is not safe
// for concurrent use.
//
// A record is applied only if its offset is the next one of the state. If the
// log has expired records that the state lacks, the reader holds the records
// after this gap until a snapshot covers the gap. A snapshot does so if its
// offset is at or after that of the first retained record, and at or before that
// of the record which completes the snapshot. The first such snapshot in the log
// is used. Other snapshots in the log are ignored, so a node that applied every
// record and one that started from a snapshot hold the same state.
type Reader struct {
	state   *State
	started time.Time
	gap     *gap
	gen     uint64
	view    *View
	viewGen uint64

	asOf      time.Time // last time at which the state was known to be at the end of the log; zero if never
	assembler snapshotAssembler
	snapshots snapshotHistory
}

// gap is a range of expired records between the state and the first retained
// record.
type gap struct {
	first uint64   // offset of the first retained record
	held  [][]byte // records starting at first; nil for one that isn't a change
}

func (g *gap) next() uint64 {
	return g.first + uint64(len(g.held))
}

// NewReader returns a reader with an empty state.
func NewReader(now time.Time) *Reader {
	return &Reader{state: NewState(), started: now, gen: 1}
}

// Next returns the offset from which to continue reading the log.
func (r *Reader) Next() uint64 {
	if r.gap != nil {
		return r.gap.next()
	}
	return r.state.Next
}

// Offset returns the offset after the last applied record.
func (r *Reader) Offset() uint64 {
	return r.state.Next
}

// HasGap reports whether the reader needs a snapshot because the log no longer
// has the records that follow the state.
func (r *Reader) HasGap() bool {
	return r.gap != nil
}

// Generation returns a number that grows with each change of the state.
func (r *Reader) Generation() uint64 {
	return r.gen
}

// View returns the decoded state. It is decoded again only after a change.
func (r *Reader) View() *View {
	if r.view == nil || r.viewGen != r.gen {
		r.view, r.viewGen = r.state.View(), r.gen
	}
	return r.view
}

// Snapshot returns the state as a snapshot, for peers or for the log.
func (r *Reader) Snapshot() Snapshot {
	return r.state.Snapshot()
}

// Outcome returns the outcome of a recent change.
func (r *Reader) Outcome(id string) (Outcome, bool) {
	return r.state.Outcome(id)
}

// ApplyLogBatch applies a batch that was read from the log. It reports false
// for a batch that starts after Next, which is ignored; the log should then be
// read again from Next.
func (r *Reader) ApplyLogBatch(now time.Time, b Batch) bool {
	if b.First > r.Next() {
		return false
	}
	for i, data := range b.Records {
		offset := b.First + uint64(i)
		if offset == r.Next() || offset == r.state.Next {
			r.addRecord(now, offset, data)
		}
	}
	r.applyHeld()
	r.updateAsOf(now, b)
	return true
}

// SetFirstRetained sets the first retained offset, which the log returns if a
// read starts before it. If it is after Next, there is a gap until a snapshot
// covers the expired records.
func (r *Reader) SetFirstRetained(first uint64) {
	if first <= r.Next() {
		return
	}
	r.gap = &gap{first: first}
	r.assembler = snapshotAssembler{}
}

// ApplyPeerBatch applies records of another node. It reports false for a batch
// that starts after the end of the state, which is ignored.
func (r *Reader) ApplyPeerBatch(now time.Time, b Batch) bool {
	if b.First > r.state.Next {
		return false
	}
	for i, data := range b.Records {
		if offset := b.First + uint64(i); offset == r.state.Next {
			r.addRecord(now, offset, data)
		}
	}
	r.applyHeld()
	if b.End > 0 { // a peer that was never at the end of the log doesn't know it
		r.updateAsOf(now, b)
	}
	return true
}

// ApplyPeerSnapshot replaces the state by that of another node if that covers
// more records, and reports whether it did. The age is that of the other state;
// see Batch.Age. A state that covers fewer records confirms nothing: its log may
// have come back from a copy.
func (r *Reader) ApplyPeerSnapshot(now time.Time, s Snapshot, age time.Duration) bool {
	ok := r.restore(s)
	if s.Offset >= r.state.Next {
		r.updateAsOf(now, Batch{First: s.Offset, End: s.Offset, Age: age})
	}
	return ok
}

// addRecord applies a record, or holds it while there is a gap. If the record
// completes a snapshot, it is recorded and may close the gap.
func (r *Reader) addRecord(now time.Time, offset uint64, data []byte) {
	rec, err := Decode(data)
	switch {
	case r.gap == nil || offset == r.state.Next:
		r.apply(offset, data)
	case err != nil || rec.Change == nil:
		r.gap.held = append(r.gap.held, nil)
	default:
		r.gap.held = append(r.gap.held, data)
	}
	if err != nil || rec.Snapshot == nil {
		return
	}
	s, ok := r.assembler.add(rec.Snapshot)
	if !ok || s.Offset > offset {
		return // incomplete, or invalid because it claims to cover records after itself
	}
	r.snapshots.recordSnapshot(now, offset, r.asOf)
	if r.gap != nil && s.Offset >= r.gap.first {
		r.restore(s)
	}
}

// apply applies a record if its offset is the next one of the state.
func (r *Reader) apply(offset uint64, data []byte) {
	out := r.state.Apply(offset, data)
	if out == nil {
		return
	}
	if out.Accepted {
		r.gen++
	}
	r.snapshots.changes++
}

// restore replaces the state by a snapshot that covers more records.
func (r *Reader) restore(s Snapshot) bool {
	if !r.state.Restore(s) {
		return false
	}
	r.gen++
	r.applyHeld()
	return true
}

// applyHeld applies the held records once the state covers the gap.
func (r *Reader) applyHeld() {
	g := r.gap
	if g == nil || r.state.Next < g.first {
		return
	}
	r.gap = nil
	for i, data := range g.held {
		r.apply(g.first+uint64(i), data)
	}
}

// updateAsOf updates asOf if the state covers the log up to the end that the
// batch reports. The state was at that end b.Age ago.
func (r *Reader) updateAsOf(now time.Time, b Batch) {
	if r.gap != nil || b.End > r.state.Next || b.End < b.First+uint64(len(b.Records)) {
		return
	}
	if at := now.Add(-max(0, b.Age)); at.After(r.asOf) {
		r.asOf = at
	}
}

// Age returns the time since the state was last known to be at the end of the log,
// directly or through a peer. It reports false if it never was.
func (r *Reader) Age(now time.Time) (time.Duration, bool) {
	if r.asOf.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(r.asOf)), true
}

// Decode decodes a record. It returns a *RecordError if the record doesn't hold
// either a change or a snapshot.
func Decode(data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, err
	}
	if (rec.Change == nil) == (rec.Snapshot == nil) {
		return Record{}, &RecordError{Detail: "a record holds either a change or a snapshot"}
	}
	return rec, nil
}

// RecordError reports why a record is invalid.
type RecordError struct {
	Detail string
}

// Error implements error.
func (e *RecordError) Error() string {
	return "configuration record: " + e.Detail
}
