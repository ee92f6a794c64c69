package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// rumor is a recent change that is still being spread.
type rumor struct {
	priority int // 0 is sent before 1
	sent     int
	source   string // the instance that sent it, which therefore has the entry
}

// rumorLimit returns how often a change is sent: the binary logarithm of the
// zone's size plus rumorExtraSends.
func (m *Machine) rumorLimit() int {
	return bits.Len(uint(len(m.table.ensureZone(m.cfg.Zone).alive))) + rumorExtraSends
}

// spreadEntry starts to send an entry to peers of the local zone.
func (m *Machine) spreadEntry(name, from string) {
	r := &rumor{priority: 1, source: from}
	if m.table.records[name].draining() {
		r.priority = 0
	}
	m.rumors[name] = r
}

// countDuplicate counts an entry received from a peer as sent once more if this
// node already had it: the more peers have the entry, the fewer times it needs
// to be sent.
func (m *Machine) countDuplicate(name string) {
	if r, ok := m.rumors[name]; ok {
		m.countRumor(name, r)
	}
}

func (m *Machine) countRumor(name string, r *rumor) {
	r.sent++
	if r.sent >= m.rumorLimit() {
		delete(m.rumors, name)
	}
}

// addRumors adds the changes that the receiver may lack, draining instances
// first, then least sent first. The entries in received came from the receiver
// in the packet that is being replied to.
func (m *Machine) addRumors(p *Packet, to string, received []Entry) {
	if len(p.Digests) == 0 { // a packet with digests carries all zone values
		p.Retired, p.Offsets = m.retired.takeUnsent(), m.offsets.takeUnsent()
	}
	if len(m.rumors) == 0 {
		return
	}
	size := m.entriesSize(p.Entries)
	for _, name := range m.rumorOrder() {
		r := m.rumors[name]
		rec, ok := m.table.records[name]
		if !ok {
			delete(m.rumors, name)
			continue
		}
		if r.source == to || name == to && !rec.State.Gone() && rec.State != Suspect {
			continue
		}
		if containsEntry(received, rec.Entry) || containsEntry(p.Entries, rec.Entry) {
			continue
		}
		if size+rec.size > maxDeltaBytes && size > 0 {
			break
		}
		size += rec.size
		p.Entries = append(p.Entries, rec.Entry)
		m.countRumor(name, r)
	}
}

// rumorOrder returns the changes in the order in which they should be sent:
// draining instances first, then those sent least often.
func (m *Machine) rumorOrder() []string {
	names := sortedNames(m.rumors)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(m.rumors[a].priority, m.rumors[b].priority),
			cmp.Compare(m.rumors[a].sent, m.rumors[b].sent),
		)
	})
	return names
}

func (m *Machine) entriesSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		if r, ok := m.table.records[e.Name]; ok {
			size += r.size
		}
	}
	return size
}

func containsEntry(entries []Entry, e Entry) bool {
	return slices.ContainsFunc(entries, func(x Entry) bool {
		return x.Name == e.Name && Compare(x, e) >= 0
	})
}

// addSenderState adds what the sender of a packet should know about itself:
// that it is considered suspect or gone, so that it can refute, or that its
// entry is missing here.
func (m *Machine) addSenderState(reply *Packet, p Packet) {
	r, ok := m.table.records[p.From]
	switch {
	case !ok || r.Incarnation < p.Incarnation:
		if !slices.ContainsFunc(p.Entries, func(e Entry) bool { return e.Name == p.From }) {
			reply.Want = append(reply.Want, p.From)
		}
	case r.State != Alive || r.Incarnation > p.Incarnation:
		reply.Entries = append(reply.Entries, r.Entry)
	}
}

// spreadUrgent sends entries at once to several peers of the local zone. The
// node that announces them also sends them to the border instances of its zone,
// and a border instance sends those of its own zone to every other zone.
func (m *Machine) spreadUrgent(names []string, from string) {
	peers := m.randomPeers(UrgentFanout, from, m.cfg.Name)
	if from == "" {
		for _, b := range m.table.borderNames(m.cfg.Zone) {
			if b != m.cfg.Name && !slices.Contains(peers, b) {
				peers = append(peers, b)
			}
		}
	}
	for _, to := range peers {
		m.sendUrgent(names, to, 1)
	}
	if !m.isBorder() {
		return
	}
	for _, zone := range m.table.zoneNames() {
		if zone != m.cfg.Zone {
			m.sendToZone(zone, 1, false)
		}
	}
}

func (m *Machine) sendUrgent(names []string, to string, try int) {
	p := m.packet()
	size := 0
	for _, name := range names {
		rec, ok := m.table.records[name]
		if !ok || size+rec.size > maxDeltaBytes && size > 0 {
			continue // the entry remains a rumor
		}
		size += rec.size
		p.Entries = append(p.Entries, rec.Entry)
	}
	m.addRumors(p, to, nil)
	m.send(to, p, pendingMessage{kind: kindUrgent, names: names, try: try})
}

// randomPeers returns up to n alive or suspect members of the local zone other
// than those in skip.
func (m *Machine) randomPeers(n int, skip ...string) []string {
	names := m.table.ensureZone(m.cfg.Zone).aliveNames()
	var peers []string
	for _, i := range m.rng.Perm(len(names)) {
		if len(peers) == n {
			break
		}
		if !slices.Contains(skip, names[i]) {
			peers = append(peers, names[i])
		}
	}
	return peers
}
