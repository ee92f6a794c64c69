package config

import (
	"encoding/json"
	"time"
)

// Batch is a run of consecutive records of the configuration stream.
type Batch struct {
	First   uint64   // offset of the first record
	End     uint64   // offset after the last record of the stream; 0 if not known
	Records [][]byte // from First on; may be empty
	// Age is how old the statement of End may be: for a batch of the log the
	// time since the read was sent, for one of a peer the peer's own age plus
	// the time since the request was sent.
	Age time.Duration
}

// Reader folds batches, snapshots and records of peers, in any order, into one
// state that never reverts. It is not safe for concurrent use.
//
// Records are folded only where they continue the state. If the log dropped
// records that the state lacks, the reader holds back the records that follow
// until a snapshot covers the gap: the first snapshot of the log whose offset
// is not before the first retained record and not after its own place. Other
// snapshots of the log change nothing, so a node that folded every record and
// one that started from a snapshot hold the same state.
type Reader struct {
	state   *State
	started time.Time
	gap     *gap
	gen     uint64
	view    *View
	viewGen uint64

	asOf      time.Time // the state was at the end of the log then; zero if never
	parts     assembly
	snapshots snapshotLog
}

// gap is a hole between the state and the first retained record.
type gap struct {
	first uint64   // offset of the first retained record
	held  [][]byte // records from first on; nil for one that changes nothing
}

func (g *gap) next() uint64 {
	return g.first + uint64(len(g.held))
}

// NewReader returns a reader with the empty state.
func NewReader(now time.Time) *Reader {
	return &Reader{state: NewState(), started: now, gen: 1}
}

// Next returns the offset from which to read the log.
func (r *Reader) Next() uint64 {
	if r.gap != nil {
		return r.gap.next()
	}
	return r.state.Next
}

// Offset returns the offset after the last folded record.
func (r *Reader) Offset() uint64 {
	return r.state.Next
}

// HasGap reports whether the reader waits for a snapshot because the log no longer
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

// ApplyLogBatch takes a batch that was read from the log. It reports whether the batch
// was of use: one that starts after Next is not, and should be read again.
func (r *Reader) ApplyLogBatch(now time.Time, b Batch) bool {
	if b.First > r.Next() {
		return false
	}
	for i, data := range b.Records {
		offset := b.First + uint64(i)
		if offset == r.Next() || offset == r.state.Next {
			r.take(now, offset, data)
		}
	}
	r.settle()
	r.confirm(now, b)
	return true
}

// SetFirstRetained takes the first retained offset, which the log told in place of a
// batch.
func (r *Reader) SetFirstRetained(first uint64) {
	if first <= r.Next() {
		return
	}
	r.gap = &gap{first: first}
	r.parts = assembly{}
}

// ApplyPeerBatch takes records of another node. They are folded only where they continue
// the state. It reports whether the batch was of use.
func (r *Reader) ApplyPeerBatch(now time.Time, b Batch) bool {
	if b.First > r.state.Next {
		return false
	}
	for i, data := range b.Records {
		if offset := b.First + uint64(i); offset == r.state.Next {
			r.take(now, offset, data)
		}
	}
	r.settle()
	if b.End > 0 { // a peer that was never at the end of the log doesn't know it
		r.confirm(now, b)
	}
	return true
}

// ApplyPeerSnapshot takes the state of another node with the age of that state; see
// Batch. It reports whether it replaced the state. An older one is ignored.
func (r *Reader) ApplyPeerSnapshot(now time.Time, s Snapshot, age time.Duration) bool {
	ok := r.restore(s)
	r.confirm(now, Batch{First: s.Offset, End: s.Offset, Age: age})
	return ok
}

// take folds a record, or holds it back while there is a gap, and notes a
// snapshot that it completes.
func (r *Reader) take(now time.Time, offset uint64, data []byte) {
	rec, err := Decode(data)
	switch {
	case r.gap == nil || offset == r.state.Next:
		r.fold(offset, data)
	case err != nil || rec.Change == nil:
		r.gap.held = append(r.gap.held, nil)
	default:
		r.gap.held = append(r.gap.held, data)
	}
	if err != nil || rec.Snapshot == nil {
		return
	}
	s, ok := r.parts.add(rec.Snapshot)
	if !ok || s.Offset > offset {
		return // incomplete, or it claims records that follow it
	}
	r.snapshots.saw(now, offset, r.asOf)
	if r.gap != nil && s.Offset >= r.gap.first {
		r.restore(s)
	}
}

// fold applies a record if it continues the state.
func (r *Reader) fold(offset uint64, data []byte) {
	out := r.state.Apply(offset, data)
	if out == nil {
		return
	}
	if out.Accepted {
		r.gen++
	}
	r.snapshots.changes++
}

// restore takes over a snapshot that lies after the state.
func (r *Reader) restore(s Snapshot) bool {
	if !r.state.Restore(s) {
		return false
	}
	r.gen++
	r.settle()
	return true
}

// settle folds the records that were held back once the gap is closed.
func (r *Reader) settle() {
	g := r.gap
	if g == nil || r.state.Next < g.first {
		return
	}
	r.gap = nil
	for i, data := range g.held {
		r.fold(g.first+uint64(i), data)
	}
}

// confirm notes that the state is at the end of the log, as old as the batch
// says.
func (r *Reader) confirm(now time.Time, b Batch) {
	if r.gap != nil || b.End > r.state.Next || b.End < b.First+uint64(len(b.Records)) {
		return
	}
	if at := now.Add(-max(0, b.Age)); at.After(r.asOf) {
		r.asOf = at
	}
}

// Age returns how long ago the state was known to be at the end of the log,
// directly or through a peer. It reports false if it never was.
func (r *Reader) Age(now time.Time) (time.Duration, bool) {
	if r.asOf.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(r.asOf)), true
}

// Decode decodes a record. A record must hold either a change or a snapshot.
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

// RecordError says why a record is not valid.
type RecordError struct {
	Detail string
}

// Error implements error.
func (e *RecordError) Error() string {
	return "configuration record: " + e.Detail
}
