package epoch

import (
	"slices"
	"time"
)

// Times and sizes of proposals.
const (
	// MinEpochAge limits a zone to one epoch in this time. It is longer than the
	// 2.1 s that the retirement of the epoch before takes plus its spread by
	// gossip, so that unretired epochs don't pile up.
	MinEpochAge = 5 * time.Second
	// ChangeDelay is how long the oldest change waits for others, so that
	// restarts in quick succession make one epoch.
	ChangeDelay = 750 * time.Millisecond
	// FirstEpochDelay takes the place of ChangeDelay in a zone without an epoch. The
	// nodes of a zone that starts find each other within about a second; a first
	// list that lacks some of them would move shares when the next one follows.
	FirstEpochDelay = 2 * time.Second
	// SettleTime is how long a member must have been present or absent for the
	// change to join an epoch that another change causes.
	SettleTime = 500 * time.Millisecond
	// UnseenTimeout is how long a listed member may be unknown to a node that
	// started to gossip before it counts as absent. A digest of the zone arrives
	// within a few gossip periods of 500 ms.
	UnseenTimeout = 10 * time.Second
	// TurnDuration is the time in which one node alone appends: enough for an append
	// and a read to travel through the log.
	TurnDuration = 500 * time.Millisecond
	// MaxMembers bounds the list of a zone. A holder asks the other members
	// every ConfirmInterval: with 25 members this costs 2.4 KB/s at 50 bytes a
	// message, of the 6 KB/s that a node may use. Zones with more instances
	// leave the rest out of the list until a member is lost.
	MaxMembers = 25
)

// Presence is what gossip knows about an instance of the own zone.
type Presence struct {
	Member
	Alive bool      // false once suspicion has run out
	Since time.Time // when the instance, in this incarnation, became present or absent
}

// View is what a node knows when it decides on a proposal.
type View struct {
	Zone      string
	Self      Member
	Started   time.Time // when the node began to gossip
	Current   Epoch     // the zero Epoch if the zone has none
	Adopted   time.Time // when the node folded Current
	Unretired []Epoch   // earlier epochs that are not retired
	Retired   uint64    // from Tracker.Retired
	Presences []Presence
}

// Propose says whether the node should append an epoch of its zone now, and
// which. Any number of nodes may append at once: the fold accepts one record
// for a base. Nodes take turns of TurnTime in rendezvous order so that usually
// one appends. Call it a few times a second, not for a lost zone, and do not
// append again within TurnTime.
//
// No epoch is proposed unless a majority of the current list and of each
// unretired list is present or restarted, because the earlier epochs could
// never be retired. A zone that lost a majority for good keeps its last epoch
// until enough of these instances are back.
func Propose(v View, now time.Time) (Epoch, bool) {
	d := v.plan(now)
	if !d.changed || len(d.members) == 0 {
		return Epoch{}, false
	}
	ready := d.since.Add(ChangeDelay)
	if v.Current.Number == 0 {
		ready = d.since.Add(FirstEpochDelay)
	}
	if earliest := v.Adopted.Add(MinEpochAge); v.Current.Number > 0 && earliest.After(ready) {
		ready = earliest
	}
	if now.Before(ready) || !v.finishes(d.members) {
		return Epoch{}, false
	}
	next := Epoch{
		Zone:           v.Zone,
		Number:         v.Current.Number + 1,
		Base:           v.Current.Number,
		Members:        d.members,
		RetiredThrough: min(v.Retired, v.Current.Number),
	}
	return next, HasTurn(v.present(d.members), v.Self, v.Zone, now.Sub(ready))
}

// HasTurn reports whether it is the turn of self after some time. Members take
// turns of TurnTime in rendezvous order for a key, over and over.
func HasTurn(members []Member, self Member, key string, elapsed time.Duration) bool {
	if elapsed < 0 || len(members) == 0 {
		return false
	}
	order := TopRanked(members, key, len(members))
	return order[int(elapsed/TurnDuration)%len(order)].Same(self)
}

type plan struct {
	members []Member
	changed bool
	since   time.Time // of the oldest change
}

func (d *plan) change(since time.Time) {
	if !d.changed || since.Before(d.since) {
		d.since = since
	}
	d.changed = true
}

// plan lists the members that stay, the later processes of those that
// restarted, and new ones while there is room.
func (v View) plan(now time.Time) plan {
	var d plan
	for _, m := range v.Current.Members {
		s := v.find(m)
		settled := now.Sub(s.Since) >= SettleTime
		switch {
		case s.Alive && s.Same(m), !settled:
			d.members = append(d.members, m)
		case s.Alive:
			d.members = append(d.members, s.Member)
			d.change(s.Since)
		default:
			d.change(s.Since)
		}
	}
	for _, s := range v.joining(d.members, now) {
		d.members = append(d.members, s.Member)
		d.change(s.Since)
	}
	slices.SortFunc(d.members, byName)
	return d
}

// joining returns the settled instances that are not in the list, as many as
// there is room for.
func (v View) joining(list []Member, now time.Time) []Presence {
	room := MaxMembers - len(list)
	var out []Presence
	for _, m := range TopRanked(v.alive(), v.Zone, len(v.Presences)) {
		s := v.find(m)
		taken := slices.ContainsFunc(list, func(o Member) bool {
			return o.Name == m.Name || o.Address != "" && o.Address == m.Address
		})
		if taken || len(out) >= room || now.Sub(s.Since) < SettleTime {
			continue
		}
		out = append(out, s)
	}
	return out
}

// find returns what gossip knows about an instance: its latest incarnation, or
// an absence since Started if it was never seen.
func (v View) find(m Member) Presence {
	best := Presence{Member: m, Since: v.Started.Add(UnseenTimeout)}
	found := false
	for _, s := range v.Presences {
		if s.Name == m.Name && (!found || s.Incarnation > best.Incarnation) {
			best, found = s, true
		}
	}
	return best
}

func (v View) alive() []Member {
	var out []Member
	for _, s := range v.Presences {
		if s.Alive && s.Zone == v.Zone {
			out = append(out, s.Member)
		}
	}
	return out
}

// present returns those of the members that are alive.
func (v View) present(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if s := v.find(m); s.Alive && s.Same(m) {
			out = append(out, m)
		}
	}
	return out
}

// finishes reports whether the epochs before a new list can be retired and
// whether the new list can give leases.
func (v View) finishes(next []Member) bool {
	lists := append(slices.Clone(v.Unretired), Epoch{Members: next})
	if v.Current.Number > 0 {
		lists = append(lists, v.Current)
	}
	for _, e := range lists {
		if v.reachable(e) < e.Majority() {
			return false
		}
	}
	return true
}

// reachable counts the members that can adopt a newer epoch or have restarted.
func (v View) reachable(e Epoch) int {
	n := 0
	for _, m := range e.Members {
		s := v.find(m)
		if s.Alive && s.Same(m) || s.replaces(m) {
			n++
		}
	}
	return n
}
