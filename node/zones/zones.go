package zones

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/ring"
)

// Peers gives access to the other nodes. Its methods are called without holding
// a lock of this package, because they acquire locks of their own.
type Peers interface {
	// Confirm sends a confirm request to a peer address.
	Confirm(ctx context.Context, addr string, req epoch.ConfirmRequest) (epoch.ConfirmReply, error)
	// Members returns the alive and suspect instances of a zone according to
	// gossip, including this one.
	Members(zone string) []member.Entry
	// AnnounceRetired spreads that all epochs of a zone up to and including
	// through are retired. Retired returns what other nodes announced.
	AnnounceRetired(zone string, through uint64)
	Retired() map[string]uint64
}

// Zones is the epoch state of a node: the epochs of all zones and the lease of
// its own. It is safe for concurrent use.
type Zones struct {
	self      epoch.Member
	log       logsvc.Log
	peers     Peers
	onError   func(error)
	retention time.Duration // retention time of the log
	started   time.Time

	mu         sync.Mutex
	state      *epoch.State
	lease      *epoch.Lease
	tracker    *epoch.Tracker
	snapshots  *epoch.SnapshotScheduler
	adopted    time.Time
	hasRead    bool      // the log was read once
	eraSince   time.Time // when this node learned of the era of the log
	lastAppend time.Time // last append of this node
	presences  map[string]epoch.Presence
	adoptHooks []func(now time.Time)
	recent     *ring.Records // latest records, for peers that don't read the log
	onNews     func()
}

// New returns the state before the first record. Errors of the log are passed
// to onError.
func New(self epoch.Member, log logsvc.Log, peers Peers, retention time.Duration, onError func(error)) *Zones {
	s := epoch.NewState()
	return &Zones{
		self: self, log: log, peers: peers, onError: onError, retention: retention, started: time.Now(),
		state: s, lease: epoch.NewLease(self), tracker: epoch.NewTracker(s), snapshots: epoch.NewSnapshotScheduler(s),
		presences: map[string]epoch.Presence{}, recent: ring.NewRecords(maxRecentRecords),
	}
}

// maxRecentRecords is the number of records that are retained for peers. A peer that lacks
// more of them gets snapshots.
const maxRecentRecords = 100

// OnNews registers f to be called after new records of the stream. It must be called before
// the background tasks start. f must not block.
func (z *Zones) OnNews(f func()) {
	z.onNews = f
}

// View is a consistent view of the epoch state, for the holders of shares and
// the owners of claims.
type View struct {
	State   *epoch.State
	Tracker *epoch.Tracker
	Lease   *epoch.Lease
}

// WithView calls f while the state is locked.
func (z *Zones) WithView(f func(v View)) {
	z.mu.Lock()
	defer z.mu.Unlock()
	f(View{State: z.state, Tracker: z.tracker, Lease: z.lease})
}

// OnAdopt registers f to be called after each adopted epoch of the local zone.
// It runs while the state is locked, before the node replies to any later
// message. OnAdopt must be called before the background tasks start.
func (z *Zones) OnAdopt(f func(v View, now time.Time)) {
	z.adoptHooks = append(z.adoptHooks, func(now time.Time) {
		f(View{State: z.state, Tracker: z.tracker, Lease: z.lease}, now)
	})
}

// Self returns the member that this process is.
func (z *Zones) Self() epoch.Member {
	return z.self
}

// Adopted returns the number of the current epoch of the local zone, or 0 if
// there is none.
func (z *Zones) Adopted() uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.lease.Epoch().Number
}

// Confirm replies to a confirm request of another node.
func (z *Zones) Confirm(req epoch.ConfirmRequest) epoch.ConfirmReply {
	z.mu.Lock()
	defer z.mu.Unlock()
	reply := z.state.Confirm(z.self, req)
	// The requester knows the address and the zone. Without them the reply is
	// half as long.
	reply.Member.Address, reply.Member.Zone = "", ""
	reply.RetiredThrough = max(reply.RetiredThrough, z.tracker.Retired(req.Zone, time.Now()))
	return reply
}

// Position is how far a node has applied the stream.
type Position struct {
	Next  uint64 `msgpack:"next"`  // offset of the next record
	Gap   bool   `msgpack:"gap"`   // records are missing that only a snapshot can replace
	Era   uint64 `msgpack:"era"`   // of the log
	Zone  string `msgpack:"zone"`  // of the node
	Epoch uint64 `msgpack:"epoch"` // current epoch of the zone
}

// Update holds the records from the position of a peer on, or snapshots of every zone if
// they are no longer retained. It is empty if the peer has them all.
type Update struct {
	First     uint64           `msgpack:"first"`
	Records   [][]byte         `msgpack:"records,omitempty"`
	Snapshots []epoch.Snapshot `msgpack:"snapshots,omitempty"`
	Next      uint64           `msgpack:"next"` // offset after the last record
	Era       uint64           `msgpack:"era"`  // of the log
}

// Position returns how far this node has applied the stream.
func (z *Zones) Position() Position {
	z.mu.Lock()
	defer z.mu.Unlock()
	current, _ := z.state.Current(z.self.Zone)
	return Position{
		Next: z.state.Next, Gap: z.state.HasGap(z.self.Zone), Era: z.state.Era, Zone: z.self.Zone, Epoch: current.Number,
	}
}

// Update returns the update for a peer, and whether there is anything new for it. A peer in
// an earlier era of the log, or whose epoch is older although it has all records, gets
// snapshots: records may be lost that this node applied.
func (z *Zones) Update(p Position) (Update, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	u := Update{First: p.Next, Next: z.state.Next, Era: z.state.Era}
	if p.Era > z.state.Era {
		return u, false
	}
	current, _ := z.state.Current(p.Zone)
	sameEra := p.Era == z.state.Era
	if sameEra && !p.Gap && p.Next >= z.state.Next && p.Epoch >= current.Number {
		return u, false
	}
	records, ok := z.recent.From(p.Next, z.state.Next)
	if sameEra && !p.Gap && ok && p.Next < z.state.Next {
		u.Records = records
		return u, true
	}
	for _, name := range z.state.Zones() {
		if s, ok := z.state.Snapshot(name); ok {
			u.Snapshots = append(u.Snapshots, s)
		}
	}
	return u, len(u.Snapshots) > 0 || !sameEra
}

// ApplyUpdate applies the update of a peer. Records and snapshots that are not newer change
// nothing.
func (z *Zones) ApplyUpdate(u Update, now time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if u.Era < z.state.Era {
		return
	}
	z.startEra(u.Era, now)
	if len(u.Records) > 0 && u.First <= z.state.Next {
		z.fold(u.First, u.Records, u.Next, now)
	}
	if len(u.Snapshots) == 0 {
		return
	}
	z.state.SkipTo(u.Next)
	for _, s := range u.Snapshots {
		if z.state.Restore(s) {
			z.adopt(s.Zone, now)
		}
	}
}

// startEra begins to apply the log anew if its history went back. The caller holds mu.
func (z *Zones) startEra(era uint64, now time.Time) {
	if !z.state.StartEra(era) {
		return
	}
	z.eraSince = now
	z.recent = ring.NewRecords(maxRecentRecords)
	if z.onNews != nil {
		z.onNews()
	}
}

// Era returns the era of the log, as far as this node knows.
func (z *Zones) Era() uint64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.state.Era
}

// adopt updates the lease after the current epoch of a zone changed. The caller
// holds mu.
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
	for _, f := range z.adoptHooks {
		f(now)
	}
}
