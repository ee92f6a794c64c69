package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is an entry with the local state about it.
type record struct {
	Entry
	size         int           // encoded size
	seq          uint64        // table sequence number of the last change
	deadline     time.Duration // when a suspicion expires (suspicion clock) or a gone entry is evicted (machine time)
	directOffset uint64        // offset from packets of the instance itself, if later than Offset
	lastHeard    time.Duration // machine time of its last packet
}

// bucket is a subset of a zone's entries with its digest.
type bucket struct {
	sum     uint64
	records map[string]*record
}

// zoneInfo is the state that the table holds for each zone.
type zoneInfo struct {
	alive          map[string]*record
	aliveList      []string // sorted names of alive; nil when stale
	borders        []string // nil when stale
	gen            uint64
	seq            uint64 // table sequence number of the last change of an entry
	sum            uint64
	buckets        [bucketCount]bucket
	lastHeard      time.Time     // last contact with a node of the zone, by the caller's clock
	lastHeardClock time.Duration // the same in machine time
}

// serviceInfo is the index of the targets of a service.
type serviceInfo struct {
	targets map[string]*record
	list    []Entry // nil when stale
	gen     uint64
}

// table holds the entries and their indexes.
type table struct {
	records  map[string]*record
	zones    map[string]*zoneInfo
	services map[string]*serviceInfo
	gone     map[string]*record
	suspects map[string]*record
	seq      uint64
	gen      uint64
	zoneList []string // sorted names of zones with alive members; nil when stale
}

func newTable() *table {
	return &table{
		records:  map[string]*record{},
		zones:    map[string]*zoneInfo{},
		services: map[string]*serviceInfo{},
		gone:     map[string]*record{},
		suspects: map[string]*record{},
	}
}

// lookupZone returns the state of a zone, or an empty one without adding it. It
// is safe for zone names that another node sent.
func (t *table) lookupZone(name string) *zoneInfo {
	if z, ok := t.zones[name]; ok {
		return z
	}
	return &zoneInfo{}
}

// ensureZone returns the state of a zone and adds it if it is missing.
func (t *table) ensureZone(name string) *zoneInfo {
	z, ok := t.zones[name]
	if !ok {
		z = &zoneInfo{alive: map[string]*record{}}
		t.zones[name] = z
	}
	return z
}

// put stores an entry, replacing an older one of the same name.
func (t *table) put(e Entry) *record {
	old := t.records[e.Name]
	r := &record{Entry: e, size: encodedSize(&e)}
	t.seq++
	r.seq = t.seq
	t.ensureZone(e.Zone).seq = t.seq
	if old != nil {
		t.unlink(old)
		if old.Incarnation == e.Incarnation {
			r.directOffset, r.lastHeard = old.directOffset, old.lastHeard
		}
	}
	t.records[e.Name] = r
	t.link(r)
	if old == nil || visibleStateOf(old.Entry) != visibleStateOf(e) || !sameTarget(old.Target, e.Target) {
		t.markChanged(old)
		t.markChanged(r)
	}
	return r
}

// visibleState holds the fields of an entry, other than the target, whose
// change raises the generations.
type visibleState struct {
	incarnation uint64
	state       State
	addr, zone  string
}

func visibleStateOf(e Entry) visibleState {
	return visibleState{incarnation: e.Incarnation, state: e.State, addr: e.Addr, zone: e.Zone}
}

func (t *table) link(r *record) {
	z := t.ensureZone(r.Zone)
	z.add(r)
	switch {
	case r.State.Gone():
		t.gone[r.Name] = r
		return
	case r.State == Suspect:
		t.suspects[r.Name] = r
	}
	z.alive[r.Name] = r
	if r.Target == nil {
		return
	}
	s, ok := t.services[r.Target.Service]
	if !ok {
		s = &serviceInfo{targets: map[string]*record{}}
		t.services[r.Target.Service] = s
	}
	s.targets[r.Name] = r
	s.list = nil
}

func (t *table) unlink(r *record) {
	z := t.ensureZone(r.Zone)
	z.remove(r)
	delete(z.alive, r.Name)
	delete(t.gone, r.Name)
	delete(t.suspects, r.Name)
	if r.Target == nil {
		return
	}
	if s, ok := t.services[r.Target.Service]; ok {
		delete(s.targets, r.Name)
		s.list = nil
	}
}

func (t *table) drop(r *record) {
	t.unlink(r)
	delete(t.records, r.Name)
	t.markChanged(r)
}

// markChanged raises the generations of a record's zone and service and
// invalidates the cached lists.
func (t *table) markChanged(r *record) {
	if r == nil {
		return
	}
	t.gen++
	z := t.ensureZone(r.Zone)
	z.gen, z.aliveList, z.borders = t.gen, nil, nil
	t.zoneList = nil
	if r.Target == nil || r.State.Gone() {
		return
	}
	if s, ok := t.services[r.Target.Service]; ok {
		s.gen = t.gen
	}
}

func (z *zoneInfo) add(r *record) {
	b := &z.buckets[bucketOf(r.Name)]
	if b.records == nil {
		b.records = map[string]*record{}
	}
	b.records[r.Name] = r
	z.toggleSum(b, r)
}

func (z *zoneInfo) remove(r *record) {
	b := &z.buckets[bucketOf(r.Name)]
	delete(b.records, r.Name)
	z.toggleSum(b, r)
}

// toggleSum adds the digest sum of a record, or removes it again, as the sums
// are combined by exclusive or.
func (z *zoneInfo) toggleSum(b *bucket, r *record) {
	n := r.sum()
	z.sum ^= n
	b.sum ^= n
}

// refs returns references to the entries of a bucket, ordered by name.
func (z *zoneInfo) refs(i int) []Ref {
	var refs []Ref
	for _, name := range sortedNames(z.buckets[i].records) {
		r := z.buckets[i].records[name]
		refs = append(refs, Ref{Name: name, Incarnation: r.Incarnation, Version: r.Version, State: r.State})
	}
	return refs
}

// aliveNames returns the sorted names of the alive and suspect instances of the
// zone.
func (z *zoneInfo) aliveNames() []string {
	if z.aliveList == nil {
		z.aliveList = slices.Sorted(maps.Keys(z.alive))
	}
	return z.aliveList
}

// borderNames returns the border instances of a zone, selected by rendezvous
// hashing.
func (t *table) borderNames(zone string) []string {
	z, ok := t.zones[zone]
	if !ok {
		return nil
	}
	if z.borders == nil {
		z.borders = topRanked(zone, z.aliveNames(), BordersPerZone)
	}
	return z.borders
}

// topRanked returns the n names with the greatest rendezvous hash, in
// descending order of the hash.
func topRanked(key string, names []string, n int) []string {
	type ranked struct {
		hash uint64
		name string
	}
	order := func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.name, b.name))
	}
	top := make([]ranked, 0, len(names))
	for _, name := range names {
		top = append(top, ranked{hash: xxhash.Sum64String(key + "\x00" + name), name: name})
	}
	slices.SortFunc(top, order)
	top = top[:min(n, len(top))]
	best := make([]string, 0, n)
	for _, r := range top {
		best = append(best, r.name)
	}
	return best
}

// zoneNames returns the sorted names of the zones with alive members. The
// caller must not change the slice.
func (t *table) zoneNames() []string {
	if t.zoneList != nil {
		return t.zoneList
	}
	for name, z := range t.zones {
		if len(z.alive) > 0 {
			t.zoneList = append(t.zoneList, name)
		}
	}
	slices.Sort(t.zoneList)
	return t.zoneList
}
