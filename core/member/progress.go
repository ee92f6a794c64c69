package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The lowest configuration offset of a zone says which configuration is in
// force in all of it. At the target size each change of the configuration
// would otherwise be 9,700 changes of entries. So the members of a zone form a
// tree, by the same order that elects the border instances. Each node tells its
// parent the lowest offset below it, and the root spreads that of the zone.

// progressFanIn is the number of children of a node of the tree.
const progressFanIn = 8

// OffsetReport tells the parent in the tree of a zone the lowest offset of the
// sender and those below it.
type OffsetReport struct {
	MembersHash uint64 `msgpack:"members"` // hash of the member list that the tree is built on
	MinOffset   uint64 `msgpack:"low"`
}

// progress is the place of this node in the tree of its zone.
type progress struct {
	gen      uint64 // zone generation for which the following holds
	members  uint64
	parent   string // empty at the root
	children []string
	reports  map[string]OffsetReport // by child
	sent     OffsetReport            // last report that the parent answered
}

// tree brings the place in the tree up to date.
func (m *Machine) tree() *progress {
	g := &m.progress
	z := m.tab.zone(m.cfg.Zone)
	if g.members != 0 && g.gen == z.gen {
		return g
	}
	g.gen = z.gen
	order := topRanked(m.cfg.Zone, z.names(), len(z.names()))
	var d xxhash.Digest
	for _, name := range order {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	if d.Sum64() == g.members {
		return g
	}
	g.members = max(1, d.Sum64())
	g.reports = keepReports(g.reports, order)
	i := slices.Index(order, m.cfg.Name)
	g.parent, g.children = "", nil
	if i < 0 {
		return g
	}
	if i > 0 {
		g.parent = order[(i-1)/progressFanIn]
	}
	from := min(i*progressFanIn+1, len(order))
	g.children = order[from:min(from+progressFanIn, len(order))]
	return g
}

// keepReports returns the reports of instances that are still members. A child
// may see a new member list before its parent does.
func keepReports(reports map[string]OffsetReport, order []string) map[string]OffsetReport {
	kept := map[string]OffsetReport{}
	for _, name := range order {
		if r, ok := reports[name]; ok {
			kept[name] = r
		}
	}
	return kept
}

// takeReport notes the report of a child.
func (m *Machine) takeReport(p Packet) {
	if p.OffsetReport == nil || p.Zone != m.cfg.Zone {
		return
	}
	g := m.tree()
	if len(g.reports) < maxReports {
		g.reports[p.From] = *p.OffsetReport
	}
	m.progressed()
}

// maxReports bounds the reports kept from nodes that built another tree.
const maxReports = 16 * progressFanIn

// subtreeLow returns the lowest offset of this node and those below it. It
// reports false if a child hasn't reported on the same member list.
func (m *Machine) subtreeLow(g *progress) (uint64, bool) {
	low := m.self.Offset
	for _, child := range g.children {
		r, ok := g.reports[child]
		if !ok || r.MembersHash != g.members {
			return 0, false
		}
		low = min(low, r.MinOffset)
	}
	return low, true
}

// progressed sends a report to the parent if there is news, or spreads it at
// the root.
func (m *Machine) progressed() {
	if m.self.State == Left {
		return
	}
	g := m.tree()
	low, ok := m.subtreeLow(g)
	if !ok {
		return
	}
	if g.parent == "" {
		m.offsets.merge(map[string]uint64{m.cfg.Zone: low}, m.rumorLimit())
		return
	}
	report := OffsetReport{MembersHash: g.members, MinOffset: low}
	if report == g.sent {
		return
	}
	g.sent = report
	p := m.packet()
	p.OffsetReport = &report
	m.send(g.parent, p, pending{kind: kindReport})
}

// ZoneOffset returns an offset of the configuration that every alive and
// suspect member of a zone reached. It reports false if none is known. A member
// that starts later counts once it told its own offset; until then it should
// not serve.
func (m *Machine) ZoneOffset(zone string) (uint64, bool) {
	low, ok := m.offsets.values[zone]
	return low, ok
}

// ahead is the node with the newest configuration that was heard of.
type ahead struct {
	offset uint64
	addr   string // peer address
}

// NewerConfigPeer returns the peer address of a node that told a greater configuration
// offset than that of the local instance.
func (m *Machine) NewerConfigPeer() (addr string, ok bool) {
	return m.ahead.addr, m.ahead.offset > m.self.Offset
}

// tellOffset sends the offset of the local instance to some peers of its zone.
// Each of them that catches up tells others.
func (m *Machine) tellOffset() {
	for _, to := range m.randomPeers(UrgentFanout, m.cfg.Name) {
		m.sendUrgent(nil, to, 1)
	}
}
