package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The minimum configuration offset of a zone says which configuration is in
// effect at all its members. Reading it from the entries would take 9,700
// changed entries for each change of the configuration at the target size.
// Instead, the members of a zone form a tree, in the same order that selects
// the border instances. Each node reports the minimum offset of its subtree to
// its parent, and the root spreads that of the zone.

// treeFanIn is the maximum number of children of a tree node.
const treeFanIn = 8

// OffsetReport tells the parent in the tree of a zone the minimum offset of the
// sender's subtree.
type OffsetReport struct {
	MembersHash uint64 `msgpack:"members"` // hash of the member list that the tree is built from
	MinOffset   uint64 `msgpack:"low"`
}

// offsetTree is the position of this node in the tree of its zone.
type offsetTree struct {
	gen      uint64 // zone generation that the other fields were computed for
	members  uint64
	parent   string // empty at the root
	children []string
	reports  map[string]OffsetReport // by child
	lastSent OffsetReport            // last report sent to the parent; zero after a timeout
}

// updateTree recomputes the position in the tree if the member list changed.
func (m *Machine) updateTree() *offsetTree {
	t := &m.offsetTree
	z := m.table.ensureZone(m.cfg.Zone)
	if t.members != 0 && t.gen == z.gen {
		return t
	}
	t.gen = z.gen
	order := topRanked(m.cfg.Zone, z.aliveNames(), len(z.aliveNames()))
	var d xxhash.Digest
	for _, name := range order {
		_, _ = d.WriteString(name)
		_, _ = d.Write([]byte{0})
	}
	if d.Sum64() == t.members {
		return t
	}
	t.members = max(1, d.Sum64())
	t.reports = retainReports(t.reports, order)
	i := slices.Index(order, m.cfg.Name)
	t.parent, t.children = "", nil
	if i < 0 {
		return t
	}
	if i > 0 {
		t.parent = order[(i-1)/treeFanIn]
	}
	first := min(i*treeFanIn+1, len(order))
	t.children = order[first:min(first+treeFanIn, len(order))]
	return t
}

// retainReports returns the reports of instances that are still members. A
// child may see a new member list before its parent does, so its report is
// retained.
func retainReports(reports map[string]OffsetReport, order []string) map[string]OffsetReport {
	kept := map[string]OffsetReport{}
	for _, name := range order {
		if r, ok := reports[name]; ok {
			kept[name] = r
		}
	}
	return kept
}

// handleReport stores the report of a child.
func (m *Machine) handleReport(p Packet) {
	if p.OffsetReport == nil || p.Zone != m.cfg.Zone {
		return
	}
	t := m.updateTree()
	if len(t.reports) < maxReports {
		t.reports[p.From] = *p.OffsetReport
	}
	m.reportOffset()
}

// maxReports limits the stored reports, as nodes that built the tree from
// another member list may report here as well.
const maxReports = 16 * treeFanIn

// subtreeMinOffset returns the minimum offset of this node and its subtree. It
// reports false if a child hasn't reported for the same member list.
func (m *Machine) subtreeMinOffset(t *offsetTree) (uint64, bool) {
	lowest := m.self.Offset
	for _, child := range t.children {
		r, ok := t.reports[child]
		if !ok || r.MembersHash != t.members {
			return 0, false
		}
		lowest = min(lowest, r.MinOffset)
	}
	return lowest, true
}

// reportOffset sends the minimum offset of the subtree to the parent if it
// changed. At the root, it spreads the value as that of the zone.
func (m *Machine) reportOffset() {
	if m.self.State == Left {
		return
	}
	t := m.updateTree()
	lowest, ok := m.subtreeMinOffset(t)
	if !ok {
		return
	}
	if t.parent == "" {
		m.offsets.merge(map[string]uint64{m.cfg.Zone: lowest}, m.rumorLimit())
		return
	}
	report := OffsetReport{MembersHash: t.members, MinOffset: lowest}
	if report == t.lastSent {
		return
	}
	t.lastSent = report
	p := m.packet()
	p.OffsetReport = &report
	m.send(t.parent, p, pendingMessage{kind: kindOffsetReport})
}

// ZoneOffset returns an offset of the configuration that every alive and
// suspect member of a zone has reached. It reports false if none is known. A
// member that starts later counts as soon as it has reported its own offset;
// until then it should not serve.
func (m *Machine) ZoneOffset(zone string) (uint64, bool) {
	offset, ok := m.offsets.values[zone]
	return offset, ok
}

// configPeer is the node with the newest configuration that a packet named.
type configPeer struct {
	offset uint64
	addr   string // peer address
}

// NewerConfigPeer returns the peer address of a node with a greater
// configuration offset than that of the local instance.
func (m *Machine) NewerConfigPeer() (addr string, ok bool) {
	return m.newestConfig.addr, m.newestConfig.offset > m.self.Offset
}

// sendOffset sends the offset of the local instance to some peers of its zone.
// Each peer that catches up does the same.
func (m *Machine) sendOffset() {
	for _, to := range m.randomPeers(UrgentFanout, m.cfg.Name) {
		m.sendUrgent(nil, to, 1)
	}
}
