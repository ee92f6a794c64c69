package member

import (
	"cmp"
	"slices"
	"time"
)

// maxZoneFails is the number of unanswered packets after which a border
// instance tries any member of the other zone, as its list of border instances
// may be out of date.
const maxZoneFails = 3

// peerZone is the exchange of a border instance with another zone.
type peerZone struct {
	acked    uint64 // table sequence number up to which the other zone has our entries
	nextSync time.Duration
	turn     int
	failed   int // packets without an answer in a row
	facts    factSeq
}

// factSeq numbers the changes of facts that another zone knows of.
type factSeq struct {
	retired, offsets uint64
}

func (m *Machine) peerZone(zone string) *peerZone {
	z, ok := m.peers[zone]
	if !ok {
		// What changed earlier reaches the other zone by the first digests.
		z = &peerZone{acked: m.borderSeq, turn: m.rng.IntN(BordersPerZone)}
		m.peers[zone] = z
	}
	return z
}

func (m *Machine) isBorder() bool {
	return slices.Contains(m.tab.borderNames(m.cfg.Zone), m.cfg.Name)
}

// gossipZones sends a packet to the next other zone if this is a border
// instance.
func (m *Machine) gossipZones() {
	if !m.isBorder() {
		clear(m.peers)
		m.borderSeq = m.tab.seq
		return
	}
	zones := slices.Clone(m.tab.zoneNames())
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == m.cfg.Zone })
	if len(zones) == 0 {
		return
	}
	m.zoneTurn++
	m.sendZone(zones[m.zoneTurn%len(zones)], 1, true)
}

// sendZone sends the entries of the own zone that changed since the other zone
// last answered.
func (m *Machine) sendZone(zone string, try int, regular bool) {
	peer, ok := m.zonePeer(zone)
	if !ok {
		return
	}
	z := m.peerZone(zone)
	p := m.packet()
	if regular && m.clock >= z.nextSync {
		z.nextSync = m.clock + ZoneSyncInterval
		m.addDigests(p)
	}
	seq := m.addChanged(p, z.acked)
	if len(p.Digests) == 0 {
		p.Retired = m.retired.changed(m.cfg.Zone, z.facts.retired)
		p.Offsets = m.offsets.changed(m.cfg.Zone, z.facts.offsets)
	}
	if !regular && len(p.Entries) == 0 {
		return
	}
	facts := factSeq{retired: m.retired.last, offsets: m.offsets.last}
	m.send(peer, p, pending{kind: kindZone, zone: zone, seq: seq, all: m.tab.seq, facts: facts, try: try})
}

// zonePeer returns the instance of another zone to talk to next.
func (m *Machine) zonePeer(zone string) (string, bool) {
	z := m.peerZone(zone)
	names := m.tab.borderNames(zone)
	if z.failed >= maxZoneFails {
		names = m.tab.peek(zone).names()
	}
	if len(names) == 0 {
		return "", false
	}
	if z.failed >= maxZoneFails {
		return names[m.rng.IntN(len(names))], true
	}
	z.turn++
	return names[z.turn%len(names)], true
}

// addChanged adds the entries of the own zone that changed after a table
// sequence number, oldest change first, and returns the number up to which the
// packet is complete. Suspects are left out: only their own zone acts on them.
func (m *Machine) addChanged(p *Packet, after uint64) uint64 {
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
	return m.tab.seq
}

// zoneAnswered notes what the other zone has: the entries that were sent, or all
// of them if its digest of our zone is the same as ours.
func (m *Machine) zoneAnswered(w *pending, p Packet) {
	z := m.peerZone(w.zone)
	z.failed = 0
	z.acked = max(z.acked, w.seq)
	z.facts = factSeq{retired: max(z.facts.retired, w.facts.retired), offsets: max(z.facts.offsets, w.facts.offsets)}
	for _, d := range p.Digests {
		if d.Zone == m.cfg.Zone && d.Sum == m.tab.zone(d.Zone).sum && m.tab.zone(d.Zone).seq <= w.all {
			z.acked = max(z.acked, w.all)
		}
	}
}

func (m *Machine) changedSince(after uint64) []*record {
	z := m.tab.zone(m.cfg.Zone)
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
