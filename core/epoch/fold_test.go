package epoch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random histories unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// TestFoldFromSnapshot guards against a state that depends on the offset a
// reader started from, on repeated records, or on a snapshot to which newer
// records were added between its creation and its append.
func TestFoldFromSnapshot(t *testing.T) {
	recovered := 0
	rapid.Check(t, func(t *rapid.T) {
		var log [][]byte
		full := NewState()
		snaps := []Snapshot{}
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			zone := rapid.SampledFrom([]string{"arada", "bole"}).Draw(t, "zone")
			cur, _ := full.Current(zone)
			var r Record
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				if snap, ok := full.Snapshot(zone); ok {
					snaps = append(snaps, snap)
				}
				if len(snaps) == 0 {
					continue
				}
				i := rapid.IntRange(max(0, len(snaps)-3), len(snaps)-1).Draw(t, "snapshot")
				r.Snapshot = &snaps[i]
			case 1:
				r.Epoch = &Epoch{Zone: zone, Number: cur.Number, Base: cur.Number - 1, Members: []Member{{Name: "stale", Zone: zone}}}
			default:
				r.Epoch = &Epoch{Zone: zone, Number: cur.Number + 1, Base: cur.Number, RetiredThrough: cur.Number, Members: []Member{{Name: fmt.Sprint(len(log)), Zone: zone}}}
			}
			data, err := Encode(r)
			assert.NilError(t, err)
			full.Apply(uint64(len(log)), data)
			log = append(log, data)
		}
		first := rapid.IntRange(0, len(log)).Draw(t, "first")
		late := NewState()
		late.SkipTo(uint64(first))
		for i := first; i < len(log); i++ {
			late.Apply(uint64(i), log[i])
			late.Apply(uint64(rapid.IntRange(0, i).Draw(t, "repeated")), log[i])
		}
		for _, zone := range []string{"arada", "bole"} {
			if late.HasGap(zone) {
				continue
			}
			if first > 0 && len(full.Epochs(zone)) > 0 {
				recovered++
			}
			got, _ := late.Snapshot(zone)
			want, _ := full.Snapshot(zone)
			assert.DeepEqual(t, got, want)
		}
	})
	assert.Assert(t, recovered > 10, "only %d late readers recovered", recovered)
}

// TestPeerSnapshot guards against a zone with a gap that accepts a snapshot
// which doesn't cover the gap, and against a zone that reverts to an older
// epoch.
func TestPeerSnapshot(t *testing.T) {
	peer := foldedState(t, epochOf(1, "a"), epochOf(2, "a", "b"))
	old, _ := peer.Snapshot("bole")
	e3 := epochOf(3, "b")
	apply(t, peer, 2, Record{Epoch: &e3})
	snap, _ := peer.Snapshot("bole")
	s := foldedState(t, epochOf(1, "a"))
	s.SkipTo(3)
	assert.Assert(t, s.HasGap("bole") && !s.Restore(old))
	assert.Assert(t, s.Restore(snap) && !s.HasGap("bole"))
	assert.Assert(t, !s.Restore(old))
	e, _ := s.Current("bole")
	assert.Equal(t, e.Number, uint64(3))
	assert.Assert(t, !s.HasGap("arada") == false, "the records of an unseen zone may have expired")
	s.ReachedEnd()
	assert.Assert(t, !s.HasGap("arada"))
}

func ExampleEpoch_Slots() {
	e := Epoch{Zone: "bole", Number: 1, Members: []Member{
		{Name: "bole-1", Zone: "bole"}, {Name: "bole-2", Zone: "bole"}, {Name: "bole-3", Zone: "bole"},
	}}
	owners := e.Slots("share/press", 2)
	fmt.Println(len(owners), owners[0].Same(owners[1]))
	// Output: 2 false
}

func ExampleLease() {
	now := time.Unix(0, 0)
	a, b := Member{Name: "a", Zone: "bole"}, Member{Name: "b", Zone: "bole"}
	l := NewLease(a)
	l.Adopt(Epoch{Zone: "bole", Number: 1, Members: []Member{a, b}})
	fmt.Println(l.Valid(now))
	l.RecordConfirmation(ConfirmReply{Zone: "bole", Member: b, Adopted: 1}, now)
	fmt.Println(l.Valid(now.Add(time.Second)), l.Valid(now.Add(LeaseTime)))
	// Output:
	// false
	// true false
}

func BenchmarkSlots(b *testing.B) {
	for _, n := range []int{3, MaxMembers, 650} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("i%03d", i))
			}
			e := epochOf(1, names...)
			for b.Loop() {
				e.Slots("share/press", 2)
			}
		})
	}
}
