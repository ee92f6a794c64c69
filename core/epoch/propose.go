package epoch

import (
	"slices"
	"time"
)

// Durations and limits of proposals.
const (
	// MinEpochAge is the minimum time between two epochs of a zone. It is longer
	// than the 2.1 s that the retirement of the previous epoch takes, plus its
	// spread by gossip, so that unretired epochs don't accumulate.
	MinEpochAge = 5 * time.Second
	// ChangeDelay is how long the oldest change waits for others, so that
	// restarts in quick succession result in one epoch.
	ChangeDelay = 750 * time.Millisecond
	// FirstEpochDelay replaces ChangeDelay in a zone without an epoch. The nodes
	// of a zone that starts discover each other within about a second. A first
	// list that lacks some of them would move shares when the next one follows.
	FirstEpochDelay = 2 * time.Second
	// SettleTime is how long a member must have been present or absent before the
	// change is included in an epoch that another change causes.
	SettleTime = 500 * time.Millisecond
	// UnseenTimeout is how long after this node began to gossip a listed member
	// may remain unknown to it before it counts as absent. A digest of the zone
	// arrives within a few gossip intervals of 500 ms.
	UnseenTimeout = 10 * time.Second
	// TurnDuration is the time in which only one node appends. It suffices for an
	// append to the log and for the other nodes to read the record.
	TurnDuration = 500 * time.Millisecond
	// MaxMembers limits the member list of a zone. A holder sends a request to
	// the other members every ConfirmInterval. With 25 members and 50 bytes a
	// message this takes 2.4 KB/s of the 6 KB/s that a node may use. In a zone
	// with more instances the others are not listed until a member is lost.
	MaxMembers = 25
)

// Presence is what gossip knows about an instance of the local zone.
type Presence struct {
	Member
	Alive bool      // false once its suspicion has expired
	Since time.Time // when the instance, in this incarnation, became present or absent
}

// View is what a node knows when it decides on a proposal.
type View struct {
	Zone      string
	Self      Member
	Started   time.Time // when the node began to gossip
	Current   Epoch     // the zero Epoch if the zone has none
	Adopted   time.Time // when the node adopted Current
	Unretired []Epoch   // from Tracker.Unretired
	Retired   uint64    // from Tracker.Retired
	Presences []Presence
	Era       uint64    // of the log
	EraSince  time.Time // when the node learned of Era
}

// Propose decides whether the node should append an epoch of its zone now, and
// returns it. Any number of nodes may append at once, because State accepts
// only one record with the same base. Nodes take turns of TurnDuration in
// rendezvous order, so that usually one appends. Call it a few times a second,
// but not for a zone with a gap, and do not append again within TurnDuration.
//
// No epoch is proposed unless a majority of the current list and of each
// unretired list is present or restarted, because the earlier epochs could
// never be retired. A zone that lost a majority permanently keeps its last
// epoch until enough of these instances are back.
func Propose(v View, now time.Time) (Epoch, bool) {
	d := v.plan(now)
	if !d.changed || len(d.members) == 0 {
		return Epoch{}, false
	}
	ready := d.since.Add(ChangeDelay)
	if v.Current.Number == 0 {
		ready = d.since.Add(FirstEpochDelay)
	}
	if earliest := v.Adopted.Add(MinEpochAge); v.Current.Number > 0 && earliest.After(ready) && !v.majorityRestarted() && !v.outdated() {
		ready = earliest
	}
	if now.Before(ready) || !v.majoritiesReachable(d.members) {
		return Epoch{}, false
	}
	number := v.Current.Number + 1
	if v.outdated() {
		number = firstOf(v.Era)
	}
	next := Epoch{
		Zone:           v.Zone,
		Number:         number,
		Base:           v.Current.Number,
		Members:        d.members,
		RetiredThrough: min(v.Retired, v.Current.Number),
	}
	return next, HasTurn(v.presentMembers(d.members), v.Self, v.Zone, now.Sub(ready))
}

// outdated reports whether the current epoch is of an earlier era of the log, which may have
// lost it. Other nodes may then know another one of the same number.
func (v View) outdated() bool {
	return eraOf(v.Current.Number) < v.Era
}

// HasTurn reports whether it is the turn of self once the given time has
// elapsed. Members take turns of TurnDuration in rendezvous order for a key and
// start over after the last one.
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
	since   time.Time // start of the oldest change
}

func (d *plan) addChange(since time.Time) {
	if !d.changed || since.Before(d.since) {
		d.since = since
	}
	d.changed = true
}

// plan returns the next member list: the members that stay, the later processes
// of those that restarted, and new members up to MaxMembers.
func (v View) plan(now time.Time) plan {
	var d plan
	for _, m := range v.Current.Members {
		s := v.lookup(m)
		settled := now.Sub(s.Since) >= SettleTime
		switch {
		case s.Alive && s.Same(m), !settled:
			d.members = append(d.members, m)
		case s.Alive:
			d.members = append(d.members, s.Member)
			d.addChange(s.Since)
		default:
			d.addChange(s.Since)
		}
	}
	for _, s := range v.joiningMembers(d.members, now) {
		d.members = append(d.members, s.Member)
		d.addChange(s.Since)
	}
	if v.outdated() && v.Current.Number > 0 {
		d.addChange(v.EraSince)
	}
	slices.SortFunc(d.members, compareNames)
	return d
}

// joiningMembers returns the instances that are not in the list and have been
// present for SettleTime, up to MaxMembers.
func (v View) joiningMembers(list []Member, now time.Time) []Presence {
	room := MaxMembers - len(list)
	var out []Presence
	for _, m := range TopRanked(v.aliveMembers(), v.Zone, len(v.Presences)) {
		s := v.lookup(m)
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

// lookup returns what gossip knows about an instance: its latest incarnation,
// or an absence since UnseenTimeout after Started if it was never seen.
func (v View) lookup(m Member) Presence {
	best := Presence{Member: m, Since: v.Started.Add(UnseenTimeout)}
	found := false
	for _, s := range v.Presences {
		if s.Name == m.Name && (!found || s.Incarnation > best.Incarnation) {
			best, found = s, true
		}
	}
	return best
}

func (v View) aliveMembers() []Member {
	var out []Member
	for _, s := range v.Presences {
		if s.Alive && s.Zone == v.Zone {
			out = append(out, s.Member)
		}
	}
	return out
}

// presentMembers returns those of the members that are alive.
func (v View) presentMembers(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if s := v.lookup(m); s.Alive && s.Same(m) {
			out = append(out, m)
		}
	}
	return out
}

// majoritiesReachable reports whether the epochs before a new list can be
// retired and whether leases are possible under the new list.
func (v View) majoritiesReachable(next []Member) bool {
	lists := append(slices.Clone(v.Unretired), Epoch{Members: next})
	if v.Current.Number > 0 {
		lists = append(lists, v.Current)
	}
	for _, e := range lists {
		if v.countReachable(e) < e.Majority() {
			return false
		}
	}
	return true
}

// majorityRestarted reports whether so many members of the current list have restarted that
// no lease under it is possible any more, and nothing earlier is in use. After the loss of
// all processes the next list then needn't wait for MinEpochAge, which a node counts from
// its own start.
func (v View) majorityRestarted() bool {
	running := 0
	for _, m := range v.Current.Members {
		if !v.lookup(m).supersedes(m) {
			running++
		}
	}
	return running < v.Current.Majority() && len(v.Unretired) == 0
}

// countReachable counts the members that can adopt a newer epoch or have
// restarted.
func (v View) countReachable(e Epoch) int {
	n := 0
	for _, m := range e.Members {
		s := v.lookup(m)
		if s.Alive && s.Same(m) || s.supersedes(m) {
			n++
		}
	}
	return n
}
