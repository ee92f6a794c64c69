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
	tab        *table
	self       Entry
	superseded bool
	joined     bool
	retired    *facts // highest retired epoch of each zone
	offsets    *facts // lowest configuration offset of each zone

	now       time.Time     // time of the last call
	clock     time.Duration // sum of the time between calls, pauses left out
	suspClock time.Duration // as clock, but slower while the node is cut off
	contact   time.Duration // clock of the last packet from anybody

	nextGossip time.Duration
	nextSync   time.Duration
	nextSeed   time.Duration
	nextExpire time.Duration
	seedTurn   int
	ringOrder  []string // peers still to visit in this round
	rumors     map[string]*rumor
	peers      map[string]*peerZone // exchange with other zones, at a border instance
	zoneTurn   int
	borderSeq  uint64 // table sequence number before this became a border instance
	quiet      quietBudget
	progress   progress
	ahead      ahead

	nextID  uint64
	pending map[uint64]*pending
	out     []Message
}

// New returns a machine that knows the local instance only.
func New(cfg Config, now time.Time) *Machine {
	m := &Machine{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.RandSeed, cfg.Incarnation)),
		tab:      newTable(),
		rumors:   map[string]*rumor{},
		peers:    map[string]*peerZone{},
		pending:  map[uint64]*pending{},
		now:      now,
		quiet:    quietBudget{tokens: quietBurst},
		retired:  newFacts(),
		offsets:  newFacts(),
		progress: progress{reports: map[string]OffsetReport{}},
	}
	m.self = Entry{Name: cfg.Name, Incarnation: cfg.Incarnation, Version: 1, Addr: cfg.Addr, Zone: cfg.Zone}
	m.tab.put(m.self)
	m.spread(cfg.Name, "")
	// A random phase keeps nodes that start together from sending together.
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
	m.flushQuiet()
	m.progressed()
	if m.clock >= m.nextGossip {
		m.nextGossip = max(m.nextGossip+GossipInterval, m.clock+GossipInterval/2)
		m.gossip()
		m.gossipZones()
	}
	return m.take()
}

// advance moves the machine's time. A gap above pauseGap means that the process
// was paused: what it waited for meanwhile says nothing about its peers.
func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.now)
	if gap <= 0 {
		return
	}
	m.now = now
	if gap >= pauseGap {
		m.resume()
		return
	}
	m.clock += gap
	if m.clock-m.contact > isolatedAfter {
		gap /= isolatedFactor
	}
	m.suspClock += gap
}

func (m *Machine) resume() {
	clear(m.pending)
	m.contact = m.clock
	m.nextSync = m.clock
	for _, r := range m.tab.suspects {
		r.deadline = m.suspClock + SuspicionTimeout
	}
}

// Announce sets the target of the local instance; nil withdraws it. A change to
// draining is urgent. A change of the load hint alone is spread rarely.
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
		m.quiet.dirty = true
		m.flushQuiet()
		return m.take()
	}
	was := m.self.draining()
	m.self.Target = t
	m.publish()
	if !was && m.self.draining() {
		m.urgent([]string{m.cfg.Name}, "")
	}
	return m.take()
}

// SetProgress sets the next configuration offset and the adopted zone epoch of
// the local instance. Every packet carries them, and some peers are told a new
// offset at once; the entry of the instance follows at a bounded rate.
func (m *Machine) SetProgress(now time.Time, offset, epoch uint64) []Message {
	m.advance(now)
	if m.self.Offset == offset && m.self.Epoch == epoch {
		return nil
	}
	news := offset > m.self.Offset && m.self.Offset > 0
	m.self.Offset, m.self.Epoch = offset, epoch
	m.quiet.dirty = true
	if news {
		m.tellOffset()
	}
	m.flushQuiet()
	m.progressed()
	return m.take()
}

// AnnounceRetired records that all epochs of a zone up to and including one are retired.
// The fact spreads to all nodes.
func (m *Machine) AnnounceRetired(zone string, through uint64) {
	m.retired.merge(map[string]uint64{zone: through}, m.rumorLimit())
}

// Leave announces that the local instance leaves. It is urgent.
func (m *Machine) Leave(now time.Time) []Message {
	m.advance(now)
	if m.self.State == Left {
		return nil
	}
	m.self.State = Left
	m.publish()
	m.urgent([]string{m.cfg.Name}, "")
	return m.take()
}

// publish makes the local entry known with a new version.
func (m *Machine) publish() {
	m.self.Version++
	m.quiet.dirty = false
	m.tab.put(m.self)
	m.spread(m.cfg.Name, "")
}

// quietBudget bounds the spread changes that nobody waits for.
type quietBudget struct {
	tokens float64
	last   time.Duration
	dirty  bool
	due    time.Duration // in a large fleet: when the entry may change; 0 if not set
}

// flushQuiet spreads the load hint, offset and epoch of the local instance. A
// small fleet spreads a few changes at once. In a large one every instance
// changes with the configuration, so each waits a random time.
func (m *Machine) flushQuiet() {
	q := &m.quiet
	n := len(m.tab.records)
	every := quietPerNode * time.Duration(n)
	if n > quietSmall {
		every = quietLarge * time.Duration(n)
	}
	q.tokens = min(quietBurst, q.tokens+float64(m.clock-q.last)/float64(every))
	q.last = m.clock
	switch {
	case !q.dirty || m.self.State == Left:
		return
	case n > quietSmall && q.due == 0:
		q.due = m.clock + time.Duration(m.rng.Int64N(2*int64(every))) + 1
		return
	case n > quietSmall && m.clock < q.due || n <= quietSmall && q.tokens < 1:
		return
	}
	q.tokens = max(0, q.tokens-1)
	q.due = 0
	m.publish()
}

// packet returns a packet of the local instance without content.
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

// Receive takes a packet of another node. It returns the answer and messages
// for other nodes that should be sent at once.
func (m *Machine) Receive(now time.Time, p Packet) (Packet, []Message) {
	m.advance(now)
	m.mergePacket(p)
	m.takeReport(p)
	reply := m.packet()
	m.answerSync(reply, p)
	m.tellSender(reply, p)
	if !reply.Sync {
		m.addRumors(reply, p.From, p.Entries)
	}
	return *reply, m.take()
}

// ReceiveReply takes the answer to a packet. The caller need not report that a packet
// failed; its time-out does.
func (m *Machine) ReceiveReply(now time.Time, id uint64, p Packet) []Message {
	m.advance(now)
	w, ok := m.pending[id]
	if !ok {
		m.mergePacket(p)
		return m.take()
	}
	delete(m.pending, id)
	m.acked(w)
	if w.kind == kindZone {
		m.zoneAnswered(w, p)
	}
	m.mergePacket(p)
	m.continueSync(w, p)
	return m.take()
}

// mergePacket takes over what a packet says.
func (m *Machine) mergePacket(p Packet) {
	if p.From == m.cfg.Name && p.Incarnation == m.cfg.Incarnation {
		return // a seed address that is our own
	}
	m.contact = m.clock
	m.retired.merge(p.Retired, m.rumorLimit())
	m.offsets.merge(p.Offsets, m.rumorLimit())
	var urgent []string
	for _, e := range p.Entries {
		if m.merge(e, p) {
			urgent = append(urgent, e.Name)
		}
	}
	m.hear(p)
	if len(urgent) > 0 {
		m.urgent(urgent, p.From)
	}
}

// hear notes that the sender and the zones that it heard of are up.
func (m *Machine) hear(p Packet) {
	m.heardZone(p.Zone, 0)
	for _, d := range p.Digests {
		m.heardZone(d.Zone, time.Duration(d.AgeMS)*time.Millisecond)
	}
	if p.Offset > max(m.self.Offset, m.ahead.offset) {
		m.ahead = ahead{offset: p.Offset, addr: p.Addr}
	}
	r, ok := m.tab.records[p.From]
	if ok && r.Incarnation == p.Incarnation {
		r.direct = max(r.direct, p.Offset)
		r.heard = m.clock
	}
}

func (m *Machine) heardZone(zone string, age time.Duration) {
	if zone == "" || age < 0 || zone == m.cfg.Zone {
		return
	}
	z, ok := m.tab.zones[zone]
	if !ok {
		return
	}
	if at := m.now.Add(-age); at.After(z.heard) {
		z.heard = at
		z.heardAt = m.clock - age
	}
}

// merge takes over an entry of a packet if it is newer. It reports whether the
// entry is urgent news.
func (m *Machine) merge(e Entry, p Packet) bool {
	if !e.valid() {
		return false
	}
	if e.Name == m.cfg.Name {
		m.mergeSelf(e)
		return false
	}
	old, known := m.tab.records[e.Name]
	if !known && e.State.Gone() {
		return false
	}
	if known {
		order := Compare(e, old.Entry)
		if order == 0 {
			m.heardAgain(e.Name)
		}
		if order <= 0 {
			return false
		}
	}
	m.store(e)
	if !p.Sync || p.Zone != m.cfg.Zone && m.joined {
		m.spread(e.Name, p.From)
	}
	return known && !p.Sync && e.draining() && !old.draining() && !old.State.Gone()
}

// store puts an entry of another instance and starts its timers.
func (m *Machine) store(e Entry) {
	if z := m.tab.zone(e.Zone); len(z.alive) == 0 {
		z.heardAt = m.clock
	}
	r := m.tab.put(e)
	switch {
	case r.State.Gone():
		r.deadline = m.clock + GoneRetention
	case r.State == Suspect:
		r.deadline = m.suspClock + SuspicionTimeout
	}
}

// mergeSelf refutes what others say of the local instance.
func (m *Machine) mergeSelf(e Entry) {
	switch {
	case e.Incarnation > m.cfg.Incarnation:
		m.superseded = true
	case e.Incarnation < m.cfg.Incarnation:
		m.spread(m.cfg.Name, "")
	case Compare(e, m.self) > 0:
		m.self.Version = e.Version
		m.publish()
	}
}

// expireSuspects declares the members of the own zone dead that didn't refute.
func (m *Machine) expireSuspects() {
	for _, name := range sortedNames(m.tab.suspects) {
		r := m.tab.suspects[name]
		if r.Zone != m.cfg.Zone || m.suspClock < r.deadline {
			continue
		}
		m.mark(r, Dead)
	}
}

// mark changes the state of another instance of the own zone.
func (m *Machine) mark(r *record, s State) {
	e := r.Entry
	e.State = s
	m.store(e)
	m.spread(e.Name, "")
}

// expireEvery is how often old entries are looked for.
const expireEvery = time.Second

// expireGone drops entries that were gone for long and silent zones.
func (m *Machine) expireGone() {
	if m.clock < m.nextExpire {
		return
	}
	m.nextExpire = m.clock + expireEvery
	for _, name := range sortedNames(m.tab.gone) {
		r := m.tab.gone[name]
		if m.clock >= r.deadline && name != m.cfg.Name {
			m.tab.drop(r)
		}
	}
	for _, zone := range m.tab.zoneNames() {
		z := m.tab.zones[zone]
		if zone == m.cfg.Zone || m.clock-z.heardAt < ZoneRetention {
			continue
		}
		for _, name := range sortedNames(z.alive) {
			m.tab.drop(z.alive[name])
		}
	}
}

// take returns the messages that were queued.
func (m *Machine) take() []Message {
	out := m.out
	m.out = nil
	return out
}

func sortedNames[T any](set map[string]T) []string {
	if len(set) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(set))
}
