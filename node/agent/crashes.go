package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/crash"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
)

const (
	// crashBatchTime is how long changes are collected before they are sent.
	crashBatchTime = 20 * time.Millisecond
	// crashSyncInterval is the time between two exchanges of all records with a
	// random node. Nodes without records need none.
	crashSyncInterval = 5 * time.Second
	// A node that starts asks up to crashFirstSyncs nodes for the records of the fleet,
	// since the first ones may have started as well. It does so for crashFirstTime, with
	// pauses that double from crashFirstInterval to crashMaxFirstInterval.
	crashFirstSyncs       = 16
	crashFirstTime        = 10 * time.Second
	crashFirstInterval    = 50 * time.Millisecond
	crashMaxFirstInterval = 400 * time.Millisecond
	// crashSendTries is the number of nodes of another zone to which news are sent
	// until one receives them.
	crashSendTries = 3
)

// crashMessage tells a node records of requests that end upstream processes.
type crashMessage struct {
	Records []crash.Record `msgpack:"records"`
	Sync    bool           `msgpack:"sync"` // the sender wants the records of the receiver if Sum differs
	Sum     uint64         `msgpack:"sum"`
}

// crashReply is the reply to a crashMessage.
type crashReply struct {
	Records []crash.Record `msgpack:"records"`
	Sum     uint64         `msgpack:"sum"`
}

// crashNews spreads the records of requests that end upstream processes. News pass
// from node to node within a zone; the node that observes something also sends it to
// each other zone.
type crashNews struct {
	*crash.Registry
	agent *Agent
	news  chan struct{}
	local atomic.Bool // news that this node observed
}

func newCrashNews(a *Agent) *crashNews {
	n := &crashNews{agent: a, news: make(chan struct{}, 1)}
	n.Registry = crash.NewRegistry(n.wake)
	return n
}

func (n *crashNews) wake(local bool) {
	if local {
		n.local.Store(true)
	}
	select {
	case n.news <- struct{}{}:
	default:
	}
}

// serve handles a message of another node.
func (n *crashNews) serve(_ context.Context, m crashMessage) (crashReply, error) {
	now := time.Now()
	n.Merge(m.Records, now)
	reply := crashReply{Sum: n.Sum()}
	if m.Sync && m.Sum != reply.Sum {
		reply.Records, _ = n.ChangedAfter(0, now)
	}
	return reply, nil
}

// spread is the background task that sends news to other nodes.
func (n *crashNews) spread(ctx context.Context) error {
	var sent uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.news:
		}
		super.Pause(ctx, crashBatchTime)
		var records []crash.Record
		local := n.local.Swap(false)
		if records, sent = n.ChangedAfter(sent, time.Now()); len(records) == 0 {
			continue
		}
		zone := n.agent.cfg.Instance.Zone
		for z, addrs := range n.agent.fleet.peersByZone() {
			switch {
			case z == zone:
				for _, addr := range addrs[:min(len(addrs), member.UrgentFanout)] {
					n.send(ctx, records, addr)
				}
			case local:
				n.send(ctx, records, addrs[:min(len(addrs), crashSendTries)]...)
			}
		}
	}
}

// send sends records to the first of the given nodes that receives them, without
// waiting for that.
func (n *crashNews) send(ctx context.Context, records []crash.Record, addrs ...string) {
	super.Go("news of ended upstreams", n.agent.onPanic, func() {
		for _, addr := range addrs {
			_, err := n.call(ctx, addr, crashMessage{Records: records})
			if err == nil {
				return
			}
			n.agent.log.Debug("sending news of ended upstreams failed", "peer", addr, "error", err)
		}
	})
}

func (n *crashNews) call(ctx context.Context, addr string, m crashMessage) (crashReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return callPeer[crashMessage, crashReply](ctx, n.agent.links, addr, relay.KindCrashes, m)
}

// sync is the background task that exchanges all records with other nodes: first with
// those of which this node hears after its start, to get the records of the fleet, and
// then with random ones.
func (n *crashNews) sync(ctx context.Context) error {
	asked := map[string]bool{}
	for wait, began := crashFirstInterval, time.Now(); len(asked) < crashFirstSyncs && time.Since(began) < crashFirstTime; wait = min(2*wait, crashMaxFirstInterval) {
		for _, addr := range n.peers() {
			if !asked[addr] && len(asked) < crashFirstSyncs && n.syncWith(ctx, addr) {
				asked[addr] = true
			}
		}
		if !super.Pause(ctx, wait) {
			return nil
		}
	}
	return super.Every(ctx, crashSyncInterval, func(time.Time) {
		if addrs := n.peers(); len(addrs) > 0 && !n.Empty() {
			n.syncWith(ctx, addrs[0])
		}
	})
}

// syncWith exchanges all records with a node and reports whether it responded.
func (n *crashNews) syncWith(ctx context.Context, addr string) bool {
	reply, err := n.call(ctx, addr, crashMessage{Sync: true, Sum: n.Sum()})
	if err != nil {
		n.agent.log.Debug("exchanging the records of ended upstreams failed", "peer", addr, "error", err)
		return false
	}
	n.Merge(reply.Records, time.Now())
	if n.Sum() != reply.Sum {
		records, _ := n.ChangedAfter(0, time.Now())
		n.send(ctx, records, addr)
	}
	return true
}

// peers returns the addresses of the other alive nodes in random order.
func (n *crashNews) peers() []string {
	var addrs []string
	for _, a := range n.agent.fleet.peersByZone() {
		addrs = append(addrs, a...)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// peersByZone returns the addresses of the other alive nodes of each zone, in random
// order.
func (f *fleet) peersByZone() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	peers := map[string][]string{}
	for _, zone := range f.machine.Zones() {
		names := f.machine.Alive(zone)
		for _, i := range rand.Perm(len(names)) {
			if e, ok := f.machine.Lookup(names[i]); ok && e.Name != f.agent.cfg.Instance.Name {
				peers[zone] = append(peers[zone], e.Addr)
			}
		}
	}
	return peers
}
