package member

import "slices"

// maxSyncSteps limits the packets of one synchronisation. A node that joins a
// fleet of 9,700 entries needs about 50 packets and as many replies.
const maxSyncSteps = 400

// addDigests starts a synchronisation: it adds the digest of every zone and all
// zone values.
func (m *Machine) addDigests(p *Packet) {
	p.Digests = m.digests()
	m.addZoneValues(p)
}

func (m *Machine) addZoneValues(p *Packet) {
	p.Retired, p.Offsets = m.retired.values, m.offsets.values
}

func (m *Machine) digests() []Digest {
	var ds []Digest
	for _, zone := range m.table.zoneNames() {
		ds = append(ds, m.digest(zone, false))
	}
	return ds
}

func (m *Machine) digest(zone string, buckets bool) Digest {
	z := m.table.lookupZone(zone)
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

// replyToSync adds the replies to the digests, bucket references and wanted
// names of a packet.
func (m *Machine) replyToSync(reply *Packet, p Packet) {
	if len(p.Digests) > 0 {
		m.replyToDigests(reply, p.Digests)
		m.addZoneValues(reply)
	}
	if len(p.BucketRefs) > 0 {
		m.replyToBucketRefs(reply, p.BucketRefs)
	}
	m.addWanted(reply, p.Want)
}

// replyToDigests adds the digests of all zones, with bucket sums for those that
// differ.
func (m *Machine) replyToDigests(reply *Packet, digests []Digest) {
	remote := map[string]Digest{}
	for _, d := range digests {
		remote[d.Zone] = d
	}
	size := 0
	for _, zone := range m.unionZones(remote) {
		d, ok := remote[zone]
		differs := !ok || d.Sum != m.table.lookupZone(zone).sum
		local := m.digest(zone, differs)
		size += encodedSize(&local)
		if size > maxSyncBytes {
			reply.More = true
			return
		}
		reply.Digests = append(reply.Digests, local)
	}
}

func (m *Machine) unionZones(remote map[string]Digest) []string {
	zones := slices.Clone(m.table.zoneNames())
	for _, zone := range sortedNames(remote) {
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// continueSync sends the next packet of a synchronisation after a reply.
func (m *Machine) continueSync(pm *pendingMessage, p Packet) {
	if pm.steps >= maxSyncSteps {
		return
	}
	next := m.packet()
	next.Sync = true
	more := p.More || pm.truncated
	for _, d := range p.Digests {
		more = m.addBucketRefs(next, d) || more
	}
	m.addWanted(next, p.Want)
	if p.Sync && more && len(p.Entries) > 0 {
		m.addDigests(next)
	}
	if len(next.BucketRefs)+len(next.Entries)+len(next.Digests) == 0 {
		m.joined = m.joined || !more && (p.Sync || len(p.Digests) > 0)
		return
	}
	m.queue(next, nil, pendingMessage{
		kind: kindSync, to: p.From, addr: p.Addr, steps: pm.steps + 1, truncated: more,
		deadline: m.clock + 4*m.ReplyTimeout(), // large packets
	})
}

// syncing reports whether a synchronisation is in progress.
func (m *Machine) syncing() bool {
	for _, pm := range m.pending {
		if pm.kind == kindSync && !pm.late {
			return true
		}
	}
	return false
}

// addBucketRefs lists the entries that this node holds in the buckets that
// differ. It reports whether the list is incomplete because of the size limit.
func (m *Machine) addBucketRefs(next *Packet, d Digest) bool {
	if len(d.Buckets) != bucketCount {
		return false
	}
	z := m.table.lookupZone(d.Zone)
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

// replyToBucketRefs adds the entries that the sender lacks and requests those
// that this node lacks.
func (m *Machine) replyToBucketRefs(reply *Packet, buckets []BucketRefs) {
	reply.Sync = true
	size := 0
	for _, b := range buckets {
		if b.Bucket < 0 || b.Bucket >= bucketCount {
			continue
		}
		remote := make(map[string]Ref, len(b.Refs))
		for _, ref := range b.Refs {
			remote[ref.Name] = ref
			if m.lacks(ref) {
				reply.Want = append(reply.Want, ref.Name)
			}
		}
		for _, local := range m.table.lookupZone(b.Zone).refs(b.Bucket) {
			ref, ok := remote[local.Name]
			if !ok && local.State.Gone() || ok && compareRefs(local, ref) <= 0 {
				continue
			}
			rec := m.table.records[local.Name]
			if size += rec.size; size > maxSyncBytes {
				reply.More = true
				return
			}
			reply.Entries = append(reply.Entries, rec.Entry)
		}
	}
}

// lacks reports whether another node's entry is newer than the local one.
func (m *Machine) lacks(ref Ref) bool {
	r, ok := m.table.records[ref.Name]
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

// addWanted adds the entries that the other node requested.
func (m *Machine) addWanted(p *Packet, want []string) {
	size := m.entriesSize(p.Entries)
	for _, name := range want {
		r, ok := m.table.records[name]
		if !ok || containsEntry(p.Entries, r.Entry) {
			continue
		}
		if size += r.size; size > maxSyncBytes {
			return
		}
		p.Entries = append(p.Entries, r.Entry)
	}
}
