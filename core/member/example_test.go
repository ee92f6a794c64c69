package member_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodsill.org/core/member"
)

// Two nodes of one zone; the second one has the address of the first as its
// seed.
func ExampleMachine() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	a := member.New(member.Config{Name: "a", Incarnation: 1, Addr: "127.0.0.1:7001", Zone: "bole"}, now)
	b := member.New(member.Config{Name: "b", Incarnation: 1, Addr: "127.0.0.1:7002", Zone: "bole", Seeds: []string{"127.0.0.1:7001"}}, now)
	a.Announce(now, &member.Target{Service: "orders", Slots: 70})
	for !b.Joined() {
		now = now.Add(member.TickInterval)
		sends := b.Tick(now)
		for len(sends) > 0 { // a real node sends each packet over its link to s.Addr
			s := sends[0]
			reply, _ := a.Receive(now, *s.Packet)
			sends = append(sends[1:], b.ReceiveReply(now, s.ID, reply)...)
		}
	}
	fmt.Println(b.Alive("bole"))
	for _, e := range b.Targets("orders") {
		fmt.Println(e.Name, e.Addr, e.Target.State)
	}
	// Output:
	// [a b]
	// a 127.0.0.1:7001 ready
}

var sizes = []struct{ zones, nodes int }{{3, 4}, {3, 43}, {15, 647}}

// filledMachine returns a machine that knows a whole fleet.
func filledMachine(zones, nodes int) (*member.Machine, time.Time) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	m := member.New(member.Config{Name: "self", Incarnation: 1, Addr: "127.0.0.1:1", Zone: "zone00"}, now)
	for z := range zones {
		p := member.Packet{From: "x", Zone: fmt.Sprintf("zone%02d", z), Sync: true}
		for i := range nodes {
			p.Entries = append(p.Entries, member.Entry{
				Name: fmt.Sprintf("zone%02d-%03d", z, i), Incarnation: 1, Version: 1, Addr: "127.0.0.1:2", Zone: p.Zone,
				Target: &member.Target{Service: fmt.Sprintf("service%03d", i%310), Slots: 80},
			})
		}
		m.Receive(now, p)
	}
	return m, now
}

func BenchmarkTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.nodes), func(b *testing.B) {
			m, now := filledMachine(size.zones, size.nodes)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(member.TickInterval)
				for _, s := range m.Tick(now) {
					if s.Packet != nil {
						m.ReceiveReply(now, s.ID, member.Packet{From: s.To, Incarnation: 1, Zone: "zone00"})
					}
				}
			}
		})
	}
}

// BenchmarkReceive receives a packet with one changed entry in each iteration.
func BenchmarkReceive(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.nodes), func(b *testing.B) {
			m, now := filledMachine(size.zones, size.nodes)
			e, _ := m.Lookup("zone01-001")
			b.ReportAllocs()
			for b.Loop() {
				e.Version++
				m.Receive(now, member.Packet{From: "zone00-001", Incarnation: 1, Zone: "zone00", Entries: []member.Entry{e}})
			}
		})
	}
}

// BenchmarkTargets reads the targets of a service that doesn't change.
func BenchmarkTargets(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.nodes), func(b *testing.B) {
			m, _ := filledMachine(size.zones, size.nodes)
			for b.Loop() {
				m.Targets("service001")
			}
		})
	}
}
