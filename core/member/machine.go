package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Machine is the gossip state of one node. It is not safe for concurrent use.
type Machine struct {
	cfg        Config
	rng        *rand.Rand
	table      *table
	self       Entry
	superseded bool
	joined     bool
	heardPeer  bool        // a packet of another node has arrived
	former     *Target     // of an earlier process of this instance, if its upstream was leaving
	retired    *zoneValues // highest retired epoch of each zone
	offsets    *zoneValues // minimum configuration offset of each zone

	now            time.Time     // time of the last call
	clock          time.Duration // machine time: sum of the time between calls, without pauses
	suspicionClock time.Duration // as clock, but slower while the node is isolated
	lastContact    time.Duration // machine time of the last packet from any node

	nextGossip   time.Duration
	nextSync     time.Duration
	nextSeed     time.Duration
	nextExpire   time.Duration
	seedIndex    int
	newSeeds     int      // seeds that were not tried since SetSeeds
	probeOrder   []string // peers still to be probed in this round
	rumors       map[string]*rumor
	exchanges    map[string]*zoneExchange // by zone; used only while this is a border instance
	zoneIndex    int
	borderSeq    uint64 // table sequence number just before this became a border instance
	deferred     deferredBudget
	offsetTree   offsetTree
	newestConfig configPeer

	replyTimes   replyTimes
	helpedRounds int // rounds of indirect probes that may ask other peers

	nextID  uint64
	pending map[uint64]*pendingMessage
	outbox  []Message
}

// New returns a machine that knows only the local instance.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.RandSeed, cfg.Incarnation)),
		table:      newTable(),
		rumors:     map[string]*rumor{},
		exchanges:  map[string]*zoneExchange{},
		pending:    map[uint64]*pendingMessage{},
		now:        now,
		deferred:   deferredBudget{tokens: deferredBurst},
		retired:    newZoneValues(),
		offsets:    newZoneValues(),
		offsetTree: offsetTree{reports: map[string]OffsetReport{}},

		helpedRounds: maxHelpedRounds,
	}
	m.self = Entry{Name: cfg.Name, Incarnation: cfg.Incarnation, Version: 1, Addr: cfg.Addr, Zone: cfg.Zone}
	m.table.put(m.self)
	m.spreadEntry(cfg.Name, "")
	// A random phase keeps nodes that start together from sending at the same
	// time.
	m.nextGossip = time.Duration(m.rng.Int64N(int64(GossipInterval)))
	return m
}

// Self returns the entry of the local instance.
func (m *Machine) Self() Entry {
	return m.self
}

// Tick returns the messages that are due.
func (m *Machine) Tick(now time.Time) []Message {
	m.advance(now)
	m.expirePending()
	m.expireSuspects()
	m.expireGone()
	m.flushDeferred()
	m.reportOffset()
	if m.clock >= m.nextGossip {
		m.nextGossip = max(m.nextGossip+GossipInterval, m.clock+GossipInterval/2)
		m.gossip()
		m.gossipToZones()
	}
	return m.takeMessages()
}

// advance updates the machine time. A gap of at least pauseThreshold means that
// the process was paused. Timers that expired meanwhile say nothing about its
// peers.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap >= pauseThreshold {
		m.resume()
		return
	}
	m.clock += gap
	if m.clock-m.lastContact > isolatedAfter {
		gap /= isolatedSlowdown
	}
	m.suspicionClock += gap
}

func (m *Machine) resume() {
	clear(m.pending)
	m.lastContact = m.clock
	m.nextSync = m.clock
	for _, r := range m.table.suspects {
		r.deadline = m.suspicionClock + SuspicionTimeout
	}
}

// Announce sets the target of the local instance; nil withdraws it. A change to
// draining is urgent. A change of the load hint alone is spread at a limited
// rate.
func (m *Machine) Announce(now time.Time, t *Target) []Message {
	m.advance(now)
	if t != nil {
		c := *t
		c.Labels = maps.Clone(t.Labels)
		t = &c
	}
	if sameTarget(m.self.Target, t) {
		return nil
	}
	if onlyLoadDiffers(m.self.Target, t) {
		m.self.Target = t
		m.deferred.dirty = true
		m.flushDeferred()
		return m.takeMessages()
	}
	wasDraining := m.self.draining()
	m.self.Target = t
	m.publish()
	if !wasDraining && m.self.draining() {
		m.spreadUrgent([]string{m.cfg.Name}, "")
	}
	return m.takeMessages()
}

// SetProgress sets the next configuration offset and the adopted zone epoch of
// the local instance. Every packet carries them, and a greater offset is sent
// to some peers at once. The entry of the instance is updated at a limited
// rate.
func (m *Machine) SetProgress(now time.Time, offset, epoch uint64) []Message {
	m.advance(now)
	if m.self.Offset == offset && m.self.Epoch == epoch {
		return nil
	}
	increased := offset > m.self.Offset && m.self.Offset > 0
	m.self.Offset, m.self.Epoch = offset, epoch
	m.deferred.dirty = true
	if increased {
		m.sendOffset()
	}
	m.flushDeferred()
	m.reportOffset()
	return m.takeMessages()
}

// AnnounceRetired records that all epochs of a zone up to and including through
// are retired, and spreads that to all nodes.
func (m *Machine) AnnounceRetired(zone string, through uint64) {
	m.retired.merge(map[string]uint64{zone: through}, m.rumorLimit())
}

// Leave announces that the local instance leaves the fleet. The announcement is
// urgent.
func (m *Machine) Leave(now time.Time) []Message {
	m.advance(now)
	if m.self.State == Left {
		return nil
	}
	m.self.State = Left
	m.publish()
	m.spreadUrgent([]string{m.cfg.Name}, "")
	return m.takeMessages()
}

// publish raises the version of the local entry and starts to spread it.
func (m *Machine) publish() {
	m.self.Version++
	m.deferred.dirty = false
	m.table.put(m.self)
	m.spreadEntry(m.cfg.Name, "")
}

// deferredBudget limits the rate of changes to the local entry that no peer
// depends on soon.
type deferredBudget struct {
	tokens     float64
	lastRefill time.Duration
	dirty      bool
	due        time.Duration // in a large fleet: when the entry may change; 0 if not set
}

// flushDeferred spreads the load hint, offset and epoch of the local instance
// if the budget permits. A small fleet permits a burst of changes. In a large
// fleet every instance changes with each configuration, so each waits for a
// random time.
func (m *Machine) flushDeferred() {
	d := &m.deferred
	n := len(m.table.records)
	every := deferredPerNode * time.Duration(n)
	if n > smallFleet {
		every = deferredPerNodeLarge * time.Duration(n)
	}
	d.tokens = min(deferredBurst, d.tokens+float64(m.clock-d.lastRefill)/float64(every))
	d.lastRefill = m.clock
	switch {
	case !d.dirty || m.self.State == Left:
		return
	case n > smallFleet && d.due == 0:
		d.due = m.clock + time.Duration(m.rng.Int64N(2*int64(every))) + 1
		return
	case n > smallFleet && m.clock < d.due || n <= smallFleet && d.tokens < 1:
		return
	}
	d.tokens = max(0, d.tokens-1)
	d.due = 0
	m.publish()
}

// packet returns a packet that carries only the header of the local instance.
func (m *Machine) packet() *Packet {
	return &Packet{
		From:        m.cfg.Name,
		Incarnation: m.cfg.Incarnation,
		Addr:        m.cfg.Addr,
		Zone:        m.cfg.Zone,
		Offset:      m.self.Offset,
		Epoch:       m.self.Epoch,
	}
}

// Receive handles a packet from another node. It returns the reply and messages
// that should be sent to other nodes at once.
func (m *Machine) Receive(now time.Time, p Packet) (Packet, []Message) {
	m.advance(now)
	former, restarted := m.formerLeavingEntry(p)
	m.mergePacket(p)
	m.handleReport(p)
	reply := m.packet()
	if restarted {
		reply.Entries = append(reply.Entries, former)
	}
	m.replyToSync(reply, p)
	m.addSenderState(reply, p)
	if !reply.Sync {
		m.addRumors(reply, p.From, p.Entries)
	}
	return *reply, m.takeMessages()
}

// formerLeavingEntry returns the entry of an earlier process of the sender if the upstream
// beside it was leaving then, which the new process may not know.
func (m *Machine) formerLeavingEntry(p Packet) (Entry, bool) {
	r, ok := m.table.records[p.From]
	if !ok || r.Incarnation >= p.Incarnation || r.Target == nil || r.Target.LeavingID == "" {
		return Entry{}, false
	}
	return r.Entry, true
}

// HeardPeer reports whether a packet of another node has arrived.
func (m *Machine) HeardPeer() bool {
	return m.heardPeer
}

// FormerTarget returns the target that an earlier process of this instance announced, if its
// upstream was leaving, or nil.
func (m *Machine) FormerTarget() *Target {
	return m.former
}

// ReceiveReply handles the reply to a packet. The caller need not report that a
// packet failed: the machine detects it by a timeout.
func (m *Machine) ReceiveReply(now time.Time, id uint64, p Packet) []Message {
	m.advance(now)
	pm, ok := m.pending[id]
	if !ok {
		m.mergePacket(p)
		return m.takeMessages()
	}
	delete(m.pending, id)
	m.markReplied(pm)
	m.recordReplyTime(pm)
	if pm.kind == kindZone {
		m.handleZoneReply(pm, p)
	}
	m.mergePacket(p)
	m.continueSync(pm, p)
	return m.takeMessages()
}

// mergePacket merges the contents of a packet into the local state.
func (m *Machine) mergePacket(p Packet) {
	if p.From == m.cfg.Name && p.Incarnation == m.cfg.Incarnation {
		return // one of the seed addresses is our own
	}
	m.lastContact, m.heardPeer = m.clock, true
	m.retired.merge(p.Retired, m.rumorLimit())
	m.offsets.merge(p.Offsets, m.rumorLimit())
	var urgent []string
	for _, e := range p.Entries {
		if m.merge(e, p) {
			urgent = append(urgent, e.Name)
		}
	}
	m.recordContact(p)
	if len(urgent) > 0 {
		m.spreadUrgent(urgent, p.From)
	}
}

// recordContact records that the sender is up, the time of the last contact
// with the zones in its digests, and whether its configuration is the newest
// one seen.
func (m *Machine) recordContact(p Packet) {
	m.recordZoneContact(p.Zone, 0)
	for _, d := range p.Digests {
		m.recordZoneContact(d.Zone, time.Duration(d.AgeMS)*time.Millisecond)
	}
	if p.Offset > max(m.self.Offset, m.newestConfig.offset) && Dialable(p.Addr) {
		m.newestConfig = configPeer{offset: p.Offset, addr: p.Addr}
	}
	r, ok := m.table.records[p.From]
	if ok && r.Incarnation == p.Incarnation {
		r.directOffset = max(r.directOffset, p.Offset)
		r.lastHeard = m.clock
	}
}

func (m *Machine) recordZoneContact(zone string, age time.Duration) {
	if zone == "" || age < 0 || zone == m.cfg.Zone {
		return
	}
	z, ok := m.table.zones[zone]
	if !ok {
		return
	}
	if at := m.now.Add(-age); at.After(z.lastHeard) {
		z.lastHeard = at
		z.lastHeardClock = m.clock - age
	}
}

// merge adopts an entry of a packet if it is newer. It reports whether the
// entry must be spread urgently.
func (m *Machine) merge(e Entry, p Packet) bool {
	if !e.valid() {
		return false
	}
	if e.Name == m.cfg.Name {
		m.mergeSelf(e)
		return false
	}
	old, known := m.table.records[e.Name]
	if !known && e.State.Gone() {
		return false
	}
	if known {
		order := Compare(e, old.Entry)
		if order == 0 {
			m.countDuplicate(e.Name)
		}
		if order <= 0 {
			return false
		}
	}
	m.store(e)
	if !p.Sync || p.Zone != m.cfg.Zone && m.joined {
		m.spreadEntry(e.Name, p.From)
	}
	return known && !p.Sync && e.draining() && !old.draining() && !old.State.Gone()
}

// store puts an entry of another instance into the table and starts its timers.
func (m *Machine) store(e Entry) {
	if z := m.table.ensureZone(e.Zone); len(z.alive) == 0 {
		z.lastHeardClock = m.clock
	}
	r := m.table.put(e)
	switch {
	case r.State.Gone():
		r.deadline = m.clock + GoneRetention
	case r.State == Suspect:
		r.deadline = m.suspicionClock + SuspicionTimeout
	}
}

// mergeSelf refutes entries of other nodes that contradict the local instance.
func (m *Machine) mergeSelf(e Entry) {
	switch {
	case e.Incarnation > m.cfg.Incarnation:
		m.superseded = true
	case e.Incarnation < m.cfg.Incarnation:
		if e.Target != nil && e.Target.LeavingID != "" {
			m.former = e.Target
		}
		m.spreadEntry(m.cfg.Name, "")
	case Compare(e, m.self) > 0:
		m.self.Version = e.Version
		m.publish()
	}
}

// expireSuspects declares members of the local zone dead that didn't refute
// their suspicion in time.
func (m *Machine) expireSuspects() {
	for _, name := range sortedNames(m.table.suspects) {
		r := m.table.suspects[name]
		if r.Zone != m.cfg.Zone || m.suspicionClock < r.deadline {
			continue
		}
		m.setState(r, Dead)
	}
}

// setState changes the state of another instance of the local zone.
func (m *Machine) setState(r *record, s State) {
	e := r.Entry
	e.State = s
	m.store(e)
	m.spreadEntry(e.Name, "")
}

// expireInterval is how often the table is searched for expired entries.
const expireInterval = time.Second

// expireGone evicts gone entries after GoneRetention and the entries of zones
// that were unreachable for ZoneRetention.
func (m *Machine) expireGone() {
	if m.clock < m.nextExpire {
		return
	}
	m.nextExpire = m.clock + expireInterval
	for _, name := range sortedNames(m.table.gone) {
		r := m.table.gone[name]
		if m.clock >= r.deadline && name != m.cfg.Name {
			m.table.drop(r)
		}
	}
	for _, zone := range m.table.zoneNames() {
		z := m.table.zones[zone]
		if zone == m.cfg.Zone || m.clock-z.lastHeardClock < ZoneRetention {
			continue
		}
		for _, name := range sortedNames(z.alive) {
			m.table.drop(z.alive[name])
		}
	}
}

// takeMessages returns the queued messages and clears the queue.
func (m *Machine) takeMessages() []Message {
	out := m.outbox
	m.outbox = nil
	return out
}

func sortedNames[T any](set map[string]T) []string {
	if len(set) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(set))
}
