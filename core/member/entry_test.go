package member

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against two nodes that resolve a conflict between two entries
// differently.
func TestCompare(t *testing.T) {
	ordered := []Entry{
		{Incarnation: 1, Version: 1, State: Alive},
		{Incarnation: 1, Version: 1, State: Suspect},
		{Incarnation: 1, Version: 1, State: Dead},
		{Incarnation: 1, Version: 1, State: Left},
		{Incarnation: 1, Version: 2, State: Alive},
		{Incarnation: 2, Version: 1, State: Alive},
	}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, Compare(a, b) > 0, i > j)
			assert.Equal(t, Compare(a, b) == 0, i == j)
		}
	}
}

func drawEntry(t *rapid.T) Entry {
	e := Entry{
		Name:        rapid.SampledFrom([]string{"a", "b", "c", "self"}).Draw(t, "name"),
		Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Version:     rapid.Uint64Range(1, 3).Draw(t, "version"),
		State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
	}
	// What an instance announces is determined by its incarnation and version.
	n := e.Incarnation*10 + e.Version
	e.Addr = fmt.Sprintf("%s%d:1", e.Name, e.Incarnation)
	e.Zone = fmt.Sprintf("z%d", e.Incarnation)
	if n%3 > 0 {
		e.Target = &Target{Service: fmt.Sprintf("s%d", n%2), State: TargetState(n % 3)}
	}
	return e
}

// Guards against a result that depends on the order of packets, and against
// indexes or digests that don't match the entries.
func TestMergeInAnyOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 1, 12).Draw(t, "entries")
		alive := func(e Entry) bool { return !e.State.Gone() }
		// An entry that is gone is not stored for an unknown instance, so the
		// lists start with an alive entry of each.
		for _, name := range []string{"a", "b", "c"} {
			entries = append([]Entry{{Name: name, Version: 0, Addr: "x:1", Zone: "z1"}}, entries...)
		}
		orders := [][]Entry{entries, slices.Concat(entries[:3], rapid.Permutation(entries[3:]).Draw(t, "order"))}
		var machines []*Machine
		for _, order := range orders {
			m := New(Config{Name: "self", Incarnation: 2, Addr: "self:1", Zone: "z1"}, now)
			for _, e := range order {
				m.Receive(now, Packet{From: "x", Zone: "z1", Entries: []Entry{e}})
			}
			machines = append(machines, m)
		}
		a, b := machines[0], machines[1]
		for _, name := range []string{"a", "b", "c"} {
			ea, _ := a.Lookup(name)
			eb, _ := b.Lookup(name)
			assert.DeepEqual(t, ea, eb)
			best := slices.MaxFunc(entries, func(x, y Entry) int {
				if x.Name != name || y.Name != name {
					return map[bool]int{true: 1, false: -1}[x.Name == name]
				}
				return Compare(x, y)
			})
			assert.Equal(t, Compare(ea, best), 0)
		}
		self, _ := a.Lookup("self")
		assert.Assert(t, alive(self) && self.Incarnation == 2, "the local instance was changed by another node")
		for _, m := range machines {
			checkIndexes(t, m)
		}
	})
}

func checkIndexes(t *rapid.T, m *Machine) {
	sums := map[string]uint64{}
	members, targets := 0, 0
	for name, r := range m.table.records {
		sums[r.Zone] ^= r.sum()
		if r.State.Gone() {
			continue
		}
		members++
		assert.Assert(t, slices.Contains(m.Alive(r.Zone), name))
		if r.Target != nil {
			targets++
		}
	}
	for zone, z := range m.table.zones {
		members -= len(m.Alive(zone))
		assert.Equal(t, z.sum, sums[zone])
	}
	for _, service := range m.Services() {
		for _, e := range m.Targets(service) {
			assert.DeepEqual(t, e, m.table.records[e.Name].Entry)
			targets--
		}
	}
	assert.Equal(t, members, 0)
	assert.Equal(t, targets, 0)
}

// Guards against an entry that hides the others of its packet, and against one that is used
// although no node can be at its address.
func TestOddEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	good := func(name string) Entry {
		return Entry{Name: name, Incarnation: 1, Version: 1, Addr: name + ":1", Zone: "y", Target: &Target{Service: "s", Slots: 3}}
	}
	for _, test := range []struct {
		name   string
		change func(*Entry)
	}{
		{"no address", func(e *Entry) { e.Addr = "" }},
		{"no port", func(e *Entry) { e.Addr = "10.0.0.1" }},
		{"port 0", func(e *Entry) { e.Addr = "10.0.0.1:0" }},
		{"port out of range", func(e *Entry) { e.Addr = "10.0.0.1:70000" }},
		{"huge port", func(e *Entry) { e.Addr = "10.0.0.1:99999999999999999999" }},
		{"negative port", func(e *Entry) { e.Addr = "10.0.0.1:-1" }},
		{"no host", func(e *Entry) { e.Addr = ":1" }},
		{"address of other bytes", func(e *Entry) { e.Addr = "\xff\x00" }},
		{"long address", func(e *Entry) { e.Addr = strings.Repeat("h", maxNameBytes) + ":1" }},
		{"no name", func(e *Entry) { e.Name = "" }},
		{"no zone", func(e *Entry) { e.Zone = "" }},
		{"unknown state", func(e *Entry) { e.State = 200 }},
		{"unknown state of the target", func(e *Entry) { e.Target.State = 200 }},
		{"negative slots", func(e *Entry) { e.Target.Slots = -1 }},
		{"long service", func(e *Entry) { e.Target.Service = strings.Repeat("s", maxLabelBytes+1) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := New(Config{Name: "self", Incarnation: 1, Addr: "self:1", Zone: "z"}, now)
			odd := good("b")
			test.change(&odd)
			m.Receive(now, Packet{From: "a", Incarnation: 1, Zone: "y", Addr: odd.Addr, Entries: []Entry{good("a"), odd, good("c")}})
			var names []string
			for _, e := range m.Targets("s") {
				names = append(names, e.Name)
			}
			assert.DeepEqual(t, names, []string{"a", "c"})
			m.Receive(now, Packet{From: "a", Incarnation: 1, Zone: "y", Addr: "a:1", Entries: []Entry{good("d")}})
			assert.Equal(t, len(m.Targets("s")), 3)
		})
	}
}

// Guards against a packet with numbers out of range after which the machine no longer sends, or
// sends without end, or names a peer that can't be dialled.
func TestOddPackets(t *testing.T) {
	const odd = "10.0.0.1:70000"
	for _, test := range []struct {
		name   string
		packet Packet
	}{
		{"offset and address", Packet{Offset: math.MaxUint64, Addr: odd}},
		{"epoch", Packet{Epoch: math.MaxUint64}},
		{"ages", Packet{Digests: []Digest{{Zone: "z", AgeMS: math.MaxInt64}, {Zone: "y", AgeMS: math.MinInt64}, {Zone: "y", AgeMS: math.MaxInt64 / 2}}}},
		{"buckets", Packet{BucketRefs: []BucketRefs{{Zone: "z", Bucket: math.MaxInt}, {Zone: "z", Bucket: math.MinInt}}}},
		{"zone values", Packet{Retired: map[string]uint64{"z": math.MaxUint64, "": 1}, Offsets: map[string]uint64{"y": math.MaxUint64}}},
		{"report", Packet{OffsetReport: &OffsetReport{MembersHash: 1, MinOffset: math.MaxUint64}}},
		{"leaving", Packet{Entries: []Entry{{Name: "c", Incarnation: math.MaxUint64, Version: math.MaxUint64, Addr: "c:1", Zone: "z", Target: &Target{
			Service: "s", Slots: math.MaxInt, LeavingID: "i", LeavingStartedMS: math.MinInt64,
		}}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			m := New(Config{Name: "self", Incarnation: 1, Addr: "self:1", Zone: "z"}, now)
			p := test.packet
			p.From, p.Incarnation, p.Zone = "b", 1, "z"
			reply, out := m.Receive(now, p)
			assert.Assert(t, encodedSize(reply) < 4*maxSyncBytes)
			sent := len(out)
			m.Receive(now, Packet{From: "a", Incarnation: 1, Zone: "z", Entries: []Entry{{Name: "a", Incarnation: 1, Addr: "a:1", Zone: "z", Target: &Target{Service: "s"}}}})
			const seconds = 10
			for range seconds * time.Second / TickInterval {
				now = now.Add(TickInterval)
				sent += len(m.Tick(now))
			}
			assert.Assert(t, sent >= seconds && sent < 20*seconds, "%d messages", sent)
			assert.Assert(t, len(m.Targets("s")) >= 1)
			addr, _ := m.NewerConfigPeer()
			assert.Assert(t, addr != odd)
		})
	}
}

// Guards against generations that don't grow with a change, or that grow
// without one and cause needless work in callers.
func TestGenerations(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{Name: "self", Incarnation: 1, Addr: "self:1", Zone: "z"}, now)
	e := Entry{Name: "a", Incarnation: 1, Version: 1, Addr: "a:1", Zone: "y", Target: &Target{Service: "s"}}
	steps := []struct {
		change             func()
		all, service, zone bool
	}{
		{func() {}, true, true, true},
		{func() { e.Version++; e.Offset = 7 }, false, false, false},
		{func() { e.Version++; e.Target = &Target{Service: "s", State: Draining} }, true, true, true},
		{func() { e.State = Dead }, true, true, true},
		{func() { e.Incarnation++; e.State, e.Target = Alive, nil }, true, false, true},
		{func() { e.Version++; e.Target = &Target{Service: "other"} }, true, false, true},
	}
	for i, step := range steps {
		all, service, zone := m.Generation(), m.ServiceGeneration("s"), m.ZoneGeneration("y")
		step.change()
		m.Receive(now, Packet{From: "a", Zone: "y", Entries: []Entry{e}})
		assert.Equal(t, m.Generation() > all, step.all, "step %d", i)
		assert.Equal(t, m.ServiceGeneration("s") > service, step.service, "step %d", i)
		assert.Equal(t, m.ZoneGeneration("y") > zone, step.zone, "step %d", i)
	}
	assert.Equal(t, len(m.Targets("s")), 0)
	assert.Equal(t, len(m.Targets("other")), 1)
}

// Guards against a packet that crashes the process, causes an unbounded reply,
// or leaves indexes that don't match the entries.
func FuzzReceive(f *testing.F) {
	now := time.Unix(1000, 0)
	e := Entry{Name: "a", Incarnation: 1, Version: 1, Addr: "a:1", Zone: "y", Target: &Target{Service: "s"}}
	for _, p := range []Packet{
		{From: "a", Zone: "y", Entries: []Entry{e, {Name: "self", Incarnation: 9, Addr: "q", Zone: "z"}}},
		{From: "a", Zone: "", Digests: []Digest{{Zone: "z", Sum: 3, AgeMS: -9, Buckets: []uint64{1}}, {Zone: "nowhere"}}},
		{From: "self", BucketRefs: []BucketRefs{{Zone: "z", Bucket: 64}, {Zone: "z", Bucket: -1, Refs: []Ref{{Name: "self"}}}}},
		{From: "a", Addr: "a:70000", Offset: math.MaxUint64, Entries: []Entry{{Name: "b", Incarnation: math.MaxUint64, Addr: "b:-1", Zone: "z"}}},
		{From: "a", Zone: "y", Digests: []Digest{{Zone: "y", AgeMS: math.MaxInt64}}, Entries: []Entry{{
			Name: "b", Version: math.MaxUint64, Addr: "b:1", Zone: "y", Target: &Target{Slots: math.MaxInt, LeavingID: "i", LeavingStartedMS: math.MinInt64},
		}}},
		{Want: []string{"self", "self", ""}, OffsetReport: &OffsetReport{MinOffset: 4}, Retired: map[string]uint64{"": 1}},
	} {
		data, err := msgpack.Marshal(p)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p Packet
		if msgpack.Unmarshal(data, &p) != nil {
			return
		}
		m := New(Config{Name: "self", Incarnation: 1, Addr: "self:1", Zone: "z", Seeds: []string{"a:1"}}, now)
		reply, _ := m.Receive(now, p)
		assert.Assert(t, encodedSize(reply) < 4*maxSyncBytes)
		for i := range 50 {
			for _, s := range m.Tick(now.Add(time.Duration(i) * TickInterval)) {
				m.ReceiveReply(now.Add(time.Duration(i)*TickInterval), s.ID, p)
			}
		}
		self, ok := m.Lookup("self")
		assert.Assert(t, ok && self.State == Alive && self.Incarnation == 1)
	})
}

// Guards against a node that restarts and uses an upstream again that its earlier process
// knew as leaving.
func TestRestartedInstanceLearnsLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		former *Target
		want   string
	}{
		{"leaving", &Target{Service: "s", State: Draining, LeavingID: "i-1"}, "i-1"},
		{"ready", &Target{Service: "s"}, ""},
		{"its node stopped", &Target{Service: "s", State: Draining}, ""},
		{"no upstream", nil, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			peer := New(Config{Name: "peer", Incarnation: 1, Addr: "p:1", Zone: "z"}, now)
			peer.Receive(now, Packet{From: "n", Incarnation: 1, Zone: "z", Entries: []Entry{
				{Name: "n", Incarnation: 1, Version: 1, Addr: "n:1", Zone: "z", Target: test.former},
			}})
			restarted := New(Config{Name: "n", Incarnation: 2, Addr: "n:1", Zone: "z"}, now)
			reply, _ := peer.Receive(now, Packet{From: "n", Incarnation: 2, Zone: "z", Entries: []Entry{restarted.Self()}})
			restarted.ReceiveReply(now, 1, reply)
			got := ""
			if f := restarted.FormerTarget(); f != nil {
				got = f.LeavingID
			}
			assert.Equal(t, got, test.want)
		})
	}
}
