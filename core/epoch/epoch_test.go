package epoch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func member(name string, incarnation uint64) Member {
	return Member{Name: name, Incarnation: incarnation, Address: name + ":1", Zone: "bole"}
}

// epochOf returns an epoch of zone bole with members of incarnation 1.
func epochOf(number uint64, names ...string) Epoch {
	e := Epoch{Zone: "bole", Number: number, Base: number - 1}
	for _, name := range names {
		e.Members = append(e.Members, member(name, 1))
	}
	return e
}

func apply(t *testing.T, s *State, offset uint64, r Record) string {
	t.Helper()
	data, err := Encode(r)
	assert.NilError(t, err)
	return s.Apply(offset, data)
}

func foldedState(t *testing.T, epochs ...Epoch) *State {
	s := NewState()
	for i, e := range epochs {
		assert.Equal(t, apply(t, s, uint64(i), Record{Epoch: &e}), e.Zone)
	}
	return s
}

// TestLease guards against a lease that is valid without confirmations of a
// majority, or for longer than they hold.
func TestLease(t *testing.T) {
	five := epochOf(1, "a", "b", "c", "d", "e")
	for _, c := range []struct {
		name    string
		replies []ConfirmReply
		want    time.Duration // how long the lease is valid after the requests were sent; 0 for no lease
	}{
		{"no reply", nil, 0},
		{"one short of a majority", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}}, 0},
		{"majority", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "bole", Member: member("c", 1)}}, LeaseTime},
		{"one member twice", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "bole", Member: member("b", 1), Adopted: 1}}, 0},
		{"newer epoch adopted", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "bole", Member: member("c", 1), Adopted: 2}}, 0},
		{"restarted member", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "bole", Member: member("c", 2)}}, 0},
		{"stranger", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "bole", Member: member("x", 1), Adopted: 1}}, 0},
		{"other zone", []ConfirmReply{{Zone: "bole", Member: member("b", 1), Adopted: 1}, {Zone: "arada", Member: member("c", 1), Adopted: 1}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLease(member("a", 1))
			l.Adopt(five)
			for _, r := range c.replies {
				l.RecordConfirmation(r, start)
			}
			assert.Equal(t, l.Valid(at(c.want-1)), c.want > 0)
			assert.Equal(t, l.Valid(at(c.want)), false)
		})
	}
}

// TestLeaseAdopt guards against counting confirmations of a member that left or
// restarted, and against a gap in the lease while enough members stay.
func TestLeaseAdopt(t *testing.T) {
	l := NewLease(member("a", 1))
	l.Adopt(epochOf(1, "a", "b", "c"))
	l.RecordConfirmation(ConfirmReply{Zone: "bole", Member: member("b", 1), Adopted: 1}, start)
	l.Adopt(epochOf(2, "a", "b", "d"))
	assert.Assert(t, l.Valid(at(time.Second)), "b confirms both epochs")
	l.Adopt(epochOf(1, "a", "b", "c"))
	assert.Equal(t, l.Epoch().Number, uint64(2), "a lease never goes back")
	e := epochOf(3, "a", "c")
	e.Members = append(e.Members, member("b", 2))
	l.Adopt(e)
	assert.Assert(t, !l.Valid(at(time.Second)), "b restarted")
}

// TestRetired guards against retiring an epoch while an earlier holder may
// still have a lease under it.
func TestRetired(t *testing.T) {
	wait := LeaseTime + DriftMargin
	for _, c := range []struct {
		name    string
		observe func(*Tracker)
		want    uint64 // once wait has elapsed
	}{
		{"nothing seen", func(*Tracker) {}, 0},
		{"minority adopted", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start) }, 0},
		{"majority adopted", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start); tr.Observe(member("b", 1), 2, start) }, 1},
		{"one reported twice", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start); tr.Observe(member("a", 1), 2, start) }, 0},
		{"the same epoch adopted", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start); tr.Observe(member("b", 1), 1, start) }, 0},
		{"restarted", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start); tr.Observe(member("b", 2), 0, start) }, 1},
		{"address taken over", func(tr *Tracker) {
			tr.Observe(member("a", 1), 2, start)
			tr.Observe(Member{Name: "x", Incarnation: 9, Address: "b:1", Zone: "bole"}, 0, start)
		}, 1},
		{"second report later", func(tr *Tracker) { tr.Observe(member("a", 1), 2, start); tr.Observe(member("b", 1), 2, at(1)) }, 0},
		{"told by a peer", func(tr *Tracker) { tr.MergeRetired("bole", 1) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			tr := NewTracker(foldedState(t, epochOf(1, "a", "b", "c"), epochOf(2, "a", "b", "d")))
			c.observe(tr)
			if c.name != "told by a peer" {
				assert.Equal(t, tr.Retired("bole", at(wait-1)), uint64(0))
			}
			assert.Equal(t, tr.Retired("bole", at(wait)), c.want)
		})
	}
}

func ownerFrom(names ...string) Owner {
	return func(e Epoch) Member {
		m, _ := e.Member(names[e.Number-1])
		return m
	}
}

// TestMayUse guards against use before every epoch with another owner is
// retired, and against an interruption for an owner that stays.
func TestMayUse(t *testing.T) {
	for _, c := range []struct {
		owners  []string
		retired uint64
		want    bool
		owned   bool // self owned the share in all epochs since epoch 1
	}{
		{[]string{"a", "a", "a"}, 0, true, true},
		{[]string{"b", "a", "a"}, 0, false, true},
		{[]string{"b", "a", "a"}, 1, true, true},
		{[]string{"a", "b", "a"}, 1, false, false},
		{[]string{"a", "b", "a"}, 2, true, false},
		{[]string{"a", "a", "b"}, 3, false, false},
	} {
		t.Run(fmt.Sprint(c.owners, c.retired), func(t *testing.T) {
			s := foldedState(t, epochOf(1, "a", "b"), epochOf(2, "a", "b", "c"), epochOf(3, "a", "b"))
			tr := NewTracker(s)
			tr.MergeRetired("bole", c.retired)
			assert.Equal(t, tr.MayUse(member("a", 1), ownerFrom(c.owners...), start), c.want)
			assert.Equal(t, s.OwnedSince(member("a", 1), ownerFrom(c.owners...), 1), c.owned)
			assert.Assert(t, !tr.MayUse(member("a", 2), ownerFrom(c.owners...), start), "a restarted process is not the owner")
		})
	}
}

// TestApplyRejects guards against invalid or old records that change the state.
func TestApplyRejects(t *testing.T) {
	duplicate := epochOf(2, "a", "b")
	duplicate.Members = append(duplicate.Members, member("b", 2))
	otherZone := epochOf(2, "a")
	otherZone.Members[0].Zone = "arada"
	for _, c := range []struct {
		name string
		e    Epoch
	}{
		{"stale base", epochOf(1, "z")},
		{"skipped number", epochOf(3, "z")},
		{"no members", epochOf(2)},
		{"name twice", duplicate},
		{"member of another zone", otherZone},
		{"retires itself", Epoch{Zone: "bole", Number: 2, Base: 1, RetiredThrough: 2, Members: []Member{member("a", 1)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := foldedState(t, epochOf(1, "a", "b"))
			assert.Equal(t, apply(t, s, 1, Record{Epoch: &c.e}), "")
			next := epochOf(2, "b")
			assert.Equal(t, apply(t, s, 0, Record{Epoch: &next}), "", "an older offset")
			assert.Equal(t, apply(t, s, 2, Record{Epoch: &next}), "bole")
			assert.Equal(t, s.Apply(3, []byte("{")), "")
		})
	}
}

// TestPropose guards against epochs that come too often, remove members on weak
// evidence, or could never be retired.
func TestPropose(t *testing.T) {
	absent := func(name string, since time.Duration) Presence {
		return Presence{Member: member(name, 1), Since: at(since)}
	}
	alive := func(name string, incarnation uint64, since time.Duration) Presence {
		return Presence{Member: member(name, incarnation), Alive: true, Since: at(since)}
	}
	longAgo := -time.Hour
	a, b, c := alive("a", 1, longAgo), alive("b", 1, longAgo), alive("c", 1, longAgo)
	for _, tc := range []struct {
		name    string
		current Epoch
		earlier []Epoch
		adopted time.Duration
		seen    []Presence
		want    string // expected members with their incarnations
	}{
		{"no change", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, c}, ""},
		{"lost member", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, absent("c", -2*time.Second)}, "a1 b1"},
		{"lost just now", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, absent("c", -700*time.Millisecond)}, ""},
		{"restart", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, alive("c", 2, -2*time.Second)}, "a1 b1 c2"},
		{"join", epochOf(1, "a", "b"), nil, longAgo, []Presence{a, b, alive("c", 1, -2*time.Second)}, "a1 b1 c1"},
		{"batch", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, absent("c", -2*time.Second), alive("d", 1, -600*time.Millisecond)}, "a1 b1 d1"},
		{"unsettled join waits", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, b, absent("c", -2*time.Second), alive("d", 1, -time.Millisecond)}, "a1 b1"},
		{"rate limit", epochOf(1, "a", "b", "c"), nil, -4 * time.Second, []Presence{a, b, absent("c", -2*time.Second)}, ""},
		{"all restarted", epochOf(1, "a", "b", "c"), nil, -time.Second, []Presence{alive("a", 2, -time.Second), alive("b", 2, -time.Second), alive("c", 2, -time.Second)}, "a2 b2 c2"},
		{"one restarted, rate limit", epochOf(1, "a", "b", "c"), nil, -time.Second, []Presence{a, b, alive("c", 2, -time.Second)}, ""},
		{"majority lost", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, absent("b", longAgo), absent("c", longAgo)}, ""},
		{"majority restarted", epochOf(1, "a", "b", "c"), nil, longAgo, []Presence{a, alive("b", 2, longAgo), alive("c", 2, longAgo)}, "a1 b2 c2"},
		{"majority of an unretired epoch lost", epochOf(2, "a", "b", "c"), []Epoch{epochOf(1, "x", "y", "c")}, longAgo, []Presence{a, b, absent("c", longAgo)}, ""},
		{"first epoch", Epoch{}, nil, longAgo, []Presence{a, b}, "a1 b1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, appending := "", 0
			for _, self := range []string{"a", "b", "c", "d"} {
				v := View{
					Zone: "bole", Self: latest(tc.seen, self), Started: at(longAgo), Current: tc.current,
					Unretired: tc.earlier, Adopted: at(tc.adopted), Presences: tc.seen,
				}
				e, ok := Propose(v, start)
				if !ok {
					continue
				}
				appending++
				assert.Equal(t, e.Base, tc.current.Number)
				got = ""
				for i, m := range e.Members {
					if i > 0 {
						got += " "
					}
					got += fmt.Sprint(m.Name, m.Incarnation)
				}
			}
			assert.Equal(t, got, tc.want)
			assert.Assert(t, appending <= 1, "%d nodes append at once", appending)
		})
	}
}

// latest returns the process of an instance that was seen last.
func latest(seen []Presence, name string) Member {
	m := member(name, 1)
	for _, s := range seen {
		if s.Name == name && s.Incarnation > m.Incarnation {
			m = s.Member
		}
	}
	return m
}

// TestSlots guards against moving a slot whose owner stays, and against losing
// two slots of a key with one instance.
func TestSlots(t *testing.T) {
	for _, n := range []int{2, 3, 4, 10, 25} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i%02d", i))
		}
		for k := range 200 {
			key := fmt.Sprint("share/", k)
			before := epochOf(1, names...).Slots(key, 2)
			assert.Assert(t, !before[0].Same(before[1]))
			for lost := range names {
				if n == 2 {
					break
				}
				rest := append(append([]string{}, names[:lost]...), names[lost+1:]...)
				for i, m := range epochOf(2, rest...).Slots(key, 2) {
					if before[i].Name != names[lost] {
						assert.Equal(t, m.Name, before[i].Name, "%d members, key %s, slot %d", n, key, i)
					}
				}
			}
		}
	}
}

// TestKeeper guards against a log from which all snapshots of a zone have
// expired.
func TestKeeper(t *testing.T) {
	s := foldedState(t, epochOf(1, "a", "b"))
	k := NewSnapshotScheduler(s)
	members := []Member{member("a", 1), member("b", 1)}
	due := func(d time.Duration) int {
		n := 0
		for _, m := range members {
			if _, ok := k.Due("bole", m, members, time.Hour, at(d)); ok {
				n++
			}
		}
		return n
	}
	assert.Equal(t, due(0), 0)
	assert.Equal(t, due(FirstSnapshotDelay-1), 0)
	assert.Equal(t, due(FirstSnapshotDelay), 1)
	snap, _ := s.Snapshot("bole")
	apply(t, s, 1, Record{Snapshot: &snap})
	assert.Equal(t, due(time.Minute), 0)
	assert.Equal(t, due(time.Minute+15*time.Minute-1), 0)
	assert.Equal(t, due(time.Minute+15*time.Minute), 1)
}

// Guards against an epoch of a lost history that is taken for, or keeps out, one of the
// present history, and against a zone that proposes none.
func TestEras(t *testing.T) {
	members := []Member{{Name: "a", Incarnation: 1, Address: "a:1", Zone: "z"}}
	encode := func(number, base uint64) []byte {
		data, err := Encode(Record{Epoch: &Epoch{Zone: "z", Number: number, Base: base, Members: members}})
		assert.NilError(t, err)
		return data
	}
	s := NewState()
	s.StartEra(1)
	s.ReachedEnd()
	for i := range uint64(3) {
		base := uint64(0)
		if i > 0 {
			base = firstOf(1) + i - 1
		}
		assert.Equal(t, s.Apply(i, encode(firstOf(1)+i, base)), "z")
	}
	assert.Assert(t, !s.StartEra(1) && s.StartEra(2))
	assert.Assert(t, s.Rereading())
	assert.Equal(t, s.Next, uint64(0))
	assert.Equal(t, s.Apply(0, encode(firstOf(1), 0)), "", "a record that the copy has")
	assert.Equal(t, s.Apply(1, encode(firstOf(1)+1, firstOf(1))), "")
	current, _ := s.Current("z")
	assert.Equal(t, current.Number, firstOf(1)+2, "a lost epoch stays in effect")
	s.ReachedEnd()

	now := time.Unix(1000, 0)
	v := View{
		Zone: "z", Self: members[0], Current: current, Adopted: now, Era: 2, EraSince: now,
		Presences: []Presence{{Member: members[0], Alive: true, Since: now.Add(-time.Minute)}},
	}
	_, ok := Propose(v, now)
	assert.Assert(t, !ok, "other nodes may still learn of the lost epoch")
	next, ok := Propose(v, now.Add(ChangeDelay))
	assert.Assert(t, ok)
	assert.Equal(t, next.Number, firstOf(2))
	assert.Equal(t, next.Base, firstOf(1)+2)
	assert.Equal(t, s.Apply(2, encode(firstOf(2), firstOf(1)+1)), "z", "the first of the era counts whatever its base")
	assert.Equal(t, s.Apply(3, encode(firstOf(2), firstOf(1)+2)), "", "the second doesn't")
	assert.Equal(t, s.Apply(4, encode(firstOf(2)+1, firstOf(2))), "z")
}
