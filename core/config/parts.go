package config

import (
	"encoding/json"
	"slices"
)

// MaxRecordBytes is the size above which a snapshot is split into several
// records.
const MaxRecordBytes = 512 << 10

// maxAssemblies is the number of incomplete snapshots that are kept while the
// stream is read. Several nodes may append a snapshot at the same time.
const maxAssemblies = 4

// Encode returns the records of a snapshot, none larger than MaxRecordBytes as
// long as every object is. They should be appended together. The identifier
// ties the parts together and must be unique for each snapshot.
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

// partOverhead bounds the bytes of a part besides its objects and outcomes.
const partOverhead = 1 << 10

func (s Snapshot) split(id string, limit int) ([]Snapshot, error) {
	parts := []Snapshot{{ID: id, Offset: s.Offset}}
	size := 0
	room := func(v any) (*Snapshot, error) {
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
		p, err := room(o)
		if err != nil {
			return nil, err
		}
		p.Objects = append(p.Objects, o)
	}
	for _, out := range s.Outcomes {
		p, err := room(out)
		if err != nil {
			return nil, err
		}
		p.Outcomes = append(p.Outcomes, out)
	}
	return parts, nil
}

// assembly joins the parts of split snapshots. Of several parts with the same
// number the first in the stream counts.
type assembly struct {
	open []*partial // oldest first
}

// partial is a snapshot of which some parts were read.
type partial struct {
	id     string
	offset uint64
	parts  []*Snapshot
	left   int
}

// add takes a part. It returns the whole snapshot when the last part is there.
func (a *assembly) add(s *Snapshot) (Snapshot, bool) {
	if s.Parts <= 1 {
		return *s, s.Part == 0
	}
	if s.Part < 0 || s.Part >= s.Parts || s.Parts > maxParts {
		return Snapshot{}, false
	}
	p := a.find(s)
	if p.parts[s.Part] != nil {
		return Snapshot{}, false
	}
	p.parts[s.Part] = s
	p.left--
	if p.left > 0 {
		return Snapshot{}, false
	}
	a.open = slices.DeleteFunc(a.open, func(o *partial) bool { return o == p })
	return p.join(), true
}

// maxParts bounds a snapshot to 512 MiB.
const maxParts = 1024

func (a *assembly) find(s *Snapshot) *partial {
	for _, p := range a.open {
		if p.id == s.ID && p.offset == s.Offset && len(p.parts) == s.Parts {
			return p
		}
	}
	if len(a.open) == maxAssemblies {
		a.open = slices.Delete(a.open, 0, 1)
	}
	p := &partial{id: s.ID, offset: s.Offset, parts: make([]*Snapshot, s.Parts), left: s.Parts}
	a.open = append(a.open, p)
	return p
}

func (p *partial) join() Snapshot {
	whole := Snapshot{ID: p.id, Offset: p.offset}
	for _, part := range p.parts {
		whole.Objects = append(whole.Objects, part.Objects...)
		whole.Outcomes = append(whole.Outcomes, part.Outcomes...)
	}
	return whole
}
