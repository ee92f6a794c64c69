package member

import (
	"slices"
	"time"
)

// kind tells what a message that awaits its answer was sent for.
type kind uint8

const (
	kindGossip   kind = iota // direct probe of a peer of the own zone
	kindIndirect             // second direct probe, or request to probe a peer
	kindHelp                 // probe on behalf of another node
	kindUrgent               // urgent entries inside the zone
	kindZone                 // changed entries to another zone
	kindSync                 // step of a synchronisation
	kindSeed                 // packet to a seed
	kindReport               // lowest offset to the parent
)

// pending is a message that awaits its answer.
type pending struct {
	kind     kind
	to       string
	addr     string
	deadline time.Duration
	probed   *probed  // kindGossip, kindIndirect
	names    []string // kindUrgent: the entries
	try      int      // kindUrgent, kindZone
	zone     string   // kindZone
	seq      uint64   // kindZone: table sequence number that the packet covers
	all      uint64   // kindZone: table sequence number when it was sent
	facts    factSeq  // kindZone: the facts that the packet covers
	digests  bool     // the packet starts a synchronisation
	steps    int      // steps of the synchronisation so far
	more     bool     // kindSync: a limit cut the ranges short
}

// probed is a probe of a peer that is under way.
type probed struct {
	name        string
	incarnation uint64
	version     uint64
	at          time.Duration // machine time of the direct probe
	rounds      int           // rounds of indirect probes
	done        bool          // answered, or given up
}

// send queues a packet to a known instance.
func (m *Machine) send(to string, p *Packet, w pending) {
	r, ok := m.tab.records[to]
	if !ok {
		return
	}
	if r.State != Alive && !containsEntry(p.Entries, r.Entry) {
		p.Entries = append(p.Entries, r.Entry) // lets the receiver refute
	}
	w.to, w.addr = to, r.Addr
	m.queue(p, nil, w)
}

func (m *Machine) queue(p *Packet, probe *ProbeRequest, w pending) {
	m.nextID++
	if w.deadline == 0 {
		w.deadline = m.clock + ProbeTimeout
	}
	w.digests = p != nil && len(p.Digests) > 0
	m.pending[m.nextID] = &w
	m.out = append(m.out, Message{ID: m.nextID, To: w.to, Addr: w.addr, Packet: p, Probe: probe})
}

// gossip sends a packet to the next peer of the own zone, or to a seed.
func (m *Machine) gossip() {
	peer, ok := m.nextPeer()
	if !ok || m.clock >= m.nextSeed {
		m.gossipSeed(!ok)
	}
	if !ok {
		return
	}
	r := m.tab.records[peer]
	p := m.packet()
	if m.clock >= m.nextSync || !m.joined && !m.syncing() {
		m.nextSync = m.clock + SyncInterval
		m.addDigests(p)
	}
	m.addRumors(p, peer, nil)
	probe := &probed{name: peer, incarnation: r.Incarnation, version: r.Version, at: m.clock}
	m.send(peer, p, pending{kind: kindGossip, probed: probe})
}

// nextPeer visits all peers of the zone in random order before it starts again,
// so that each is probed within a bounded time.
func (m *Machine) nextPeer() (string, bool) {
	z := m.tab.zone(m.cfg.Zone)
	for range 2 {
		for len(m.ringOrder) > 0 {
			name := m.ringOrder[0]
			m.ringOrder = m.ringOrder[1:]
			if _, ok := z.alive[name]; ok {
				return name, true
			}
		}
		m.ringOrder = m.randomPeers(len(z.alive), m.cfg.Name)
	}
	return "", false
}

// gossipSeed sends digests to a seed that is not a known member of the zone.
// With alone set, every seed will do.
func (m *Machine) gossipSeed(alone bool) {
	m.nextSeed = m.clock + SeedInterval
	known := m.knownAddrs()
	for range m.cfg.Seeds {
		addr := m.cfg.Seeds[m.seedTurn%len(m.cfg.Seeds)]
		m.seedTurn++
		if addr == m.cfg.Addr || known[addr] && !alone {
			continue
		}
		p := m.packet()
		m.addDigests(p)
		m.addRumors(p, "", nil)
		m.queue(p, nil, pending{kind: kindSeed, addr: addr})
		return
	}
}

// knownAddrs returns the addresses of the alive members of all zones.
func (m *Machine) knownAddrs() map[string]bool {
	known := map[string]bool{}
	for _, r := range m.tab.records {
		if !r.State.Gone() {
			known[r.Addr] = true
		}
	}
	return known
}

// acked handles that a message was answered.
func (m *Machine) acked(w *pending) {
	if w.probed != nil {
		w.probed.done = true
	}
}

// expirePending handles messages without an answer.
func (m *Machine) expirePending() {
	var late []uint64
	for id, w := range m.pending {
		if m.clock >= w.deadline {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		w := m.pending[id]
		delete(m.pending, id)
		m.unanswered(w)
	}
}

func (m *Machine) unanswered(w *pending) {
	switch w.kind {
	case kindGossip:
		if w.digests {
			m.nextSync = m.clock
		}
		m.probeIndirect(w.probed)
	case kindIndirect:
		switch {
		case w.to != w.probed.name: // the direct packet of the round decides
		case w.probed.rounds < indirectRounds:
			m.probeIndirect(w.probed)
		default:
			m.suspect(w.probed)
		}
	case kindUrgent:
		if w.try >= urgentTries {
			return
		}
		for _, to := range m.randomPeers(1, w.to, m.cfg.Name) {
			m.sendUrgent(w.names, to, w.try+1)
		}
	case kindZone:
		z := m.peerZone(w.zone)
		z.failed++
		if w.digests {
			z.nextSync = m.clock
		}
		if w.try < urgentTries {
			m.sendZone(w.zone, w.try+1, false)
		}
	case kindSync:
		m.nextSync = m.clock
	case kindReport:
		m.progress.sent = OffsetReport{} // the next Tick sends it again
	case kindHelp, kindSeed:
	}
}

// probeIndirect asks peers to probe one that didn't answer, and tries it again.
func (m *Machine) probeIndirect(pr *probed) {
	r, ok := m.tab.records[pr.name]
	if pr.done || !ok || r.State.Gone() {
		return
	}
	pr.rounds++
	m.send(pr.name, m.packet(), pending{kind: kindIndirect, probed: pr})
	helpers := m.randomPeers(IndirectProbes, pr.name, m.cfg.Name)
	for _, h := range helpers {
		req := &ProbeRequest{From: m.cfg.Name, Target: pr.name, Addr: r.Addr}
		w := pending{kind: kindIndirect, to: h, addr: m.tab.records[h].Addr, probed: pr}
		w.deadline = m.clock + 2*ProbeTimeout
		m.queue(nil, req, w)
	}
}

// suspect marks a peer that neither direct nor indirect probes reached, unless
// it made itself heard since.
func (m *Machine) suspect(pr *probed) {
	if pr.done {
		return
	}
	pr.done = true
	r, ok := m.tab.records[pr.name]
	if !ok || r.State != Alive || r.Incarnation != pr.incarnation || r.Version != pr.version {
		return
	}
	if r.heard > pr.at {
		return
	}
	m.mark(r, Suspect)
}

// StartProbe returns the packet by which this node probes a target for another one.
// The caller delivers it, hands an answer to Reply, and tells the other node by
// a ProbeReply whether one came within ProbeTimeout.
func (m *Machine) StartProbe(now time.Time, req ProbeRequest) Message {
	m.advance(now)
	p := m.packet()
	if r, ok := m.tab.records[req.Target]; ok && r.State != Alive {
		p.Entries = append(p.Entries, r.Entry)
	}
	m.nextID++
	m.pending[m.nextID] = &pending{kind: kindHelp, to: req.Target, addr: req.Addr, deadline: m.clock + ProbeTimeout}
	return Message{ID: m.nextID, To: req.Target, Addr: req.Addr, Packet: p}
}

// ReceiveProbeReply takes the answer to an indirect probe.
func (m *Machine) ReceiveProbeReply(now time.Time, id uint64, rep ProbeReply) {
	m.advance(now)
	w, ok := m.pending[id]
	if !ok || w.kind != kindIndirect {
		return
	}
	m.contact = m.clock
	if !rep.Reached {
		return // others may reach it; the time-out decides
	}
	delete(m.pending, id)
	m.acked(w)
}

// SetSeeds replaces the peer addresses to start from. Unknown ones are tried at
// the next tick.
func (m *Machine) SetSeeds(addrs []string) {
	m.cfg.Seeds = addrs
	m.nextSeed = m.clock
}
