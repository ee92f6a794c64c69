package evac

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000_000, 0)

func at(s float64) time.Time {
	return start.Add(time.Duration(s * float64(time.Second)))
}

// full returns a read of the newest records, and read one of records from the offset next-1 on.
func full(era, next uint64, zones ...string) Reading {
	r := Reading{Era: era, Next: next, Full: true}
	for _, z := range zones {
		r.Changes = append(r.Changes, Change{Offset: next - 1, Zone: z, Evacuated: true})
	}
	return r
}

func read(era, next uint64, zone string, evacuated bool) Reading {
	return Reading{Era: era, Next: next, Changes: []Change{{Offset: next - 1, Zone: zone, Evacuated: evacuated}}}
}

func peer(era, offset uint64, zones ...string) State {
	s := State{Era: era, Offset: offset, Zones: map[string]time.Time{}}
	for _, z := range zones {
		s.Zones[z] = start
	}
	return s
}

// Guards against a state that is replaced by an older one, and against an evacuation that is lost or
// goes on, after one failure each.
func TestTracker(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(k *Tracker)
		want  string // evacuated zones; "unknown" without a state
	}{
		{"nothing read", func(*Tracker) {}, "unknown"},
		{"records alone", func(k *Tracker) { k.ApplyReading(read(1, 5, "a", true), start, start) }, "unknown"},
		{"begun before the start", func(k *Tracker) { k.ApplyReading(full(1, 5, "a"), start, start) }, "a"},
		{"begun and cancelled", func(k *Tracker) {
			k.ApplyReading(full(1, 5), start, start)
			k.ApplyReading(read(1, 6, "a", true), start, start)
			k.ApplyReading(read(1, 7, "b", true), start, start)
			k.ApplyReading(read(1, 8, "a", false), start, start)
		}, "b"},
		{"records are read again", func(k *Tracker) {
			k.ApplyReading(full(1, 5), start, start)
			k.ApplyReading(read(1, 6, "a", true), start, start)
			k.ApplyReading(read(1, 7, "a", false), start, start)
			k.ApplyReading(read(1, 6, "a", true), start, start)
		}, ""},
		{"peer is older", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.Merge(peer(1, 6), start)
		}, "a"},
		{"peer is newer", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.Merge(peer(1, 8, "b"), start)
		}, "b"},
		{"the reader failed before it read that; another one is heard", func(k *Tracker) {
			k.Merge(peer(1, 7), start)
			k.Merge(peer(1, 8, "a"), start)
			k.Merge(peer(1, 7), start)
		}, "a"},
		{"slow read that a peer overtook", func(k *Tracker) {
			k.ApplyReading(full(1, 7), start, start)
			k.Merge(peer(1, 9, "a"), start)
			k.ApplyReading(read(1, 8, "b", true), start, start)
		}, "a"},
		{"read that contains what a peer told", func(k *Tracker) {
			k.ApplyReading(full(1, 7), start, start)
			k.Merge(peer(1, 8), start) // begun and cancelled by then
			k.ApplyReading(Reading{Era: 1, Next: 9, Changes: []Change{{7, "a", true}, {8, "b", true}}}, start, start)
		}, "b"},
		{"the log came back from a copy without the record", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.ApplyReading(full(2, 5), at(5), start)
		}, "a"},
		{"and the evacuation is cancelled", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.ApplyReading(full(2, 5), at(5), start)
			k.ApplyReading(read(2, 6, "a", false), at(6), start)
		}, ""},
		{"node that was cut off for long before that", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.ApplyReading(full(2, 5), at(60), start)
		}, ""},
		{"node of an earlier era", func(k *Tracker) {
			k.ApplyReading(full(2, 5, "a"), start, start)
			k.Merge(peer(1, 70), start)
		}, "a"},
		{"two readers of a new era, one of them new", func(k *Tracker) {
			k.Merge(peer(2, 5), start)
			k.Merge(peer(2, 5, "a"), start)
			k.Merge(peer(2, 5), start)
		}, "a"},
		{"records were deleted from the log", func(k *Tracker) {
			k.ApplyReading(full(1, 7, "a"), start, start)
			k.ApplyReading(full(1, 70, "b"), start, start)
		}, "b"},
	} {
		var k Tracker
		c.steps(&k)
		s, known := k.State()
		got := strings.Join(slices.Sorted(maps.Keys(s.Zones)), ",")
		if !known {
			got = "unknown"
		}
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against nodes that differ for good once they have exchanged their states, whatever each has
// read of the log and in which order they heard of each other.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := []Change{}
		nodes := make([]Tracker, 4)
		for i := range nodes {
			nodes[i].ApplyReading(full(1, 0), start, start)
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				records = append(records, Change{uint64(len(records)), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated")})
			case 1:
				from := rapid.IntRange(0, len(records)).Draw(t, "from")
				next := rapid.IntRange(from, len(records)).Draw(t, "next") // others may have read more since
				before, _ := nodes[i].State()
				if uint64(from) <= before.Offset { // a source never skips records
					nodes[i].ApplyReading(Reading{Era: 1, Next: uint64(next), Changes: records[from:next]}, start, start)
				}
				after, _ := nodes[i].State()
				assert.Assert(t, after.Compare(before) >= 0)
			default:
				s, _ := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")].State()
				before, _ := nodes[i].State()
				nodes[i].Merge(s, start)
				after, _ := nodes[i].State()
				assert.Assert(t, after.Compare(before) >= 0)
			}
		}
		nodes[0].ApplyReading(Reading{Era: 1, Next: uint64(len(records)), Changes: records}, start, start)
		newest, _ := nodes[0].State()
		want := map[string]bool{}
		for _, c := range records {
			want[c.Zone] = c.Evacuated
		}
		for i := range nodes {
			nodes[i].Merge(newest, start)
			s, _ := nodes[i].State()
			for _, zone := range []string{"a", "b"} {
				assert.Equal(t, s.Evacuated(zone), want[zone])
			}
		}
	})
}

// Guards against a node that resumes and decides with what it knew before its suspension, and against
// one that refuses calls because its state isn't confirmed often.
func TestWatch(t *testing.T) {
	for _, c := range []struct {
		name  string
		ticks []float64
		asOf  float64 // of the state
		now   float64
		want  bool
	}{
		{"runs", []float64{0, 0.25, 0.5, 0.75}, 0, 1, false},
		{"runs, old state", []float64{0, 1, 2, 3, 4, 5, 6, 7, 8}, 0, 9, false},
		{"held up for a short time", []float64{0, 2.4}, 0, 2.4, false},
		{"resumed", []float64{0, 10}, 0, 10, true},
		{"resumed, decides before its task runs", []float64{0}, 0, 10, true},
		{"resumed, state confirmed", []float64{0, 10}, 10, 10.1, false},
		{"resumed, confirmation was under way", []float64{0, 10}, 9.9, 10.1, true},
		{"resumed, no confirmation comes", []float64{0, 10, 11}, 0, 12, false},
	} {
		var w Watch
		for _, s := range c.ticks {
			w.Tick(at(s))
		}
		w.Tick(at(c.now))
		assert.Equal(t, w.Stale(at(c.now), at(c.asOf)), c.want, c.name)
	}
}
