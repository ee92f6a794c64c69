package zones

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
)

// Peers reaches the other nodes. Its methods are called without any lock of
// this package, as they take locks of their own.
type Peers interface {
	// Confirm sends a confirm request to a peer address.
	Confirm(ctx context.Context, addr string, req epoch.ConfirmRequest) (epoch.ConfirmReply, error)
	// Members returns the alive and suspect instances of a zone as gossip knows
	// them, this one included.
	Members(zone string) []member.Entry
	// AnnounceRetired spreads that all epochs of a zone up to one are retired, and
	// Retired returns what others spread.
	AnnounceRetired(zone string, through uint64)
	Retired() map[string]uint64
}

// Zones is the state of the epochs at one node. It is safe for concurrent use.
type Zones struct {
	self    epoch.Member
	log     logsvc.Log
	peers   Peers
	onErr   func(error)
	hold    time.Duration // retention time of the log
	started time.Time

	mu      sync.Mutex
	state   *epoch.State
	lease   *epoch.Lease
	tracker *epoch.Tracker
	keeper  *epoch.SnapshotScheduler
	adopted time.Time
	append  time.Time // last append of this node
	seen    map[string]epoch.Presence
	hooks   []func(now time.Time)
}

// New returns the state before the first record. Errors of the log are passed
// to onErr.
func New(self epoch.Member, log logsvc.Log, peers Peers, retention time.Duration, onErr func(error)) *Zones {
	s := epoch.NewState()
	return &Zones{
		self: self, log: log, peers: peers, onErr: onErr, hold: retention, started: time.Now(),
		state: s, lease: epoch.NewLease(self), tracker: epoch.NewTracker(s), keeper: epoch.NewSnapshotScheduler(s),
		seen: map[string]epoch.Presence{},
	}
}

// View is what the holders of shares and claims need to see at one moment.
type View struct {
	State   *epoch.State
	Tracker *epoch.Tracker
	Lease   *epoch.Lease
}

// WithView calls f with the state locked.
func (z *Zones) WithView(f func(v View)) {
	z.mu.Lock()
	defer z.mu.Unlock()
	f(View{State: z.state, Tracker: z.tracker, Lease: z.lease})
}

// OnAdopt calls f after each adopted epoch of the own zone, with the state
// locked, before the node answers any later message. It must be called before
// the duties start.
func (z *Zones) OnAdopt(f func(v View, now time.Time)) {
	z.hooks = append(z.hooks, func(now time.Time) {
		f(View{State: z.state, Tracker: z.tracker, Lease: z.lease}, now)
	})
}

// Self returns the member that this process is.
func (z *Zones) Self() epoch.Member {
	return z.self
}

// Adopted returns the number of the current epoch of the own zone, 0 if there
// is none.
func (z *Zones) Adopted() uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.lease.Epoch().Number
}

// Confirm answers a confirm request of another node.
func (z *Zones) Confirm(req epoch.ConfirmRequest) epoch.ConfirmReply {
	z.mu.Lock()
	defer z.mu.Unlock()
	reply := z.state.Confirm(z.self, req)
	// The asker knows the address and the zone; without them the reply is half as
	// long.
	reply.Member.Address, reply.Member.Zone = "", ""
	reply.RetiredThrough = max(reply.RetiredThrough, z.tracker.Retired(req.Zone, time.Now()))
	return reply
}

// Snapshots returns the state of every zone for a peer that can't read the
// log.
func (z *Zones) Snapshots() []epoch.Snapshot {
	z.mu.Lock()
	defer z.mu.Unlock()
	var out []epoch.Snapshot
	for _, name := range z.state.Zones() {
		if s, ok := z.state.Snapshot(name); ok {
			out = append(out, s)
		}
	}
	return out
}

// Restore takes over snapshots of a peer. Older ones are ignored.
func (z *Zones) Restore(snaps []epoch.Snapshot, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, s := range snaps {
		if z.state.Restore(s) {
			z.adopt(s.Zone, now)
		}
	}
}

// adopt follows a change of a zone's epoch. The caller holds mu.
func (z *Zones) adopt(zone string, now time.Time) {
	if zone != z.self.Zone {
		return
	}
	e, ok := z.state.Current(zone)
	if !ok || e.Number <= z.lease.Epoch().Number {
		return
	}
	z.lease.Adopt(e)
	z.adopted = now
	z.tracker.Observe(z.self, e.Number, now)
	for _, f := range z.hooks {
		f(now)
	}
}
