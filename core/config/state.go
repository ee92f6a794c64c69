package config

import (
	"cmp"
	"slices"

	"dogwoodsill.org/core/model"
)

// maxOutcomes is the number of recent changes whose outcome the state retains.
// It covers two days at 4,500 changes a day, far longer than the time within
// which an operator repeats an append.
const maxOutcomes = 9000

// ObjectID identifies an object in the configuration.
type ObjectID struct {
	Kind model.Kind
	Name string
}

// State is the configuration after the records of the stream before Next. It is
// not safe for concurrent use.
type State struct {
	Next     uint64 // offset of the next record to apply
	Objects  map[ObjectID]Object
	outcomes map[string]Outcome
	order    []string // identifiers of the retained outcomes, oldest first
	bodies   map[ObjectID]decoded
}

// NewState returns the empty state before the first record.
func NewState() *State {
	return &State{
		Objects:  map[ObjectID]Object{},
		outcomes: map[string]Outcome{},
		bodies:   map[ObjectID]decoded{},
	}
}

// Apply applies the record at offset Next. Any other record is ignored: one
// before Next was applied already, and one after it would leave a gap. Apply
// returns the outcome, accepted or rejected, if the record is a new change. A
// record that can't be decoded is skipped.
func (s *State) Apply(offset uint64, data []byte) *Outcome {
	if offset != s.Next {
		return nil
	}
	s.Next = offset + 1
	rec, err := Decode(data)
	if err != nil || rec.Change == nil {
		return nil
	}
	return s.applyChange(offset, rec.Change)
}

func (s *State) applyChange(offset uint64, c *Change) *Outcome {
	if c.ID == "" {
		return nil
	}
	if _, ok := s.outcomes[c.ID]; ok {
		return nil
	}
	out := s.evaluateChange(offset, c)
	s.addOutcome(out)
	return &out
}

func (s *State) evaluateChange(offset uint64, c *Change) Outcome {
	id := ObjectID{Kind: c.Kind, Name: c.Name}
	cur := s.Objects[id]
	if cur.Revision != c.Base {
		return Outcome{ID: c.ID, Revision: cur.Revision, Reason: "base revision is not the current one"}
	}
	if err := s.check(c, cur); err != nil {
		return Outcome{ID: c.ID, Revision: cur.Revision, Reason: err.Error()}
	}
	rev := offset + 1
	if c.Delete {
		delete(s.Objects, id)
		delete(s.bodies, id)
	} else {
		created := cur.Created
		if c.Base == 0 {
			created = rev
		}
		s.Objects[id] = Object{Kind: c.Kind, Name: c.Name, Created: created, Revision: rev, Body: c.Body}
	}
	return Outcome{ID: c.ID, Accepted: true, Revision: rev}
}

func (s *State) addOutcome(out Outcome) {
	s.outcomes[out.ID] = out
	s.order = append(s.order, out.ID)
	if len(s.order) > maxOutcomes {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}

// Outcome returns the outcome of a recent change.
func (s *State) Outcome(id string) (Outcome, bool) {
	out, ok := s.outcomes[id]
	return out, ok
}

// Snapshot returns the state as a snapshot with the objects in a fixed order, so
// that equal states have equal snapshots.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Offset: s.Next}
	for _, o := range s.Objects {
		snap.Objects = append(snap.Objects, o)
	}
	slices.SortFunc(snap.Objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	for _, id := range s.order {
		snap.Outcomes = append(snap.Outcomes, s.outcomes[id])
	}
	return snap
}

// Restore replaces the state by a snapshot that covers more records. It
// reports whether it did. An older snapshot is ignored, so that the state never
// goes back to an earlier offset.
func (s *State) Restore(snap Snapshot) bool {
	if snap.Offset <= s.Next {
		return false
	}
	fresh := NewState()
	fresh.Next = snap.Offset
	for _, o := range snap.Objects {
		id := ObjectID{Kind: o.Kind, Name: o.Name}
		fresh.Objects[id] = o
		if d, ok := s.bodies[id]; ok {
			fresh.bodies[id] = d
		}
	}
	for _, out := range snap.Outcomes {
		fresh.addOutcome(out)
	}
	*s = *fresh
	return true
}
