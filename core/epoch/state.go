package epoch

import (
	"encoding/json"
	"maps"
	"slices"
)

// keptEpochs is the number of latest epochs that a state keeps although they
// are retired. With them an owner that lags a few epochs behind can still see
// that it held its share all along.
const keptEpochs = 8

// Record is an entry of the stream. Exactly one field is set.
type Record struct {
	Epoch    *Epoch    `json:"epoch,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the state of one zone that covers all records before its offset.
type Snapshot struct {
	Zone           string  `json:"zone" msgpack:"zone"`
	Offset         uint64  `json:"offset" msgpack:"offset"`
	RetiredThrough uint64  `json:"retiredThrough" msgpack:"retiredThrough"`
	Epochs         []Epoch `json:"epochs" msgpack:"epochs"` // in order of numbers
}

// Encode returns a record of the stream.
func Encode(r Record) ([]byte, error) {
	return json.Marshal(r)
}

// State is the fold of a prefix of the stream. Zones are independent of each
// other.
//
// A reader that starts after the first record, because earlier ones expired,
// calls Skip. A zone then counts as lost until a snapshot that covers the gap
// arrives from the log or from a peer; records that came meanwhile are kept and
// folded afterwards.
type State struct {
	Next  uint64 // offset of the next record to fold
	gap   uint64 // records before this offset were not read; 0 for none
	zones map[string]*zone
}

type zone struct {
	epochs   []Epoch // in order of numbers; the last one is current
	retired  uint64
	next     uint64 // records of the zone before this offset are folded
	gap      uint64 // a snapshot must cover this offset; 0 when not lost
	held     []heldRecord
	snapshot uint64 // offset after the last snapshot in the stream; 0 for none
}

type heldRecord struct {
	offset uint64
	epoch  Epoch
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{zones: map[string]*zone{}}
}

// SkipTo tells that records before first can't be read any more.
func (s *State) SkipTo(first uint64) {
	if first <= s.Next {
		return
	}
	s.Next, s.gap = first, first
	for _, z := range s.zones {
		z.gap, z.held = first, nil
	}
}

// ReachedEnd tells that the reader reached the end of the stream and asked its peers.
// Zones without any epoch so far then count as new, since the snapshot of an
// existing zone is repeated well within the retention time.
func (s *State) ReachedEnd() {
	s.gap = 0
	for _, z := range s.zones {
		if z.gap > 0 && len(z.epochs) == 0 {
			z.anchor()
		}
	}
}

// Apply folds the record at an offset and returns the zone whose current epoch
// changed, or "". Offsets before Next are ignored. An offset after Next is a
// gap, see Skip. A record that can't be decoded or is not valid changes
// nothing.
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
	if rec.Epoch == nil || !normalize(rec.Epoch) {
		return ""
	}
	z := s.zone(rec.Epoch.Zone)
	if z.gap > 0 {
		z.held = append(z.held, heldRecord{offset, *rec.Epoch})
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
	s.zone(snap.Zone).snapshot = offset + 1
	if !changed {
		return ""
	}
	return snap.Zone
}

// Restore replaces a zone by a snapshot, which may come from a peer. It
// reports whether it did. A snapshot is taken when it covers the gap of a lost
// zone or has a higher current epoch; a zone never reverts.
func (s *State) Restore(snap Snapshot) bool {
	epochs := slices.Clone(snap.Epochs)
	if snap.Zone == "" || !valid(snap.Zone, epochs) {
		return false
	}
	z := s.zone(snap.Zone)
	newer := snap.Offset >= z.next && epochs[len(epochs)-1].Number > z.number()
	covers := z.gap > 0 && snap.Offset >= z.gap && epochs[len(epochs)-1].Number >= z.number()
	if !newer && !covers {
		return false
	}
	if z.gap > 0 && !covers {
		return false
	}
	z.epochs = epochs
	z.retired = max(z.retired, snap.RetiredThrough)
	z.next = snap.Offset
	z.anchor()
	return true
}

func valid(name string, epochs []Epoch) bool {
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

// normalize sorts the members and reports whether the epoch is well-formed.
func normalize(e *Epoch) bool {
	if e.Zone == "" || e.Number != e.Base+1 || e.RetiredThrough > e.Base || len(e.Members) == 0 {
		return false
	}
	e.Members = slices.Clone(e.Members)
	slices.SortFunc(e.Members, byName)
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

func (z *zone) number() uint64 {
	if len(z.epochs) == 0 {
		return 0
	}
	return z.epochs[len(z.epochs)-1].Number
}

// anchor ends the gap and folds the records that were held.
func (z *zone) anchor() {
	held := z.held
	z.gap, z.held = 0, nil
	for _, h := range held {
		z.fold(h.offset, h.epoch)
	}
}

func (z *zone) fold(offset uint64, e Epoch) bool {
	if offset < z.next {
		return false
	}
	z.next = offset + 1
	if e.Base != z.number() {
		return false
	}
	z.epochs = append(z.epochs, e)
	z.retired = max(z.retired, e.RetiredThrough)
	z.trim()
	return true
}

// trim drops retired epochs beyond keptEpochs. It depends on records only, so
// that the snapshots of equal states are equal.
func (z *zone) trim() {
	drop := 0
	for len(z.epochs)-drop > keptEpochs && z.epochs[drop].Number <= z.retired {
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
// epoch is not known. A node must not propose an epoch of a lost zone.
func (s *State) HasGap(name string) bool {
	if z := s.zones[name]; z != nil {
		return z.gap > 0
	}
	return s.gap > 0
}

// Epochs returns the kept epochs of a zone in order of numbers.
func (s *State) Epochs(name string) []Epoch {
	if z := s.zones[name]; z != nil {
		return z.epochs
	}
	return nil
}

// Retired returns the last epoch of a zone that records call retired.
func (s *State) Retired(name string) uint64 {
	if z := s.zones[name]; z != nil {
		return z.retired
	}
	return 0
}

// Zones returns the names of the zones that have an epoch, in order.
func (s *State) Zones() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.zones)) {
		if len(s.zones[name].epochs) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Snapshot returns the state of a zone. It reports false for a zone that is
// lost or has no epoch.
func (s *State) Snapshot(name string) (Snapshot, bool) {
	z := s.zones[name]
	if z == nil || z.gap > 0 || len(z.epochs) == 0 {
		return Snapshot{}, false
	}
	return Snapshot{Zone: name, Offset: max(s.Next, z.next), RetiredThrough: z.retired, Epochs: slices.Clone(z.epochs)}, true
}

// ClaimOwner returns the owner of a claim key: rendezvous hashing chooses one
// of the zones, then a member of its current epoch. Choosing the zone first
// keeps a key within its zone while the members of any zone change, so the
// lease and the retirement of one zone protect it. With no zones given, all
// that have an epoch count. The set of zones itself is not covered by a lease:
// a zone is added to it in two changes, as with weights.
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
