package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is an entry with what this node keeps about it.
type record struct {
	Entry
	size     int           // bytes on the wire
	seq      uint64        // table sequence number of the last change
	deadline time.Duration // machine time at which a suspicion ends or a gone entry is dropped
	direct   uint64        // offset told by the instance itself, if later than Offset
	heard    time.Duration // machine time of its last packet
}

// bucket is a part of a zone's entries with their partial sum.
type bucket struct {
	sum     uint64
	records map[string]*record
}

// zoneInfo is what the table keeps for each zone.
type zoneInfo struct {
	alive   map[string]*record
	list    []string // names of alive, sorted; nil when out of date
	borders []string // nil when out of date
	gen     uint64
	seq     uint64 // table sequence number of the last change of an entry
	sum     uint64
	buckets [bucketCount]bucket
	heard   time.Time     // last news, by the caller's clock
	heardAt time.Duration // the same, by machine time
}

// serviceInfo is the index of the targets of a service.
type serviceInfo struct {
	targets map[string]*record
	list    []Entry // nil when out of date
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
	zoneList []string // zones with alive members, in order; nil when out of date
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

// peek returns what is known of a zone that another node named.
func (t *table) peek(name string) *zoneInfo {
	if z, ok := t.zones[name]; ok {
		return z
	}
	return &zoneInfo{}
}

// zone returns a zone, new if need be.
func (t *table) zone(name string) *zoneInfo {
	z, ok := t.zones[name]
	if !ok {
		z = &zoneInfo{alive: map[string]*record{}}
		t.zones[name] = z
	}
	return z
}

// put stores an entry in place of an older one of the same name.
func (t *table) put(e Entry) *record {
	old := t.records[e.Name]
	r := &record{Entry: e, size: encodedSize(&e)}
	t.seq++
	r.seq = t.seq
	t.zone(e.Zone).seq = t.seq
	if old != nil {
		t.unlink(old)
		if old.Incarnation == e.Incarnation {
			r.direct, r.heard = old.direct, old.heard
		}
	}
	t.records[e.Name] = r
	t.link(r)
	if old == nil || visible(old.Entry) != visible(e) || !sameTarget(old.Target, e.Target) {
		t.changed(old)
		t.changed(r)
	}
	return r
}

// shown is the part of an entry that watchers see, besides the target.
type shown struct {
	incarnation uint64
	state       State
	addr, zone  string
}

func visible(e Entry) shown {
	return shown{incarnation: e.Incarnation, state: e.State, addr: e.Addr, zone: e.Zone}
}

func (t *table) link(r *record) {
	z := t.zone(r.Zone)
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
	z := t.zone(r.Zone)
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
	t.changed(r)
}

// changed marks the indexes of a record as out of date for watchers.
func (t *table) changed(r *record) {
	if r == nil {
		return
	}
	t.gen++
	z := t.zone(r.Zone)
	z.gen, z.list, z.borders = t.gen, nil, nil
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
	z.count(b, r)
}

func (z *zoneInfo) remove(r *record) {
	b := &z.buckets[bucketOf(r.Name)]
	delete(b.records, r.Name)
	z.count(b, r)
}

// count adds the sum of a record, or takes it out again, as the sums are joined
// by exclusive or.
func (z *zoneInfo) count(b *bucket, r *record) {
	n := r.sum()
	z.sum ^= n
	b.sum ^= n
}

// refs returns references to the entries of a bucket in order.
func (z *zoneInfo) refs(i int) []Ref {
	var refs []Ref
	for _, name := range sortedNames(z.buckets[i].records) {
		r := z.buckets[i].records[name]
		refs = append(refs, Ref{Name: name, Incarnation: r.Incarnation, Version: r.Version, State: r.State})
	}
	return refs
}

// names returns the alive and suspect instances of the zone in order.
func (z *zoneInfo) names() []string {
	if z.list == nil {
		z.list = slices.Sorted(maps.Keys(z.alive))
	}
	return z.list
}

// borderNames returns the border instances of a zone by rendezvous hashing.
func (t *table) borderNames(zone string) []string {
	z, ok := t.zones[zone]
	if !ok {
		return nil
	}
	if z.borders == nil {
		z.borders = topRanked(zone, z.names(), BordersPerZone)
	}
	return z.borders
}

// topRanked returns the n names with the greatest rendezvous hash, greatest
// first.
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

// zoneNames returns the zones with alive members in order. The caller must not
// change the slice.
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
