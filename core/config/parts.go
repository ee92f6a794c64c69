package config

import (
	"encoding/json"
	"slices"
)

// MaxRecordBytes is the maximum size of a snapshot record. A larger snapshot is
// split into several records.
const MaxRecordBytes = 512 << 10

// maxPartialSnapshots is the maximum number of incomplete snapshots that are
// retained while the stream is read. Several nodes may append a snapshot at the
// same time, so their parts may be interleaved.
const maxPartialSnapshots = 4

// Encode returns the records of a snapshot. None is larger than MaxRecordBytes
// if every object respects its size limits. Append them in one request. All
// parts carry the identifier, which must be unique for each snapshot.
func (s Snapshot) Encode(id string) ([][]byte, error) {
	return s.encode(id, MaxRecordBytes-partOverhead)
}

func (s Snapshot) encode(id string, limit int) ([][]byte, error) {
	parts, err := s.split(id, limit)
	if err != nil {
		return nil, err
	}
	records := make([][]byte, 0, len(parts))
	for i := range parts {
		parts[i].Parts = len(parts)
		data, err := json.Marshal(Record{Snapshot: &parts[i]})
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}

// partOverhead is an upper bound of the size of a part without its objects and
// outcomes.
const partOverhead = 1 << 10

func (s Snapshot) split(id string, limit int) ([]Snapshot, error) {
	parts := []Snapshot{{ID: id, Offset: s.Offset}}
	size := 0
	partFor := func(v any) (*Snapshot, error) {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		n := len(data) + 1
		if size += n; size > limit && size > n {
			parts = append(parts, Snapshot{ID: id, Part: len(parts), Offset: s.Offset})
			size = n
		}
		return &parts[len(parts)-1], nil
	}
	for _, o := range s.Objects {
		p, err := partFor(o)
		if err != nil {
			return nil, err
		}
		p.Objects = append(p.Objects, o)
	}
	for _, out := range s.Outcomes {
		p, err := partFor(out)
		if err != nil {
			return nil, err
		}
		p.Outcomes = append(p.Outcomes, out)
	}
	return parts, nil
}

// snapshotAssembler joins the parts of split snapshots. If a part occurs more
// than once, the first in the stream is used.
type snapshotAssembler struct {
	pending []*partialSnapshot // oldest first
}

// partialSnapshot is a snapshot of which some parts are still missing.
type partialSnapshot struct {
	id      string
	offset  uint64
	parts   []*Snapshot
	missing int
}

// add adds a part. It returns the whole snapshot once all its parts were added.
func (a *snapshotAssembler) add(s *Snapshot) (Snapshot, bool) {
	if s.Parts <= 1 {
		return *s, s.Part == 0
	}
	if s.Part < 0 || s.Part >= s.Parts || s.Parts > maxParts {
		return Snapshot{}, false
	}
	p := a.findOrAdd(s)
	if p.parts[s.Part] != nil {
		return Snapshot{}, false
	}
	p.parts[s.Part] = s
	p.missing--
	if p.missing > 0 {
		return Snapshot{}, false
	}
	a.pending = slices.DeleteFunc(a.pending, func(o *partialSnapshot) bool { return o == p })
	return p.join(), true
}

// maxParts limits a snapshot to 512 MiB, at MaxRecordBytes a part.
const maxParts = 1024

func (a *snapshotAssembler) findOrAdd(s *Snapshot) *partialSnapshot {
	for _, p := range a.pending {
		if p.id == s.ID && p.offset == s.Offset && len(p.parts) == s.Parts {
			return p
		}
	}
	if len(a.pending) == maxPartialSnapshots {
		a.pending = slices.Delete(a.pending, 0, 1)
	}
	p := &partialSnapshot{id: s.ID, offset: s.Offset, parts: make([]*Snapshot, s.Parts), missing: s.Parts}
	a.pending = append(a.pending, p)
	return p
}

func (p *partialSnapshot) join() Snapshot {
	whole := Snapshot{ID: p.id, Offset: p.offset}
	for _, part := range p.parts {
		whole.Objects = append(whole.Objects, part.Objects...)
		whole.Outcomes = append(whole.Outcomes, part.Outcomes...)
	}
	return whole
}
