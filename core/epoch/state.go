package epoch

import (
	"encoding/json"
	"maps"
	"slices"
)

// retainedEpochs is the number of latest epochs that a state retains even if
// they are retired. They let an owner that is a few epochs behind determine
// that it has held its share continuously.
const retainedEpochs = 8

// Record is a record of the log stream. Exactly one field is set.
type Record struct {
	Epoch    *Epoch    `json:"epoch,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the state of one zone after all records before an offset.
type Snapshot struct {
	Zone           string  `json:"zone" msgpack:"zone"`
	Offset         uint64  `json:"offset" msgpack:"offset"`
	RetiredThrough uint64  `json:"retiredThrough" msgpack:"retiredThrough"`
	Epochs         []Epoch `json:"epochs" msgpack:"epochs"` // ordered by number
}

// Encode encodes a record of the log stream.
func Encode(r Record) ([]byte, error) {
	return json.Marshal(r)
}

// State is the result of applying the records of the log stream in order. Zones
// are independent of each other.
//
// A reader that starts after the first record, because earlier ones have
// expired, calls SkipTo. Each zone then has a gap until a snapshot that covers
// it arrives from the log or from a peer. Records that arrive meanwhile are
// buffered and applied afterwards.
type State struct {
	Era   uint64 // of the log; see StartEra
	Next  uint64 // offset of the next record to apply
	gap   uint64 // records before this offset were not read; 0 for none
	zones map[string]*zone

	rereading  bool // the end of the log was not reached since StartEra
	reachedEnd bool // the end of the log was reached once
}

type zone struct {
	epochs      []Epoch // ordered by number; the last one is current
	retired     uint64
	next        uint64 // records of the zone before this offset are applied
	gap         uint64 // a snapshot must cover the records before this offset; 0 for no gap
	buffered    []bufferedRecord
	snapshotEnd uint64 // offset after the last snapshot in the stream; 0 for none
}

type bufferedRecord struct {
	offset uint64
	epoch  Epoch
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{zones: map[string]*zone{}}
}

// SkipTo records that the records before first can no longer be read. A zone that is known
// from an earlier era has no gap: what it lacks are records of that era, and any record of
// the present one is newer than its epoch.
func (s *State) SkipTo(first uint64) {
	if first <= s.Next {
		return
	}
	s.Next, s.gap = first, first
	for _, z := range s.zones {
		if s.rereading && len(z.epochs) > 0 {
			continue
		}
		z.gap, z.buffered = first, nil
	}
}

// ReachedEnd records that the reader reached the end of the stream and has
// asked its peers for snapshots. Zones without any epoch so far then count as
// new, since the snapshot of an existing zone is repeated well within the
// retention time.
func (s *State) ReachedEnd() {
	s.gap, s.rereading, s.reachedEnd = 0, false, true
	for _, z := range s.zones {
		if z.gap > 0 && len(z.epochs) == 0 {
			z.closeGap()
		}
	}
}

// HasReachedEnd reports whether the reader ever reached the end of the stream. Before that,
// a zone without an epoch may have one that is not known yet.
func (s *State) HasReachedEnd() bool {
	return s.reachedEnd
}

// Apply applies the record at an offset and returns the zone whose current
// epoch changed, or "". Offsets before Next are ignored. An offset after Next
// causes a gap, as SkipTo does. A record that can't be decoded or is not valid
// changes nothing.
func (s *State) Apply(offset uint64, data []byte) string {
	if offset < s.Next {
		return ""
	}
	s.SkipTo(offset)
	s.Next = offset + 1
	var rec Record
	if json.Unmarshal(data, &rec) != nil {
		return ""
	}
	if rec.Snapshot != nil {
		return s.applySnapshot(offset, *rec.Snapshot)
	}
	if rec.Epoch == nil || !normalize(rec.Epoch) || s.isFuture(*rec.Epoch) {
		return ""
	}
	z := s.zone(rec.Epoch.Zone)
	if z.gap > 0 {
		z.buffered = append(z.buffered, bufferedRecord{offset, *rec.Epoch})
		return ""
	}
	if !z.fold(offset, *rec.Epoch) {
		return ""
	}
	return rec.Epoch.Zone
}

func (s *State) applySnapshot(offset uint64, snap Snapshot) string {
	if snap.Zone == "" || snap.Offset > offset {
		return ""
	}
	changed := s.Restore(snap)
	s.zone(snap.Zone).snapshotEnd = offset + 1
	if !changed {
		return ""
	}
	return snap.Zone
}

// Restore replaces the state of a zone by a snapshot, which may come from a
// peer, and reports whether it did. A snapshot is accepted if it covers the gap
// of a zone or, in a zone without a gap, has a higher current epoch. A zone
// never reverts. A snapshot of an earlier era may have any offset.
func (s *State) Restore(snap Snapshot) bool {
	epochs := slices.Clone(snap.Epochs)
	if snap.Zone == "" || !validEpochs(snap.Zone, epochs) {
		return false
	}
	last := epochs[len(epochs)-1]
	if s.isFuture(last) || snap.RetiredThrough > last.Number {
		return false
	}
	z := s.zone(snap.Zone)
	newer := (snap.Offset >= z.next || s.Era > 0) && epochs[len(epochs)-1].Number > z.currentNumber()
	covers := z.gap > 0 && snap.Offset >= z.gap && epochs[len(epochs)-1].Number >= z.currentNumber()
	if !newer && !covers {
		return false
	}
	if z.gap > 0 && !covers {
		return false
	}
	z.epochs = epochs
	z.retired = max(z.retired, snap.RetiredThrough)
	z.next = snap.Offset
	z.closeGap()
	return true
}

func validEpochs(name string, epochs []Epoch) bool {
	if len(epochs) == 0 {
		return false
	}
	for i := range epochs {
		e := &epochs[i]
		if e.Zone != name || !normalize(e) || i > 0 && e.Number <= epochs[i-1].Number {
			return false
		}
	}
	return true
}

// normalize sorts the members and reports whether the epoch is valid.
func normalize(e *Epoch) bool {
	if e.Zone == "" || e.Number != e.Base+1 && !e.startsEra() || e.RetiredThrough > e.Base || len(e.Members) == 0 {
		return false
	}
	e.Members = slices.Clone(e.Members)
	slices.SortFunc(e.Members, compareNames)
	addresses := make(map[string]bool, len(e.Members))
	for i, m := range e.Members {
		if m.Name == "" || m.Zone != e.Zone || i > 0 && e.Members[i-1].Name == m.Name {
			return false
		}
		if m.Address != "" && addresses[m.Address] {
			return false
		}
		addresses[m.Address] = true
	}
	return true
}

func (s *State) zone(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{gap: s.gap}
		s.zones[name] = z
	}
	return z
}

func (z *zone) currentNumber() uint64 {
	if len(z.epochs) == 0 {
		return 0
	}
	return z.epochs[len(z.epochs)-1].Number
}

// closeGap ends the gap and applies the buffered records.
func (z *zone) closeGap() {
	buffered := z.buffered
	z.gap, z.buffered = 0, nil
	for _, h := range buffered {
		z.fold(h.offset, h.epoch)
	}
}

func (z *zone) fold(offset uint64, e Epoch) bool {
	if offset < z.next {
		return false
	}
	z.next = offset + 1
	if e.Base != z.currentNumber() && (!e.startsEra() || e.Number <= z.currentNumber()) {
		return false
	}
	z.epochs = append(z.epochs, e)
	z.retired = max(z.retired, e.RetiredThrough)
	z.trim()
	return true
}

// trim drops retired epochs beyond retainedEpochs. It depends only on records,
// so that the snapshots of equal states are equal.
func (z *zone) trim() {
	drop := 0
	for len(z.epochs)-drop > retainedEpochs && z.epochs[drop].Number <= z.retired {
		drop++
	}
	z.epochs = slices.Clone(z.epochs[drop:])
}

// Current returns the current epoch of a zone.
func (s *State) Current(name string) (Epoch, bool) {
	z := s.zones[name]
	if z == nil || len(z.epochs) == 0 {
		return Epoch{}, false
	}
	return z.epochs[len(z.epochs)-1], true
}

// HasGap reports whether records of the zone are missing, so that its current
// epoch is not known. A node must not propose an epoch of a zone with a gap.
func (s *State) HasGap(name string) bool {
	if z := s.zones[name]; z != nil {
		return z.gap > 0
	}
	return s.gap > 0
}

// Epochs returns the retained epochs of a zone, ordered by number.
func (s *State) Epochs(name string) []Epoch {
	if z := s.zones[name]; z != nil {
		return z.epochs
	}
	return nil
}

// Retired returns the highest epoch of a zone that is retired according to the
// log.
func (s *State) Retired(name string) uint64 {
	if z := s.zones[name]; z != nil {
		return z.retired
	}
	return 0
}

// Zones returns the sorted names of the zones that have an epoch.
func (s *State) Zones() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if len(s.zones[name].epochs) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Snapshot returns the state of a zone. It reports false for a zone that has a
// gap or no epoch.
func (s *State) Snapshot(name string) (Snapshot, bool) {
	z := s.zones[name]
	if z == nil || z.gap > 0 || len(z.epochs) == 0 {
		return Snapshot{}, false
	}
	return Snapshot{Zone: name, Offset: max(s.Next, z.next), RetiredThrough: z.retired, Epochs: slices.Clone(z.epochs)}, true
}

// ClaimOwner returns the owner of a claim key: rendezvous hashing selects one
// of the zones, then a member of its current epoch. Selecting the zone first
// keeps a key within its zone while the members of any zone change, so that the
// lease and the retirement of one zone protect it. If no zones are given, it
// selects among all that have an epoch. A lease doesn't protect against a
// change of the set of zones, so a zone is added to it in two configuration
// changes, like a change of weights.
func (s *State) ClaimOwner(key string, zones ...string) (Member, bool) {
	if len(zones) == 0 {
		zones = s.Zones()
	}
	var best string
	var bestScore uint64
	h := hashKey(key)
	for _, name := range zones {
		if sc := score(h, name); best == "" || sc > bestScore || sc == bestScore && name < best {
			best, bestScore = name, sc
		}
	}
	e, ok := s.Current(best)
	if !ok {
		return Member{}, false
	}
	return e.Slots(key, 1)[0], true
}
