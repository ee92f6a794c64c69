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

// list returns an epoch of zone bole with members of incarnation 1.
func list(number uint64, names ...string) Epoch {
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

func folded(t *testing.T, epochs ...Epoch) *State {
	s := NewState()
	for i, e := range epochs {
		assert.Equal(t, apply(t, s, uint64(i), Record{Epoch: &e}), e.Zone)
	}
	return s
}

// TestLease guards against leases that outlive the promises of a majority.
func TestLease(t *testing.T) {
	five := list(1, "a", "b", "c", "d", "e")
	for _, c := range []struct {
		name    string
		replies []ConfirmReply
		want    time.Duration // validity after the sending; 0 for no lease
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

// TestLeaseAdopt guards against confirmations that count for a member that left
// or restarted, and against a gap for those that stay.
func TestLeaseAdopt(t *testing.T) {
	l := NewLease(member("a", 1))
	l.Adopt(list(1, "a", "b", "c"))
	l.RecordConfirmation(ConfirmReply{Zone: "bole", Member: member("b", 1), Adopted: 1}, start)
	l.Adopt(list(2, "a", "b", "d"))
	assert.Assert(t, l.Valid(at(time.Second)), "b stands by both epochs")
	l.Adopt(list(1, "a", "b", "c"))
	assert.Equal(t, l.Epoch().Number, uint64(2), "a lease never goes back")
	e := list(3, "a", "c")
	e.Members = append(e.Members, member("b", 2))
	l.Adopt(e)
	assert.Assert(t, !l.Valid(at(time.Second)), "b restarted")
}

// TestRetired guards against a successor that starts while the holder before
// may still have a lease.
func TestRetired(t *testing.T) {
	wait := LeaseTime + DriftMargin
	for _, c := range []struct {
		name    string
		observe func(*Tracker)
		want    uint64 // after wait
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
			tr := NewTracker(folded(t, list(1, "a", "b", "c"), list(2, "a", "b", "d")))
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
// retired, and against a gap for an owner that stays.
func TestMayUse(t *testing.T) {
	for _, c := range []struct {
		owners  []string
		retired uint64
		want    bool
		kept    bool // state from epoch 1 is exact
	}{
		{[]string{"a", "a", "a"}, 0, true, true},
		{[]string{"b", "a", "a"}, 0, false, true},
		{[]string{"b", "a", "a"}, 1, true, true},
		{[]string{"a", "b", "a"}, 1, false, false},
		{[]string{"a", "b", "a"}, 2, true, false},
		{[]string{"a", "a", "b"}, 3, false, false},
	} {
		t.Run(fmt.Sprint(c.owners, c.retired), func(t *testing.T) {
			s := folded(t, list(1, "a", "b"), list(2, "a", "b", "c"), list(3, "a", "b"))
			tr := NewTracker(s)
			tr.MergeRetired("bole", c.retired)
			assert.Equal(t, tr.MayUse(member("a", 1), ownerFrom(c.owners...), start), c.want)
			assert.Equal(t, s.OwnedSince(member("a", 1), ownerFrom(c.owners...), 1), c.kept)
			assert.Assert(t, !tr.MayUse(member("a", 2), ownerFrom(c.owners...), start), "another process")
		})
	}
}

// TestApplyRejects guards against folds that differ between nodes or go back.
func TestApplyRejects(t *testing.T) {
	twice := list(2, "a", "b")
	twice.Members = append(twice.Members, member("b", 2))
	foreign := list(2, "a")
	foreign.Members[0].Zone = "arada"
	for _, c := range []struct {
		name string
		e    Epoch
	}{
		{"stale base", list(1, "z")},
		{"skipped number", list(3, "z")},
		{"no members", list(2)},
		{"name twice", twice},
		{"member of another zone", foreign},
		{"retires itself", Epoch{Zone: "bole", Number: 2, Base: 1, RetiredThrough: 2, Members: []Member{member("a", 1)}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := folded(t, list(1, "a", "b"))
			assert.Equal(t, apply(t, s, 1, Record{Epoch: &c.e}), "")
			next := list(2, "b")
			assert.Equal(t, apply(t, s, 0, Record{Epoch: &next}), "", "an older offset")
			assert.Equal(t, apply(t, s, 2, Record{Epoch: &next}), "bole")
			assert.Equal(t, s.Apply(3, []byte("{")), "")
		})
	}
}

// TestPropose guards against epochs that come too often, drop members on thin
// evidence, or could never be retired.
func TestPropose(t *testing.T) {
	gone := func(name string, since time.Duration) Presence {
		return Presence{Member: member(name, 1), Since: at(since)}
	}
	alive := func(name string, incarnation uint64, since time.Duration) Presence {
		return Presence{Member: member(name, incarnation), Alive: true, Since: at(since)}
	}
	old := -time.Hour
	a, b, c := alive("a", 1, old), alive("b", 1, old), alive("c", 1, old)
	for _, tc := range []struct {
		name    string
		current Epoch
		earlier []Epoch
		adopted time.Duration
		seen    []Presence
		want    string // members with incarnations
	}{
		{"no change", list(1, "a", "b", "c"), nil, old, []Presence{a, b, c}, ""},
		{"lost member", list(1, "a", "b", "c"), nil, old, []Presence{a, b, gone("c", -2*time.Second)}, "a1 b1"},
		{"lost just now", list(1, "a", "b", "c"), nil, old, []Presence{a, b, gone("c", -700*time.Millisecond)}, ""},
		{"restart", list(1, "a", "b", "c"), nil, old, []Presence{a, b, alive("c", 2, -2*time.Second)}, "a1 b1 c2"},
		{"join", list(1, "a", "b"), nil, old, []Presence{a, b, alive("c", 1, -2*time.Second)}, "a1 b1 c1"},
		{"batch", list(1, "a", "b", "c"), nil, old, []Presence{a, b, gone("c", -2*time.Second), alive("d", 1, -600*time.Millisecond)}, "a1 b1 d1"},
		{"unsettled join waits", list(1, "a", "b", "c"), nil, old, []Presence{a, b, gone("c", -2*time.Second), alive("d", 1, -time.Millisecond)}, "a1 b1"},
		{"rate limit", list(1, "a", "b", "c"), nil, -4 * time.Second, []Presence{a, b, gone("c", -2*time.Second)}, ""},
		{"majority lost", list(1, "a", "b", "c"), nil, old, []Presence{a, gone("b", old), gone("c", old)}, ""},
		{"majority restarted", list(1, "a", "b", "c"), nil, old, []Presence{a, alive("b", 2, old), alive("c", 2, old)}, "a1 b2 c2"},
		{"majority of an unretired epoch lost", list(2, "a", "b", "c"), []Epoch{list(1, "x", "y", "c")}, old, []Presence{a, b, gone("c", old)}, ""},
		{"first epoch", Epoch{}, nil, old, []Presence{a, b}, "a1 b1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, appending := "", 0
			for _, self := range []string{"a", "b", "c", "d"} {
				v := View{
					Zone: "bole", Self: member(self, 1), Started: at(old), Current: tc.current,
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

// TestSlots guards against moves of slots whose owner stays, and against the
// loss of two slots with one instance.
func TestSlots(t *testing.T) {
	for _, n := range []int{2, 3, 4, 10, 25} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("i%02d", i))
		}
		for k := range 200 {
			key := fmt.Sprint("share/", k)
			before := list(1, names...).Slots(key, 2)
			assert.Assert(t, !before[0].Same(before[1]))
			for lost := range names {
				if n == 2 {
					break
				}
				rest := append(append([]string{}, names[:lost]...), names[lost+1:]...)
				for i, m := range list(2, rest...).Slots(key, 2) {
					if before[i].Name != names[lost] {
						assert.Equal(t, m.Name, before[i].Name, "%d members, key %s, slot %d", n, key, i)
					}
				}
			}
		}
	}
}

// TestKeeper guards against a log from which the snapshots of a zone expire.
func TestKeeper(t *testing.T) {
	s := folded(t, list(1, "a", "b"))
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
