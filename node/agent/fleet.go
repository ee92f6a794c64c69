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

// exchangeTimeout bounds one gossip exchange.
const exchangeTimeout = time.Second

// fleet connects the gossip state machine to the network. It is safe for
// concurrent use.
type fleet struct {
	agent *Agent
	news  chan struct{} // tells that another node has a newer configuration

	mu      sync.Mutex
	machine *member.Machine
	cache   map[string]candidates
}

// candidates is the list of a service's targets at one generation.
type candidates struct {
	gen  uint64
	list []relay.Candidate
}

func newFleet(a *Agent) *fleet {
	cfg := member.Config{
		Name:        a.cfg.Instance.Name,
		Incarnation: a.incarnation,
		Addr:        a.advertised(),
		Zone:        a.cfg.Instance.Zone,
		Seeds:       a.cfg.Peers.Seeds,
		RandSeed:    a.incarnation,
	}
	return &fleet{agent: a, news: make(chan struct{}, 1), machine: member.New(cfg, time.Now()), cache: map[string]candidates{}}
}

// advertised returns the address that other nodes dial.
func (a *Agent) advertised() string {
	if a.cfg.Listen.AdvertisePeers != "" {
		return a.cfg.Listen.AdvertisePeers
	}
	return a.lns.peers.Addr().String()
}

// gossip is the duty that sends what the state machine asks for.
func (f *fleet) gossip(ctx context.Context) error {
	return super.Every(ctx, member.TickInterval, func(now time.Time) {
		f.announce(now)
		f.step(ctx, func() []member.Message { return f.machine.Tick(now) })
	})
}

// announce tells the state machine about the local target and the progress of
// the configuration.
func (f *fleet) announce(now time.Time) {
	var t *member.Target
	if up, ok := f.agent.target.Upstream(now); ok {
		t = &member.Target{Service: up.Service, Labels: up.Labels, Slots: up.Slots, State: targetState(up.State)}
	}
	// Read before the lock is taken: zones calls the fleet with its own lock held.
	offset, epoch := f.agent.store.Offset(), f.agent.zones.Adopted()
	f.step(context.Background(), func() []member.Message {
		out := f.machine.Announce(now, t)
		return append(out, f.machine.SetProgress(now, offset, epoch)...)
	})
}

// announce spreads the state of the local target at once.
func (a *Agent) announce() {
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

// step changes the state machine and delivers what it wants to send.
func (f *fleet) step(ctx context.Context, change func() []member.Message) {
	f.mu.Lock()
	sends := change()
	_, ahead := f.machine.NewerConfigPeer()
	f.mu.Unlock()
	if ahead {
		select {
		case f.news <- struct{}{}:
		default:
		}
	}
	for _, s := range sends {
		go f.deliver(ctx, s)
	}
}

// ahead returns the address of a node that has a newer configuration.
func (f *fleet) ahead() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.NewerConfigPeer()
}

func (f *fleet) deliver(ctx context.Context, s member.Message) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	session, err := f.agent.links.Session(ctx, s.Addr)
	if err != nil {
		return // the state machine times the message out
	}
	if s.Probe != nil {
		reply, err := frame.Call[member.ProbeRequest, member.ProbeReply](ctx, session, relay.KindProbe, *s.Probe)
		if err == nil {
			f.locked(func() { f.machine.ReceiveProbeReply(time.Now(), s.ID, reply) })
		}
		return
	}
	f.count(s.Packet)
	reply, err := frame.Call[member.Packet, member.Packet](ctx, session, relay.KindGossip, *s.Packet)
	if err == nil {
		f.step(context.WithoutCancel(ctx), func() []member.Message { return f.machine.ReceiveReply(time.Now(), s.ID, reply) })
	}
}

// count measures a packet that is sent. A node sends a few each second, so that
// the second encoding costs little.
func (f *fleet) count(p *member.Packet) {
	f.agent.metrics.Add(metric.GossipPackets, 1)
	if data, err := msgpack.Marshal(p); err == nil {
		f.agent.metrics.Add(metric.GossipBytes, int64(len(data)))
	}
}

func (f *fleet) locked(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// receive answers a packet of another node.
func (f *fleet) receive(_ context.Context, p member.Packet) (member.Packet, error) {
	var reply member.Packet
	f.step(context.Background(), func() []member.Message {
		var out []member.Message
		reply, out = f.machine.Receive(time.Now(), p)
		return out
	})
	return reply, nil
}

// probe checks a node on behalf of another one.
func (f *fleet) probe(ctx context.Context, req member.ProbeRequest) (member.ProbeReply, error) {
	var send member.Message
	f.locked(func() { send = f.machine.StartProbe(time.Now(), req) })
	ctx, cancel := context.WithTimeout(ctx, member.ProbeTimeout)
	defer cancel()
	session, err := f.agent.links.Session(ctx, send.Addr)
	if err != nil {
		return member.ProbeReply{Target: req.Target}, nil
	}
	reply, err := frame.Call[member.Packet, member.Packet](ctx, session, relay.KindGossip, *send.Packet)
	if err != nil || reply.From != req.Target {
		return member.ProbeReply{Target: req.Target}, nil
	}
	f.step(context.Background(), func() []member.Message { return f.machine.ReceiveReply(time.Now(), send.ID, reply) })
	return member.ProbeReply{Target: req.Target, Reached: true}, nil
}

// leave tells other nodes that this one ends.
func (f *fleet) leave(ctx context.Context) {
	f.mu.Lock()
	sends := f.machine.Leave(time.Now())
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range sends {
		wg.Go(func() { f.deliver(ctx, s) })
	}
	wg.Wait()
}

// Candidates implements relay.Directory.
func (f *fleet) Candidates(service string) ([]relay.Candidate, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	gen := f.machine.ServiceGeneration(service)
	if c, ok := f.cache[service]; ok && c.gen == gen {
		return c.list, gen
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
			State:       relayState(e.Target.State),
		})
	}
	f.cache[service] = candidates{gen: gen, list: list}
	return list, gen
}

// members returns the nodes that this one knows.
func (f *fleet) members() []report.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []report.Member
	for _, name := range f.everywhere() {
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
	f.locked(func() { f.machine.AnnounceRetired(zone, through) })
}

// Retired implements zones.Peers.
func (f *fleet) Retired() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Retired()
}

// Confirm implements zones.Peers.
func (f *fleet) Confirm(ctx context.Context, addr string, req epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
	return call[epoch.ConfirmRequest, epoch.ConfirmReply](ctx, f.agent.links, addr, relay.KindConfirm, req)
}

// alive returns the names of the alive instances of a zone.
func (f *fleet) alive(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Alive(zone)
}

// everywhere returns the names of the alive instances of all zones. The caller
// holds mu.
func (f *fleet) everywhere() []string {
	var names []string
	for _, zone := range f.machine.Zones() {
		names = append(names, f.machine.Alive(zone)...)
	}
	return names
}

// peerAddr returns the address of another node, a different one each turn. With
// names given it is one of these.
func (f *fleet) peerAddr(turn int, names []string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var addrs []string
	for _, name := range f.everywhere() {
		e, ok := f.machine.Lookup(name)
		if !ok || name == f.agent.cfg.Instance.Name || names != nil && !slices.Contains(names, name) {
			continue
		}
		addrs = append(addrs, e.Addr)
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[turn%len(addrs)], true
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

// others returns the other instances that are alive, sorted.
func (f *fleet) others() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.DeleteFunc(f.everywhere(), func(name string) bool { return name == f.agent.cfg.Instance.Name })
	slices.Sort(out)
	return out
}

// Size implements claims.Peers.
func (f *fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.Size()
}

// join tells the state machine where other nodes may be.
func (f *fleet) join(addrs []string) {
	f.locked(func() { f.machine.SetSeeds(addrs) })
}
