package member

import "slices"

// maxSyncSteps bounds the packets of one synchronisation. A node that joins a
// fleet of 9,700 entries needs about 50 pairs of them.
const maxSyncSteps = 400

// addDigests starts a synchronisation with the digest of every zone and all
// facts.
func (m *Machine) addDigests(p *Packet) {
	p.Digests = m.digests()
	m.addFacts(p)
}

func (m *Machine) addFacts(p *Packet) {
	p.Retired, p.Offsets = m.retired.values, m.offsets.values
}

func (m *Machine) digests() []Digest {
	var ds []Digest
	for _, zone := range m.tab.zoneNames() {
		ds = append(ds, m.digest(zone, false))
	}
	return ds
}

func (m *Machine) digest(zone string, buckets bool) Digest {
	z := m.tab.peek(zone)
	d := Digest{Zone: zone, Sum: z.sum, AgeMS: -1}
	if age, ok := m.ZoneAge(m.now, zone); ok {
		d.AgeMS = age.Milliseconds()
	}
	if buckets {
		d.Buckets = make([]uint64, bucketCount)
		for i := range z.buckets {
			d.Buckets[i] = z.buckets[i].sum
		}
	}
	return d
}

// answerSync adds the answers to digests, ranges and wants of a packet.
func (m *Machine) answerSync(reply *Packet, p Packet) {
	if len(p.Digests) > 0 {
		m.answerDigests(reply, p.Digests)
		m.addFacts(reply)
	}
	if len(p.BucketRefs) > 0 {
		m.answerRanges(reply, p.BucketRefs)
	}
	m.addWanted(reply, p.Want)
}

// answerDigests adds the partial sums of the zones that differ.
func (m *Machine) answerDigests(reply *Packet, digests []Digest) {
	theirs := map[string]Digest{}
	for _, d := range digests {
		theirs[d.Zone] = d
	}
	size := 0
	for _, zone := range m.unionZones(theirs) {
		d, ok := theirs[zone]
		differs := !ok || d.Sum != m.tab.peek(zone).sum
		ours := m.digest(zone, differs)
		size += encodedSize(&ours)
		if size > maxSyncBytes {
			reply.More = true
			return
		}
		reply.Digests = append(reply.Digests, ours)
	}
}

func (m *Machine) unionZones(theirs map[string]Digest) []string {
	zones := slices.Clone(m.tab.zoneNames())
	for _, zone := range sortedNames(theirs) {
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// continueSync takes the next step of a synchronisation after an answer.
func (m *Machine) continueSync(w *pending, p Packet) {
	if w.steps >= maxSyncSteps {
		return
	}
	next := m.packet()
	next.Sync = true
	more := p.More || w.more
	for _, d := range p.Digests {
		more = m.addRanges(next, d) || more
	}
	m.addWanted(next, p.Want)
	if p.Sync && more && len(p.Entries) > 0 {
		m.addDigests(next)
	}
	if len(next.BucketRefs)+len(next.Entries)+len(next.Digests) == 0 {
		m.joined = m.joined || !more && (p.Sync || len(p.Digests) > 0)
		return
	}
	m.queue(next, nil, pending{
		kind: kindSync, to: p.From, addr: p.Addr, steps: w.steps + 1, more: more,
		deadline: m.clock + 4*ProbeTimeout, // large packets
	})
}

// syncing reports whether a synchronisation is under way.
func (m *Machine) syncing() bool {
	for _, w := range m.pending {
		if w.kind == kindSync {
			return true
		}
	}
	return false
}

// addRanges lists what this node holds in the buckets that differ. It reports
// whether a limit cut the list short.
func (m *Machine) addRanges(next *Packet, d Digest) bool {
	if len(d.Buckets) != bucketCount {
		return false
	}
	z := m.tab.peek(d.Zone)
	size := 0
	for _, r := range next.BucketRefs {
		size += encodedSize(&r)
	}
	for b, sum := range d.Buckets {
		if sum == z.buckets[b].sum {
			continue
		}
		r := BucketRefs{Zone: d.Zone, Bucket: b, Refs: z.refs(b)}
		size += encodedSize(&r)
		if size > maxSyncBytes {
			return true
		}
		next.BucketRefs = append(next.BucketRefs, r)
	}
	return false
}

// answerRanges adds the entries that the sender lacks and asks for those that
// this node lacks.
func (m *Machine) answerRanges(reply *Packet, ranges []BucketRefs) {
	reply.Sync = true
	size := 0
	for _, rg := range ranges {
		if rg.Bucket < 0 || rg.Bucket >= bucketCount {
			continue
		}
		theirs := make(map[string]Ref, len(rg.Refs))
		for _, ref := range rg.Refs {
			theirs[ref.Name] = ref
			if m.lacks(ref) {
				reply.Want = append(reply.Want, ref.Name)
			}
		}
		for _, ours := range m.tab.peek(rg.Zone).refs(rg.Bucket) {
			ref, ok := theirs[ours.Name]
			if !ok && ours.State.Gone() || ok && compareRefs(ours, ref) <= 0 {
				continue
			}
			rec := m.tab.records[ours.Name]
			if size += rec.size; size > maxSyncBytes {
				reply.More = true
				return
			}
			reply.Entries = append(reply.Entries, rec.Entry)
		}
	}
}

// lacks reports whether another node's entry is newer than ours.
func (m *Machine) lacks(ref Ref) bool {
	r, ok := m.tab.records[ref.Name]
	if !ok {
		return !ref.State.Gone()
	}
	return compareRefs(ref, Ref{Incarnation: r.Incarnation, Version: r.Version, State: r.State}) > 0
}

func compareRefs(a, b Ref) int {
	return Compare(
		Entry{Incarnation: a.Incarnation, Version: a.Version, State: a.State},
		Entry{Incarnation: b.Incarnation, Version: b.Version, State: b.State},
	)
}

// addWanted adds entries that the other node asked for.
func (m *Machine) addWanted(p *Packet, want []string) {
	size := m.entriesSize(p.Entries)
	for _, name := range want {
		r, ok := m.tab.records[name]
		if !ok || containsEntry(p.Entries, r.Entry) {
			continue
		}
		if size += r.size; size > maxSyncBytes {
			return
		}
		p.Entries = append(p.Entries, r.Entry)
	}
}
