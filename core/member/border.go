package member

import (
	"cmp"
	"slices"
	"time"
)

// maxZoneFailures is the number of consecutive packets to another zone without
// a reply after which a border instance tries any member of that zone, because
// its list of border instances there may be stale.
const maxZoneFailures = 3

// maxFailuresToRetry is the number of such packets from which on none is sent again at its
// timeout; the next regular packet carries the same entries.
const maxFailuresToRetry = 2 * maxZoneFailures

// zoneExchange is the state that a border instance keeps about its exchange
// with one other zone.
type zoneExchange struct {
	ackedSeq  uint64 // table sequence number up to which the other zone has our entries
	nextSync  time.Duration
	peerIndex int
	failures  int // consecutive packets without a reply
	valueSeqs valueSeqs
}

// valueSeqs holds the sequence numbers of the zone values that another zone has
// acknowledged.
type valueSeqs struct {
	retired, offsets uint64
}

func (m *Machine) zoneExchange(zone string) *zoneExchange {
	z, ok := m.exchanges[zone]
	if !ok {
		// Earlier changes reach the other zone through the first digests.
		z = &zoneExchange{ackedSeq: m.borderSeq, peerIndex: m.rng.IntN(BordersPerZone)}
		m.exchanges[zone] = z
	}
	return z
}

func (m *Machine) isBorder() bool {
	return slices.Contains(m.table.borderNames(m.cfg.Zone), m.cfg.Name)
}

// gossipToZones sends a packet to the next other zone in turn if this node is a
// border instance.
func (m *Machine) gossipToZones() {
	if !m.isBorder() {
		clear(m.exchanges)
		m.borderSeq = m.table.seq
		return
	}
	zones := slices.Clone(m.table.zoneNames())
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == m.cfg.Zone })
	if len(zones) == 0 {
		return
	}
	m.zoneIndex++
	m.sendToZone(zones[m.zoneIndex%len(zones)], 1, true)
}

// sendToZone sends the entries of the local zone that changed since the other
// zone last replied. A regular packet is sent even without changes and also
// carries digests when they are due.
func (m *Machine) sendToZone(zone string, try int, regular bool) {
	peer, ok := m.pickZonePeer(zone)
	if !ok {
		return
	}
	z := m.zoneExchange(zone)
	p := m.packet()
	if regular && m.clock >= z.nextSync {
		z.nextSync = m.clock + ZoneSyncInterval
		m.addDigests(p)
	}
	seq := m.addChangedEntries(p, z.ackedSeq)
	if len(p.Digests) == 0 {
		p.Retired = m.retired.changedAfter(m.cfg.Zone, z.valueSeqs.retired)
		p.Offsets = m.offsets.changedAfter(m.cfg.Zone, z.valueSeqs.offsets)
	}
	if !regular && len(p.Entries) == 0 {
		return
	}
	seqs := valueSeqs{retired: m.retired.lastSeq, offsets: m.offsets.lastSeq}
	m.send(peer, p, pendingMessage{kind: kindZone, zone: zone, coveredSeq: seq, tableSeq: m.table.seq, valueSeqs: seqs, try: try})
}

// pickZonePeer returns the instance of another zone that receives the next
// packet.
func (m *Machine) pickZonePeer(zone string) (string, bool) {
	z := m.zoneExchange(zone)
	names := m.table.borderNames(zone)
	if z.failures >= maxZoneFailures {
		names = m.table.lookupZone(zone).aliveNames()
	}
	if len(names) == 0 {
		return "", false
	}
	if z.failures >= maxZoneFailures {
		return names[m.rng.IntN(len(names))], true
	}
	z.peerIndex++
	return names[z.peerIndex%len(names)], true
}

// addChangedEntries adds the entries of the local zone that changed after a
// table sequence number, oldest change first, and returns the number up to
// which the packet is complete. Suspects are omitted, because only members of
// their own zone act on a suspicion.
func (m *Machine) addChangedEntries(p *Packet, after uint64) uint64 {
	changed := m.changedSince(after)
	size := 0
	last := after
	for _, r := range changed {
		if r.State == Suspect {
			last = r.seq
			continue
		}
		if size+r.size > maxDeltaBytes && size > 0 {
			return last
		}
		size += r.size
		last = r.seq
		p.Entries = append(p.Entries, r.Entry)
	}
	return m.table.seq
}

// handleZoneReply records what the other zone has: the entries that were sent,
// or all entries if its digest of our zone matches ours.
func (m *Machine) handleZoneReply(pm *pendingMessage, p Packet) {
	z := m.zoneExchange(pm.zone)
	z.failures = 0
	z.ackedSeq = max(z.ackedSeq, pm.coveredSeq)
	z.valueSeqs = valueSeqs{retired: max(z.valueSeqs.retired, pm.valueSeqs.retired), offsets: max(z.valueSeqs.offsets, pm.valueSeqs.offsets)}
	for _, d := range p.Digests {
		if d.Zone == m.cfg.Zone && d.Sum == m.table.ensureZone(d.Zone).sum && m.table.ensureZone(d.Zone).seq <= pm.tableSeq {
			z.ackedSeq = max(z.ackedSeq, pm.tableSeq)
		}
	}
}

func (m *Machine) changedSince(after uint64) []*record {
	z := m.table.ensureZone(m.cfg.Zone)
	if after >= z.seq {
		return nil
	}
	var changed []*record
	for i := range z.buckets {
		for _, r := range z.buckets[i].records {
			if r.seq > after {
				changed = append(changed, r)
			}
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.seq, b.seq) })
	return changed
}
