package member

import (
	"cmp"
	"math/bits"
	"slices"
)

// rumor is a recent change that is still being sent.
type rumor struct {
	class int // 0 is sent before 1
	sent  int
	from  string // the instance that told us; it has the entry
}

// rumorLimit returns how often a change is sent: the binary logarithm of the
// zone's size and rumorExtra.
func (m *Machine) rumorLimit() int {
	return bits.Len(uint(len(m.tab.zone(m.cfg.Zone).alive))) + rumorExtra
}

// spread starts to send an entry to peers of the own zone.
func (m *Machine) spread(name, from string) {
	r := &rumor{class: 1, from: from}
	if m.tab.records[name].draining() {
		r.class = 0
	}
	m.rumors[name] = r
}

// heardAgain counts an entry that a peer sent although we have it: the fewer
// lack it, the less often it need be sent.
func (m *Machine) heardAgain(name string) {
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

// addRumors adds the changes that the receiver may lack, least sent first.
// Those in had came from the receiver just now.
func (m *Machine) addRumors(p *Packet, to string, had []Entry) {
	if len(p.Digests) == 0 { // which come with all facts
		p.Retired, p.Offsets = m.retired.take(), m.offsets.take()
	}
	if len(m.rumors) == 0 {
		return
	}
	size := m.entriesSize(p.Entries)
	for _, name := range m.rumorOrder() {
		r := m.rumors[name]
		rec, ok := m.tab.records[name]
		if !ok {
			delete(m.rumors, name)
			continue
		}
		if r.from == to || name == to && !rec.State.Gone() && rec.State != Suspect {
			continue
		}
		if containsEntry(had, rec.Entry) || containsEntry(p.Entries, rec.Entry) {
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
// those that ask for no new work, then the least sent ones.
func (m *Machine) rumorOrder() []string {
	names := sortedNames(m.rumors)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(m.rumors[a].class, m.rumors[b].class),
			cmp.Compare(m.rumors[a].sent, m.rumors[b].sent),
		)
	})
	return names
}

func (m *Machine) entriesSize(entries []Entry) int {
	size := 0
	for _, e := range entries {
		if r, ok := m.tab.records[e.Name]; ok {
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

// tellSender adds what the sender of a packet should know about itself: that
// others take it for suspect or gone, so that it can refute, or that we lack
// its entry.
func (m *Machine) tellSender(reply *Packet, p Packet) {
	r, ok := m.tab.records[p.From]
	switch {
	case !ok || r.Incarnation < p.Incarnation:
		if !slices.ContainsFunc(p.Entries, func(e Entry) bool { return e.Name == p.From }) {
			reply.Want = append(reply.Want, p.From)
		}
	case r.State != Alive || r.Incarnation > p.Incarnation:
		reply.Entries = append(reply.Entries, r.Entry)
	}
}

// urgent sends entries at once to several peers of the own zone. The node that
// announces them also sends to the border instances of its zone, and a border
// instance sends those of its own zone to every other zone.
func (m *Machine) urgent(names []string, from string) {
	peers := m.randomPeers(UrgentFanout, from, m.cfg.Name)
	if from == "" {
		for _, b := range m.tab.borderNames(m.cfg.Zone) {
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
	for _, zone := range m.tab.zoneNames() {
		if zone != m.cfg.Zone {
			m.sendZone(zone, 1, false)
		}
	}
}

func (m *Machine) sendUrgent(names []string, to string, try int) {
	p := m.packet()
	size := 0
	for _, name := range names {
		rec, ok := m.tab.records[name]
		if !ok || size+rec.size > maxDeltaBytes && size > 0 {
			continue // the entry remains a rumor
		}
		size += rec.size
		p.Entries = append(p.Entries, rec.Entry)
	}
	m.addRumors(p, to, nil)
	m.send(to, p, pending{kind: kindUrgent, names: names, try: try})
}

// randomPeers returns up to n alive members of the own zone other than those
// in skip.
func (m *Machine) randomPeers(n int, skip ...string) []string {
	names := m.tab.zone(m.cfg.Zone).names()
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
