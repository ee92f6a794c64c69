package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// complete reports whether every running node knows n alive members.
func complete(nodes []*simNode, n int) bool {
	return all(nodes, func(x *simNode) bool {
		sum := 0
		for _, z := range x.Zones() {
			sum += len(x.Alive(z))
		}
		return sum == n && x.Size() == n
	})
}

// all reports whether a condition holds at every running node.
func all(nodes []*simNode, ok func(*simNode) bool) bool {
	for _, x := range nodes {
		if !x.down && !x.paused && !ok(x) {
			return false
		}
	}
	return true
}

// formedFleet returns a fleet in which every node knows all others.
func formedFleet(t *testing.T, seed uint64, zones, n int) (*network, []*simNode) {
	t.Helper()
	w := newNetwork(seed)
	nodes := w.startFleet(zones, n)
	_, ok := w.runUntil(2*time.Minute, func() bool { return complete(nodes, zones*n) })
	assert.Assert(t, ok, "not every node knows all others")
	return w, nodes
}

func stateAt(x *simNode, name string) State {
	e, ok := x.Lookup(name)
	if !ok {
		return Dead
	}
	return e.State
}

// Guards against nodes that start at the same time and never discover each
// other.
func TestFleetForms(t *testing.T) {
	for _, size := range []int{1, 3, 40} {
		w := newNetwork(1)
		w.loss = 0.1
		nodes := w.startFleet(3, size)
		elapsed, ok := w.runUntil(60*time.Second, func() bool {
			return complete(nodes, 3*size) && all(nodes, func(x *simNode) bool { return x.Joined() })
		})
		assert.Assert(t, ok)
		t.Logf("3 zones of %d: complete after %v", size, elapsed)
	}
}

// Guards against nodes whose replies take longer than ProbeTimeout, as on a busy machine, and that
// therefore never learn of each other.
func TestFleetFormsWithSlowReplies(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		w := newNetwork(1)
		w.delay = delay
		nodes := w.startFleet(3, 5)
		elapsed, ok := w.runUntil(60*time.Second, func() bool {
			return complete(nodes, 15) && all(nodes, func(x *simNode) bool { return x.Joined() })
		})
		assert.Check(t, ok, "%v", delay)
		t.Logf("replies after %v: complete after %v", 2*delay, elapsed)
	}
}

// Guards against traffic that multiplies when replies take longer than ProbeTimeout, which makes
// them take longer still.
func TestSlowRepliesKeepTraffic(t *testing.T) {
	for _, zones := range []int{1, 3} {
		rate := func(delay time.Duration) float64 {
			w, _ := formedFleet(t, 1, zones, 12/zones)
			w.delay = delay
			w.run(30 * time.Second)
			w.messages = 0
			w.run(30 * time.Second)
			return float64(w.messages) / 30 / 12
		}
		fast := rate(0)
		for _, delay := range []time.Duration{150 * time.Millisecond, 250 * time.Millisecond, 350 * time.Millisecond, 450 * time.Millisecond} {
			slow := rate(delay)
			t.Logf("%d zones, replies after %v: %.1f messages/s of each node, %.1f with fast replies", zones, 2*delay, slow, fast)
			assert.Check(t, slow <= 1.25*fast, "%d zones, %v", zones, delay)
		}
	}
}

// Guards against slow replies that make members suspects, and against a failed node that isn't
// detected among them.
func TestKilledNodeIsFoundAmongSlowReplies(t *testing.T) {
	for seed := range uint64(4) {
		w, nodes := formedFleet(t, seed, 1, 20)
		w.delay = 450 * time.Millisecond
		w.run(20 * time.Second)
		for range 300 {
			w.run(100 * time.Millisecond)
			assert.Assert(t, all(nodes, func(x *simNode) bool { return len(x.table.suspects) == 0 }), "a healthy node is suspected")
		}
		killed := nodes[3]
		killed.down = true
		elapsed, ok := w.runUntil(10*time.Second, func() bool {
			return all(nodes, func(x *simNode) bool { return stateAt(x, killed.Self().Name) == Dead })
		})
		t.Logf("declared dead at all nodes after %v", elapsed)
		assert.Check(t, ok)
	}
}

// Guards against a timeout that is shorter than the replies take, and against one that leaves its
// bounds.
func TestReplyTimeout(t *testing.T) {
	ms := func(replies ...int) []time.Duration {
		var out []time.Duration
		for _, r := range replies {
			out = append(out, time.Duration(r)*time.Millisecond)
		}
		return out
	}
	for _, c := range []struct {
		name     string
		replies  []time.Duration
		min, max time.Duration
	}{
		{"none", nil, ProbeTimeout, ProbeTimeout},
		{"fast", ms(1, 2, 1, 30, 1), ProbeTimeout, ProbeTimeout},
		{"slow", ms(400, 400, 400, 400, 400, 400, 400, 400), 450 * time.Millisecond, 600 * time.Millisecond},
		{"uneven", ms(50, 600, 50, 600, 50, 600, 50, 600), 700 * time.Millisecond, MaxProbeTimeout},
		{"slower than the bound", ms(3000, 3000, 3000), MaxProbeTimeout, MaxProbeTimeout},
		{"fast again", append(ms(900, 900, 900), slices.Repeat(ms(2), 30)...), ProbeTimeout, ProbeTimeout},
	} {
		var r replyTimes
		for _, d := range c.replies {
			r.add(d)
		}
		assert.Check(t, c.min <= r.timeout() && r.timeout() <= c.max, "%s: %v", c.name, r.timeout())
	}
}

// Guards against a fleet that one stall of a busy machine overloads for good, because unanswered
// packets cause further ones.
func TestFleetSettlesAfterStall(t *testing.T) {
	for _, c := range []struct {
		zones    int
		handling time.Duration // of one message; 12 nodes handle 48 of them a second in one zone, 84 in three
	}{
		{zones: 1, handling: 3 * time.Millisecond},
		{zones: 1, handling: 4 * time.Millisecond},
		{zones: 3, handling: 3 * time.Millisecond},
		{zones: 3, handling: 4 * time.Millisecond},
	} {
		for seed := range uint64(4) {
			w, nodes := formedFleet(t, seed, c.zones, 12/c.zones)
			w.exchangeTimeout = time.Second
			w.handlingTime = c.handling
			w.run(20 * time.Second)
			w.idleAt = w.now.Add(1500 * time.Millisecond)
			w.run(time.Minute)
			lag := w.idleAt.Sub(w.now)
			w.messages = 0
			w.run(30 * time.Second)
			t.Logf("%d zones, %v for a message: %v behind after 60 s, then %d messages/s", c.zones, c.handling, max(0, lag), w.messages/30)
			assert.Check(t, w.messages <= 100*30, "the traffic stays multiplied")
			assert.Check(t, complete(nodes, 12), "%d zones, %v, seed %d", c.zones, c.handling, seed)
		}
	}
}

// Guards invariant I10: the announcement that a target is draining reaches
// every node of all zones within 3 s, even when messages are lost.
func TestDrainingReachesAll(t *testing.T) {
	var worst time.Duration
	for seed, size := range []int{43, 43, 43, 43, 128} {
		w, nodes := formedFleet(t, uint64(seed), 3, size)
		for _, x := range nodes[:20] {
			w.deliver(x, x.Announce(w.now, &Target{Service: "orders", Slots: 70}))
		}
		w.run(20 * time.Second)
		w.loss = 0.2
		name := nodes[7].Self().Name
		w.deliver(nodes[7], nodes[7].Announce(w.now, &Target{Service: "orders", Slots: 70, State: Draining}))
		elapsed, ok := w.runUntil(10*time.Second, func() bool {
			return all(nodes, func(x *simNode) bool {
				e, ok := x.Lookup(name)
				return ok && e.Target.State == Draining
			})
		})
		assert.Assert(t, ok)
		worst = max(worst, elapsed)
	}
	t.Logf("draining reached all of 129 and 384 nodes after at most %v with 20%% of the messages lost", worst)
	assert.Assert(t, worst <= 3*time.Second, "%v", worst)
}

// Guards against a failed node that is not detected, and against a detected
// failure that does not reach the other zones.
func TestKilledNodeIsDeclaredDead(t *testing.T) {
	w, nodes := formedFleet(t, 2, 3, 20)
	w.loss = 0.05
	killed := nodes[25]
	killed.down = true
	name := killed.Self().Name
	elapsed, ok := w.runUntil(60*time.Second, func() bool {
		return all(nodes, func(x *simNode) bool { return stateAt(x, name) == Dead })
	})
	assert.Assert(t, ok)
	t.Logf("declared dead at all nodes after %v", elapsed)
	assert.Assert(t, elapsed > SuspicionTimeout)
	w.run(time.Minute)
	assert.Assert(t, complete(nodes, 59), "healthy nodes were declared dead because of lost messages")
	w.run(GoneRetention + time.Minute)
	assert.Assert(t, all(nodes, func(x *simNode) bool {
		_, kept := x.Lookup(name)
		return !kept
	}), "the entry of the dead node is never evicted")
}

// Guards against an instance that stays dead after its restart, and against an
// old process that doesn't detect that it was replaced.
func TestRestartWins(t *testing.T) {
	w, nodes := formedFleet(t, 3, 2, 10)
	old := nodes[4]
	old.paused = true
	w.run(20 * time.Second)
	restarted := w.startNode(old.Self().Name, old.Self().Zone, old.cfg.Seeds...)
	nodes[4] = restarted
	_, ok := w.runUntil(20*time.Second, func() bool {
		return all(nodes, func(x *simNode) bool {
			e, _ := x.Lookup(restarted.Self().Name)
			return e.State == Alive && e.Incarnation == restarted.Self().Incarnation
		})
	})
	assert.Assert(t, ok)
	reply, _ := nodes[0].Receive(w.now, *old.packet())
	old.ReceiveReply(w.now, 0, reply)
	assert.Assert(t, old.Superseded())
}

// Guards against a process that was paused and takes its own pause for a
// failure of all others.
func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, 20 * time.Second, 2 * time.Minute} {
		w, nodes := formedFleet(t, 4, 2, 30)
		paused := nodes[3]
		name := paused.Self().Name
		// A suspicion that is refuted while the node is paused.
		suspected := nodes[5].Self()
		suspected.State = Suspect
		paused.Receive(w.now, Packet{From: "x", Zone: suspected.Zone, Entries: []Entry{suspected}})
		paused.paused = true
		w.run(pause)
		paused.paused = false
		for range 100 {
			w.run(100 * time.Millisecond)
			for _, x := range nodes {
				if x != paused {
					assert.Assert(t, stateAt(paused, x.Self().Name) != Dead, "%v: %s", pause, x.Self().Name)
				}
			}
		}
		_, ok := w.runUntil(20*time.Second, func() bool { return complete(nodes, 60) })
		assert.Assert(t, ok, "the paused node did not rejoin")
		assert.Assert(t, all(nodes, func(x *simNode) bool { return stateAt(x, name) == Alive }))
	}
}

// Guards against an isolated node that declares its whole zone dead although
// its own link is at fault.
func TestIsolatedNodeWaits(t *testing.T) {
	w, nodes := formedFleet(t, 5, 1, 30)
	isolated := nodes[3].Self().Name
	w.blocked = func(a, b Entry) bool { return (a.Name == isolated) != (b.Name == isolated) }
	w.run(20 * time.Second)
	w.blocked = nil
	dead := 0
	for _, x := range nodes {
		if x.Self().Name != isolated && stateAt(nodes[3], x.Self().Name) == Dead {
			dead++
		}
	}
	assert.Equal(t, dead, 0)
	_, ok := w.runUntil(time.Minute, func() bool { return complete(nodes, 30) })
	assert.Assert(t, ok)
}

// Guards against a suspicion that lasts too short or too long or ignores a
// refutation, and against a node that declares an instance of another zone
// dead.
func TestSuspicion(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{Name: "self", Incarnation: 1, Addr: "self:1", Zone: "z"}, now)
	receive := func(entries ...Entry) {
		m.Receive(now, Packet{From: "x", Zone: "z", Entries: entries})
	}
	suspect := func(name, zone string) Entry {
		return Entry{Name: name, Incarnation: 1, Version: 1, Addr: name + ":1", Zone: zone, State: Suspect}
	}
	state := func(name string) State {
		e, _ := m.Lookup(name)
		return e.State
	}
	receive(suspect("a", "z"), suspect("b", "z"), suspect("c", "y"))
	for range 29 {
		now = now.Add(TickInterval)
		receive() // the packet keeps the node from being isolated
		m.Tick(now)
		assert.Equal(t, state("a"), Suspect)
	}
	refuted := suspect("b", "z")
	refuted.State, refuted.Version = Alive, 2
	receive(refuted)
	now = now.Add(2 * TickInterval)
	m.Tick(now)
	assert.Equal(t, state("a"), Dead)
	assert.Equal(t, state("b"), Alive)
	assert.Equal(t, state("c"), Suspect)
}

// Guards against suspicion of an instance that announced its leave.
func TestLeftIsNotSuspected(t *testing.T) {
	w, nodes := formedFleet(t, 6, 2, 20)
	x := nodes[3]
	w.deliver(x, x.Leave(w.now))
	w.run(time.Second)
	x.down = true
	name := x.Self().Name
	for range 200 {
		w.run(100 * time.Millisecond)
		assert.Assert(t, all(nodes, func(y *simNode) bool { return stateAt(y, name) != Suspect && stateAt(y, name) != Alive }))
	}
	assert.Assert(t, all(nodes, func(y *simNode) bool { return stateAt(y, name) == Left }))
}

// Guards against a node that missed every packet about a change and never
// learns of it. Digests must repair this after the change is no longer spread.
func TestDigestsRepairMissedChanges(t *testing.T) {
	w, nodes := formedFleet(t, 7, 3, 20)
	w.run(30 * time.Second)
	for _, x := range nodes {
		x.outbox = nil
		if x.Self().Zone == "zone01" || x.Self().Zone == "zone02" {
			continue
		}
		x.Announce(w.now, &Target{Service: "layouts"}) // the returned urgent packets are discarded
		clear(x.rumors)
		clear(x.exchanges)
		x.borderSeq = x.table.seq
	}
	elapsed, ok := w.runUntil(2*time.Minute, func() bool {
		return all(nodes, func(x *simNode) bool { return len(x.Targets("layouts")) == 20 })
	})
	assert.Assert(t, ok)
	t.Logf("repaired after %v", elapsed)
}

// Guards against a partition between zones that removes the entries of the
// other side, and against one that is not repaired after the network recovers.
func TestZonePartition(t *testing.T) {
	w, nodes := formedFleet(t, 8, 3, 15)
	w.blocked = func(a, b Entry) bool { return (a.Zone == "zone00") != (b.Zone == "zone00") }
	w.run(5 * time.Minute)
	assert.Assert(t, complete(nodes, 45), "members were declared dead because of a partition")
	age, ok := nodes[0].ZoneAge(w.now, "zone01")
	assert.Assert(t, ok && age > 4*time.Minute, "%v", age)
	w.deliver(nodes[20], nodes[20].Announce(w.now, &Target{Service: "media"}))
	nodes[40].down = true
	w.run(20 * time.Second)
	w.blocked = nil
	elapsed, ok := w.runUntil(time.Minute, func() bool {
		return complete(nodes, 44) && all(nodes, func(x *simNode) bool { return len(x.Targets("media")) == 1 })
	})
	assert.Assert(t, ok)
	t.Logf("recovered after %v", elapsed)
	w.run(30 * time.Second)
	age, _ = nodes[0].ZoneAge(w.now, "zone01")
	assert.Assert(t, age < 30*time.Second, "%v", age)
}

// Guards against entries of a lost zone that are never evicted.
func TestLostZoneExpires(t *testing.T) {
	w, nodes := formedFleet(t, 9, 2, 3)
	for _, x := range nodes[3:] {
		x.down = true
	}
	w.run(ZoneRetention + time.Minute)
	assert.DeepEqual(t, nodes[0].Zones(), []string{"zone00"})
}

// Guards against retired epochs that don't reach all nodes or that decrease.
func TestRetiredSpreads(t *testing.T) {
	w, nodes := formedFleet(t, 10, 3, 10)
	nodes[0].AnnounceRetired("zone00", 7)
	_, ok := w.runUntil(time.Minute, func() bool {
		return all(nodes, func(x *simNode) bool { return x.Retired()["zone00"] == 7 })
	})
	assert.Assert(t, ok)
	nodes[0].AnnounceRetired("zone00", 5)
	assert.Equal(t, nodes[0].Retired()["zone00"], uint64(7))
}

// Guards against a zone offset that a member has not reached, and against one
// that does not reach the other zones.
func TestZoneOffset(t *testing.T) {
	w, nodes := formedFleet(t, 12, 3, 100)
	zoneOffsetIs := func(offset uint64) func() bool {
		return func() bool {
			return all(nodes, func(x *simNode) bool {
				got, _ := x.ZoneOffset("zone01")
				return got == offset
			})
		}
	}
	for _, x := range nodes {
		w.deliver(x, x.SetProgress(w.now, 5, 1))
	}
	w.loss = 0.1
	elapsed, ok := w.runUntil(time.Minute, zoneOffsetIs(5))
	assert.Assert(t, ok)
	t.Logf("zone offset reached all nodes after %v", elapsed)
	for _, x := range nodes {
		if x != nodes[150] {
			w.deliver(x, x.SetProgress(w.now, 6, 1))
		}
	}
	nodes[160].down = true // forces the tree to be rebuilt
	_, early := w.runUntil(30*time.Second, func() bool {
		return !all(nodes, func(x *simNode) bool { got, _ := x.ZoneOffset("zone01"); return got <= 5 })
	})
	assert.Assert(t, !early, "the zone offset is ahead of a member")
	nodes[150].down = true
	_, ok = w.runUntil(time.Minute, zoneOffsetIs(6))
	assert.Assert(t, ok, "a dead member blocks the zone offset")
}

// Guards the traffic limit at the target size: 647 nodes in a zone and 15 zones
// with one change a minute each.
func TestSteadyTraffic(t *testing.T) {
	w := newNetwork(11)
	nodes := w.startFleet(1, 647)
	for z := 1; z < 15; z++ {
		for i := range 5 {
			nodes = append(nodes, w.startNode(fmt.Sprintf("zone%02d-%03d", z, i), fmt.Sprintf("zone%02d", z), "zone00-000:1"))
		}
	}
	known := Packet{Sync: true}
	for _, x := range nodes {
		known.Entries = append(known.Entries, x.Self())
	}
	for _, x := range nodes {
		x.Receive(w.now, known)
		clear(x.rumors)
	}
	w.run(10 * time.Second)
	assert.Assert(t, complete(nodes, 647+14*5))
	w.counting = true
	for z := range 15 {
		x := nodes[20]
		if z > 0 {
			x = nodes[647+(z-1)*5]
		}
		target := &Target{Service: fmt.Sprintf("service%03d", z), Labels: map[string]string{"tier": "front"}, Slots: 80}
		w.deliver(x, x.Announce(w.now, target))
		if z%5 == 0 { // a configuration change; the target size has 3 a minute
			for _, y := range nodes {
				w.deliver(y, y.SetProgress(w.now, uint64(100+z), 3))
			}
		}
		w.run(4 * time.Second)
	}
	borders := nodes[0].BorderInstances("zone00")
	var sum, worst, border float64
	for _, x := range nodes[:647] {
		name := x.Self().Name
		rate := float64(w.sent[name]+w.received[name]) / 60
		sum += rate
		worst = max(worst, rate)
	}
	for _, name := range borders {
		border = max(border, float64(w.sent[name]+w.received[name])/60)
	}
	t.Logf("packet without entries %d B, entry %d B, digests of 15 zones %d B",
		encodedSize(nodes[0].packet()), nodes[0].table.records[nodes[20].Self().Name].size, encodedSize(nodes[0].digests()))
	t.Logf("sent and received: mean %.0f B/s, worst node %.0f B/s, border instance %.0f B/s", sum/647, worst, border)
	assert.Assert(t, worst < 6000)
}

// Guards invariant I12 in zones where few nodes read the log: a change reaches
// every node even when most readers are down and messages are lost.
func TestChangeReachesAllNodes(t *testing.T) {
	const (
		bound    = 2 * time.Second       // the smallest bound that a site configures
		pullTime = 20 * time.Millisecond // from the packet that names the offset to the loaded configuration
	)
	var worst time.Duration
	for seed, size := range []int{9, 19, 128, 647} {
		w, nodes := formedFleet(t, uint64(seed), 1, size)
		for _, x := range nodes {
			w.deliver(x, x.SetProgress(w.now, 1, 1))
		}
		w.run(5 * time.Second)
		w.loss = 0.1
		nodes[1].down, nodes[2].down = true, true
		w.deliver(nodes[0], nodes[0].SetProgress(w.now, 2, 1))
		pulling := map[*simNode]bool{}
		elapsed, ok := w.runUntil(bound, func() bool {
			for _, x := range nodes {
				if _, ahead := x.NewerConfigPeer(); ahead && !x.down && !pulling[x] {
					pulling[x] = true
					w.schedule(pullTime, func() { w.deliver(x, x.SetProgress(w.now, 2, 1)) })
				}
			}
			return all(nodes, func(x *simNode) bool { return x.Self().Offset == 2 })
		})
		assert.Assert(t, ok, "%d nodes: some lack the change after %v", size, elapsed)
		worst = max(worst, elapsed)
	}
	t.Logf("change reached all of 9 to 647 nodes after at most %v", worst)
}

// Guards against a node that stays alone for long because it read the directory first: the
// others know its address, but talk to each other.
func TestEachNewSeedIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Config{Name: "a", Incarnation: 1, Addr: "a:1", Zone: "z"}, now)
	m.SetSeeds([]string{"a:1", "b:1", "c:1", "d:1"})
	tried := map[string]bool{}
	for range 5 * int(GossipInterval/TickInterval) {
		now = now.Add(TickInterval)
		for _, msg := range m.Tick(now) {
			tried[msg.Addr] = true
			if msg.Addr == "b:1" { // only this one responds
				b := Entry{Name: "b", Incarnation: 1, Version: 1, Addr: "b:1", Zone: "z"}
				m.ReceiveReply(now, msg.ID, Packet{From: "b", Incarnation: 1, Addr: "b:1", Zone: "z", Entries: []Entry{b}})
			}
		}
	}
	assert.DeepEqual(t, tried, map[string]bool{"b:1": true, "c:1": true, "d:1": true})
}
