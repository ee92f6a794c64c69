package member

import (
	"slices"
	"time"
)

// messageKind is the purpose of a message that waits for a reply.
type messageKind uint8

const (
	kindGossip       messageKind = iota // direct probe of a peer of the local zone
	kindIndirect                        // repeated direct probe, or request to another peer to probe
	kindRelayedProbe                    // probe on behalf of another node
	kindUrgent                          // urgent entries inside the zone
	kindZone                            // changed entries to another zone
	kindSync                            // step of a synchronisation
	kindSeed                            // packet to a seed
	kindOffsetReport                    // minimum offset, to the parent in the offset tree
)

// pendingMessage is a message that waits for a reply.
type pendingMessage struct {
	kind       messageKind
	to         string
	addr       string
	sentAt     time.Duration
	deadline   time.Duration
	probe      *activeProbe // kindGossip, kindIndirect
	names      []string     // kindUrgent: names of the entries
	try        int          // kindUrgent, kindZone: 1 for the first time
	zone       string       // kindZone
	coveredSeq uint64       // kindZone: table sequence number that the packet covers
	tableSeq   uint64       // kindZone: table sequence number when it was sent
	valueSeqs  valueSeqs    // kindZone: the zone values that the packet covers
	hasDigests bool         // the packet starts a synchronisation
	steps      int          // steps of the synchronisation so far
	truncated  bool         // kindSync: the list of bucket references is incomplete
	late       bool         // no reply came by the first deadline; one is still used by the second
}

// activeProbe is the state of a probe of a peer that has not been decided.
type activeProbe struct {
	name        string
	incarnation uint64
	version     uint64
	sentAt      time.Duration // machine time of the direct probe
	rounds      int           // rounds of indirect probes
	done        bool          // the peer replied, or all rounds failed
}

// send queues a packet to a known instance.
func (m *Machine) send(to string, p *Packet, pm pendingMessage) {
	r, ok := m.table.records[to]
	if !ok {
		return
	}
	if r.State != Alive && !containsEntry(p.Entries, r.Entry) {
		p.Entries = append(p.Entries, r.Entry) // lets the receiver refute
	}
	pm.to, pm.addr = to, r.Addr
	m.queue(p, nil, pm)
}

func (m *Machine) queue(p *Packet, probe *ProbeRequest, pm pendingMessage) {
	m.nextID++
	pm.sentAt = m.clock
	if pm.deadline == 0 {
		pm.deadline = m.clock + m.ReplyTimeout()
	}
	pm.hasDigests = p != nil && len(p.Digests) > 0
	m.pending[m.nextID] = &pm
	m.outbox = append(m.outbox, Message{ID: m.nextID, To: pm.to, Addr: pm.addr, Packet: p, Probe: probe})
}

// gossip sends a packet to the next peer of the local zone, or to a seed.
func (m *Machine) gossip() {
	peer, ok := m.nextPeer()
	if !ok || m.clock >= m.nextSeed {
		m.gossipToSeed(!ok)
	}
	if !ok {
		return
	}
	r := m.table.records[peer]
	p := m.packet()
	if m.clock >= m.nextSync || !m.joined && !m.syncing() {
		m.nextSync = m.clock + SyncInterval
		m.addDigests(p)
	}
	m.addRumors(p, peer, nil)
	probe := &activeProbe{name: peer, incarnation: r.Incarnation, version: r.Version, sentAt: m.clock}
	m.send(peer, p, pendingMessage{kind: kindGossip, probe: probe})
}

// nextPeer visits all peers of the zone in random order before it starts the
// next round, so that each is probed within a bounded time.
func (m *Machine) nextPeer() (string, bool) {
	z := m.table.ensureZone(m.cfg.Zone)
	for range 2 {
		for len(m.probeOrder) > 0 {
			name := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			if _, ok := z.alive[name]; ok {
				return name, true
			}
		}
		m.probeOrder = m.randomPeers(len(z.alive), m.cfg.Name)
	}
	return "", false
}

// gossipToSeed sends digests to a seed that is not a known member. With anySeed
// set, a known one is used as well.
func (m *Machine) gossipToSeed(anySeed bool) {
	m.nextSeed = m.clock + SeedInterval
	known := m.knownAddrs()
	for range m.cfg.Seeds {
		addr := m.cfg.Seeds[m.seedIndex%len(m.cfg.Seeds)]
		m.seedIndex++
		m.newSeeds = max(0, m.newSeeds-1)
		if addr == m.cfg.Addr || known[addr] && !anySeed {
			continue
		}
		p := m.packet()
		m.addDigests(p)
		m.addRumors(p, "", nil)
		m.queue(p, nil, pendingMessage{kind: kindSeed, addr: addr})
		if m.newSeeds > 0 {
			m.nextSeed = m.clock
		}
		return
	}
}

// knownAddrs returns the addresses of the alive and suspect members of all
// zones.
func (m *Machine) knownAddrs() map[string]bool {
	known := map[string]bool{}
	for _, r := range m.table.records {
		if !r.State.Gone() {
			known[r.Addr] = true
		}
	}
	return known
}

// markReplied ends the probe that a message belongs to, if any.
func (m *Machine) markReplied(pm *pendingMessage) {
	if pm.probe != nil {
		pm.probe.done = true
	}
}

// recordReplyTime records the reply to a direct probe.
func (m *Machine) recordReplyTime(pm *pendingMessage) {
	if pm.kind != kindGossip {
		return
	}
	m.replyTimes.add(m.clock - pm.sentAt)
	if !pm.late {
		m.helpedRounds = min(m.helpedRounds+1, maxHelpedRounds)
	}
}

// ReplyTimeout returns the time within which a reply is expected. It follows the
// replies of the peers in the zone, so that slow ones cause no further packets.
func (m *Machine) ReplyTimeout() time.Duration {
	return m.replyTimes.timeout()
}

// replyTimes estimates how long replies take, as TCP does (RFC 6298).
type replyTimes struct {
	mean, deviation time.Duration // smoothed; zero before the first reply
}

func (r *replyTimes) add(d time.Duration) {
	if *r == (replyTimes{}) {
		r.mean, r.deviation = d, d/2
		return
	}
	r.deviation += ((d - r.mean).Abs() - r.deviation) / 4
	r.mean += (d - r.mean) / 8
}

func (r *replyTimes) timeout() time.Duration {
	t := r.mean + max(TickInterval, 4*r.deviation)
	return min(max(ProbeTimeout, t), MaxProbeTimeout)
}

// expirePending handles messages that got no reply in time. A late reply is still used: where
// replies take longer than the timeout, no synchronisation would ever end otherwise.
func (m *Machine) expirePending() {
	var expired []uint64
	for id, pm := range m.pending {
		if m.clock >= pm.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		pm := m.pending[id]
		if pm.late {
			delete(m.pending, id)
			continue
		}
		pm.late, pm.deadline = true, m.clock+lateReplyTime
		m.handleTimeout(pm)
	}
}

func (m *Machine) handleTimeout(pm *pendingMessage) {
	switch pm.kind {
	case kindGossip:
		if pm.hasDigests {
			m.nextSync = m.clock
		}
		m.probeIndirect(pm.probe)
	case kindIndirect:
		switch {
		case pm.to != pm.probe.name: // the direct probe of the round decides
		case pm.probe.rounds < indirectRounds:
			m.probeIndirect(pm.probe)
		default:
			m.suspect(pm.probe)
		}
	case kindUrgent:
		if pm.try >= maxSendTries {
			return
		}
		for _, to := range m.randomPeers(1, pm.to, m.cfg.Name) {
			m.sendUrgent(pm.names, to, pm.try+1)
		}
	case kindZone:
		z := m.zoneExchange(pm.zone)
		z.failures++
		if pm.hasDigests {
			z.nextSync = m.clock
		}
		if pm.try < maxSendTries && z.failures < maxFailuresToRetry {
			m.sendToZone(pm.zone, pm.try+1, false)
		}
	case kindSync:
		m.nextSync = m.clock
	case kindOffsetReport:
		m.offsetTree.lastSent = OffsetReport{} // the next Tick sends it again
	case kindRelayedProbe, kindSeed:
	}
}

// probeIndirect probes a peer that didn't reply once more, and asks other peers
// to probe it. Where hardly any peer replies in time, the machines or the network
// are overloaded, and the packets of the others would add to that.
func (m *Machine) probeIndirect(pr *activeProbe) {
	r, ok := m.table.records[pr.name]
	if pr.done || !ok || r.State.Gone() {
		return
	}
	pr.rounds++
	m.send(pr.name, m.packet(), pendingMessage{kind: kindIndirect, probe: pr})
	if m.helpedRounds == 0 {
		return
	}
	m.helpedRounds--
	helpers := m.randomPeers(IndirectProbes, pr.name, m.cfg.Name)
	for _, h := range helpers {
		req := &ProbeRequest{From: m.cfg.Name, Target: pr.name, Addr: r.Addr}
		pm := pendingMessage{kind: kindIndirect, to: h, addr: m.table.records[h].Addr, probe: pr}
		pm.deadline = m.clock + 2*m.ReplyTimeout()
		m.queue(nil, req, pm)
	}
}

// suspect marks a peer as suspect that neither direct nor indirect probes
// reached, unless a packet of it arrived since.
func (m *Machine) suspect(pr *activeProbe) {
	if pr.done {
		return
	}
	pr.done = true
	r, ok := m.table.records[pr.name]
	if !ok || r.State != Alive || r.Incarnation != pr.incarnation || r.Version != pr.version {
		return
	}
	if r.lastHeard > pr.sentAt {
		return
	}
	m.setState(r, Suspect)
}

// StartProbe returns the packet that probes a target on behalf of another node.
// The caller sends it, passes a reply to ReceiveReply, and reports to the other
// node in a ProbeReply whether one came within ReplyTimeout.
func (m *Machine) StartProbe(now time.Time, req ProbeRequest) Message {
	m.advance(now)
	p := m.packet()
	if r, ok := m.table.records[req.Target]; ok && r.State != Alive {
		p.Entries = append(p.Entries, r.Entry)
	}
	m.nextID++
	m.pending[m.nextID] = &pendingMessage{kind: kindRelayedProbe, to: req.Target, addr: req.Addr, deadline: m.clock + m.ReplyTimeout()}
	return Message{ID: m.nextID, To: req.Target, Addr: req.Addr, Packet: p}
}

// ReceiveProbeReply handles the reply to a request for an indirect probe.
func (m *Machine) ReceiveProbeReply(now time.Time, id uint64, rep ProbeReply) {
	m.advance(now)
	pm, ok := m.pending[id]
	if !ok || pm.kind != kindIndirect {
		return
	}
	m.lastContact = m.clock
	if !rep.Reached {
		return // others may reach it; the timeout decides
	}
	delete(m.pending, id)
	m.markReplied(pm)
}

// SetSeeds replaces the seed addresses. Those that are not known members are tried with the
// next gossip packets, one each: one of them may know no other node, and so can't be found
// through any.
func (m *Machine) SetSeeds(addrs []string) {
	m.cfg.Seeds, m.newSeeds = addrs, len(addrs)
	m.nextSeed = m.clock
}
