package agent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
)

// exchangeTimeout is the timeout of one gossip exchange.
const exchangeTimeout = time.Second

// fleet connects the gossip state machine, which tracks the nodes of the fleet, to
// the network. It is safe for concurrent use.
type fleet struct {
	agent       *Agent
	newerConfig chan struct{} // signals that another node has a newer configuration

	mu      sync.Mutex
	machine *member.Machine
	cache   map[string]candidates

	formerTarget *member.Target // the last one that was passed to the local target
}

// candidates is the list of a service's targets in one generation of the gossip
// state.
type candidates struct {
	gen  uint64
	evac uint64 // number of the state of evacuated zones
	list []relay.Candidate
}

func newFleet(a *Agent) *fleet {
	cfg := member.Config{
		Name:        a.cfg.Instance.Name,
		Incarnation: a.incarnation,
		Addr:        a.advertisedAddr(),
		Zone:        a.cfg.Instance.Zone,
		Seeds:       a.cfg.Peers.Seeds,
		RandSeed:    a.incarnation,
	}
	return &fleet{agent: a, newerConfig: make(chan struct{}, 1), machine: member.New(cfg, time.Now()), cache: map[string]candidates{}}
}

// advertisedAddr returns the address at which other nodes dial this one.
func (a *Agent) advertisedAddr() string {
	if a.cfg.Listen.AdvertisePeers != "" {
		return a.cfg.Listen.AdvertisePeers
	}
	return a.listeners.peers.Addr().String()
}

// gossip is the background task that advances the state machine and sends its
// messages.
func (f *fleet) gossip(ctx context.Context) error {
	return super.Every(ctx, member.TickInterval, func(now time.Time) {
		f.announce(now)
		f.update(ctx, func() []member.Message { return f.machine.Tick(now) })
	})
}

// announce updates the local target, the configuration offset and the epoch in the
// state machine.
func (f *fleet) announce(now time.Time) {
	var t *member.Target
	if up, ok := f.agent.target.Upstream(now); ok {
		t = &member.Target{Service: up.Service, Labels: up.Labels, Slots: up.Slots, State: targetState(up.State)}
		if p, leaving := f.agent.target.LeavingProcess(); leaving {
			t.LeavingID, t.LeavingStartedMS = p.ID, p.StartedMS
		}
	}
	// These are read before f.mu is locked: zones holds its own lock when it
	// calls the fleet, so the reverse order could deadlock.
	offset, epoch := f.agent.store.Offset(), f.agent.zones.Adopted()
	f.update(context.Background(), func() []member.Message {
		out := f.machine.Announce(now, t)
		return append(out, f.machine.SetProgress(now, offset, epoch)...)
	})
}

// announceNow sends the state of the local target to other nodes without waiting
// for the next tick.
func (a *Agent) announceNow() {
	a.fleet.announce(time.Now())
}

func targetState(s relay.State) member.TargetState {
	switch s {
	case relay.Cold:
		return member.Cold
	case relay.Draining:
		return member.Draining
	default:
		return member.Ready
	}
}

func relayState(s member.TargetState) relay.State {
	switch s {
	case member.Cold:
		return relay.Cold
	case member.Draining:
		return relay.Draining
	default:
		return relay.Ready
	}
}

// update applies a change to the state machine and sends the resulting messages.
func (f *fleet) update(ctx context.Context, change func() []member.Message) {
	f.mu.Lock()
	sends := change()
	_, ahead := f.machine.NewerConfigPeer()
	former := f.machine.FormerTarget()
	isNews := former != f.formerTarget
	f.formerTarget = former
	f.mu.Unlock()
	if isNews {
		f.agent.target.AdoptLeaving(relay.Process{ID: former.LeavingID, StartedMS: former.LeavingStartedMS}, time.Now())
	}
	if ahead {
		select {
		case f.newerConfig <- struct{}{}:
		default:
		}
	}
	for _, s := range sends {
		super.Go("gossip exchange", f.agent.onPanic, func() { f.deliver(ctx, s) })
	}
}

// newerConfigAddr returns the address of a node that has a newer configuration, or
// false if none is known.
func (f *fleet) newerConfigAddr() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.NewerConfigPeer()
}

// knowsNewestConfig reports whether another node has been heard and no node is known to have
// a newer configuration.
func (f *fleet) knowsNewestConfig() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, newer := f.machine.NewerConfigPeer()
	return f.machine.HeardPeer() && !newer
}

func (f *fleet) deliver(ctx context.Context, s member.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	session, err := f.agent.links.Session(ctx, s.Addr)
	if err != nil {
		return // the state machine detects the missing reply by its timeout
	}
	if s.Probe != nil {
		reply, err := frame.Call[member.ProbeRequest, member.ProbeReply](ctx, session, relay.KindProbe, *s.Probe)
		if err == nil {
			f.withLock(func() { f.machine.ReceiveProbeReply(time.Now(), s.ID, reply) })
		}
		return
	}
	f.countPacket(s.Packet)
	reply, err := frame.Call[member.Packet, member.Packet](ctx, session, relay.KindGossip, *s.Packet)
	if err == nil {
		f.update(context.WithoutCancel(ctx), func() []member.Message { return f.machine.ReceiveReply(time.Now(), s.ID, reply) })
	}
}

// countPacket counts a sent packet and its size. The packet is encoded a second
// time for this, which costs little as a node sends only a few packets per second.
func (f *fleet) countPacket(p *member.Packet) {
	f.agent.metrics.Add(metric.GossipPackets, 1)
	if data, err := msgpack.Marshal(p); err == nil {
		f.agent.metrics.Add(metric.GossipBytes, int64(len(data)))
	}
}

func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// handlePacket handles a packet of another node and returns the reply.
func (f *fleet) handlePacket(_ context.Context, p member.Packet) (member.Packet, error) {
	var reply member.Packet
	f.update(context.Background(), func() []member.Message {
		var out []member.Message
		reply, out = f.machine.Receive(time.Now(), p)
		return out
	})
	return reply, nil
}

// probe checks on behalf of another node whether a third one is reachable.
func (f *fleet) probe(ctx context.Context, req member.ProbeRequest) (member.ProbeReply, error) {
	var send member.Message
	var timeout time.Duration
	f.withLock(func() { send, timeout = f.machine.StartProbe(time.Now(), req), f.machine.ReplyTimeout() })
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	session, err := f.agent.links.Session(ctx, send.Addr)
	if err != nil {
		return member.ProbeReply{Target: req.Target}, nil
	}
	reply, err := frame.Call[member.Packet, member.Packet](ctx, session, relay.KindGossip, *send.Packet)
	if err != nil || reply.From != req.Target {
		return member.ProbeReply{Target: req.Target}, nil
	}
	f.update(context.Background(), func() []member.Message { return f.machine.ReceiveReply(time.Now(), send.ID, reply) })
	return member.ProbeReply{Target: req.Target, Reached: true}, nil
}

// leave tells other nodes that this one shuts down.
func (f *fleet) leave(ctx context.Context) {
	f.mu.Lock()
	sends := f.machine.Leave(time.Now())
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sends {
		wg.Go(func() {
			err := super.Guard("leave message", func() error {
				f.deliver(ctx, s)
				return nil
			})
			if err != nil {
				f.agent.onPanic(err)
			}
		})
	}
	wg.Wait()
}

// Candidates implements relay.Directory. The targets of an evacuated zone count as draining.
func (f *fleet) Candidates(service string) ([]relay.Candidate, uint64) {
	zones, evacuation := f.agent.store.Evacuation()
	f.mu.Lock()
	defer f.mu.Unlock()
	gen := f.machine.ServiceGeneration(service)
	if c, ok := f.cache[service]; ok && c.gen == gen && c.evac == evacuation {
		return c.list, joinGenerations(gen, evacuation)
	}
	var list []relay.Candidate
	for _, e := range f.machine.Targets(service) {
		list = append(list, relay.Candidate{
			ID:          fmt.Sprintf("%s#%d", e.Name, e.Incarnation),
			Instance:    e.Name,
			Incarnation: e.Incarnation,
			Addr:        e.Addr,
			Zone:        e.Zone,
			Slots:       e.Target.Slots,
			State:       stateInZone(relayState(e.Target.State), zones.Evacuated(e.Zone)),
			Leaving:     relay.Process{ID: e.Target.LeavingID, StartedMS: e.Target.LeavingStartedMS},
		})
	}
	f.cache[service] = candidates{gen: gen, evac: evacuation, list: list}
	return list, joinGenerations(gen, evacuation)
}

// stateInZone returns the state in which calling nodes see a target.
func stateInZone(s relay.State, evacuated bool) relay.State {
	if evacuated {
		return relay.Draining
	}
	return s
}

// joinGenerations returns a number that changes if one of the two does. Evacuations are rare, so the
// lower bits of their number suffice.
func joinGenerations(gen, evacuation uint64) uint64 {
	return gen<<16 | evacuation&0xffff
}

// memberReports returns the status of the alive nodes that this one knows, itself
// included.
func (f *fleet) memberReports() []report.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []report.Member
	for _, name := range f.aliveNames() {
		if e, ok := f.machine.Lookup(name); ok {
			out = append(out, memberReport(e))
		}
	}
	return out
}

func memberReport(e member.Entry) report.Member {
	m := report.Member{
		Instance: e.Name, Zone: e.Zone, Addr: e.Addr, Incarnation: e.Incarnation, State: e.State.String(),
		ConfigOffset: e.Offset, Epoch: e.Epoch,
	}
	if e.Target != nil {
		m.Service = e.Target.Service
		m.TargetState = e.Target.State.String()
	}
	return m
}

// Members implements zones.Peers.
func (f *fleet) Members(zone string) []member.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []member.Entry
	for _, name := range f.machine.Alive(zone) {
		if e, ok := f.machine.Lookup(name); ok {
			out = append(out, e)
		}
	}
	return out
}

// AnnounceRetired implements zones.Peers.
func (f *fleet) AnnounceRetired(zone string, through uint64) {
	f.withLock(func() { f.machine.AnnounceRetired(zone, through) })
}

// Retired implements zones.Peers.
func (f *fleet) Retired() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Retired()
}

// Confirm implements zones.Peers.
func (f *fleet) Confirm(ctx context.Context, addr string, req epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
	return callPeer[epoch.ConfirmRequest, epoch.ConfirmReply](ctx, f.agent.links, addr, relay.KindConfirm, req)
}

// alive returns the names of the alive instances of a zone.
func (f *fleet) alive(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Alive(zone)
}

// aliveNames returns the names of the alive instances of all zones. The caller
// holds mu.
func (f *fleet) aliveNames() []string {
	var names []string
	for _, zone := range f.machine.Zones() {
		names = append(names, f.machine.Alive(zone)...)
	}
	return names
}

// peerAddr returns the address of another alive node, chosen round-robin by turn.
func (f *fleet) peerAddr(turn int) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, name := range f.aliveNames() {
		if e, ok := f.machine.Lookup(name); ok && name != f.agent.cfg.Instance.Name {
			addrs = append(addrs, e.Addr)
		}
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[turn%len(addrs)], true
}

// addr returns the address of a node.
func (f *fleet) addr(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.machine.Lookup(name)
	return e.Addr, ok
}

// FindProcess implements claims.Peers.
func (f *fleet) FindProcess(instance string) (incarnation uint64, addr string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.machine.Lookup(instance)
	if !ok || e.State.Gone() {
		return 0, "", false
	}
	return e.Incarnation, e.Addr, true
}

// otherInstances returns the names of the other alive instances, sorted.
func (f *fleet) otherInstances() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.DeleteFunc(f.aliveNames(), func(name string) bool { return name == f.agent.cfg.Instance.Name })
	slices.Sort(out)
	return out
}

// Size implements claims.Peers.
func (f *fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Size()
}

// setSeeds sets the addresses at which the state machine looks for other nodes.
func (f *fleet) setSeeds(addrs []string) {
	f.withLock(func() { f.machine.SetSeeds(addrs) })
}
