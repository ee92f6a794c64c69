package member

import (
	"maps"
	"slices"
	"time"
)

// Generation returns a number that grows whenever a target or the set of alive
// members changes. Load hints count; offsets, epochs and versions don't.
func (m *Machine) Generation() uint64 {
	return m.tab.gen
}

// ServiceGeneration returns the generation of the last change of a service's
// targets.
func (m *Machine) ServiceGeneration(service string) uint64 {
	if s, ok := m.tab.services[service]; ok {
		return s.gen
	}
	return 0
}

// ZoneGeneration returns the generation of the last change of a zone's members
// or their targets.
func (m *Machine) ZoneGeneration(zone string) uint64 {
	if z, ok := m.tab.zones[zone]; ok {
		return z.gen
	}
	return 0
}

// Targets returns the entries of the alive and suspect targets of a service,
// ordered by name, draining ones included. The caller must not change the
// slice; it stays as it is when the machine changes.
func (m *Machine) Targets(service string) []Entry {
	s, ok := m.tab.services[service]
	if !ok {
		return nil
	}
	if s.list == nil {
		for _, name := range slices.Sorted(maps.Keys(s.targets)) {
			s.list = append(s.list, s.targets[name].Entry)
		}
	}
	return s.list
}

// Services returns the services that have targets, in order.
func (m *Machine) Services() []string {
	var names []string
	for name, s := range m.tab.services {
		if len(s.targets) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Zones returns the zones that have alive members, in order. The caller must
// not change the slice.
func (m *Machine) Zones() []string {
	return m.tab.zoneNames()
}

// Alive returns the names of the alive and suspect members of a zone in order.
// The caller must not change the slice.
func (m *Machine) Alive(zone string) []string {
	z, ok := m.tab.zones[zone]
	if !ok {
		return nil
	}
	return z.names()
}

// Size returns the number of alive and suspect members of all zones.
func (m *Machine) Size() int {
	n := 0
	for _, z := range m.tab.zones {
		n += len(z.alive)
	}
	return n
}

// Lookup returns the entry of an instance.
func (m *Machine) Lookup(name string) (Entry, bool) {
	r, ok := m.tab.records[name]
	if !ok {
		return Entry{}, false
	}
	e := r.Entry
	e.Offset = max(e.Offset, r.direct)
	return e, true
}

// BorderInstances returns the border instances of a zone, highest rank first.
// The caller must not change the slice.
func (m *Machine) BorderInstances(zone string) []string {
	return m.tab.borderNames(zone)
}

// ZoneAge returns the time since a node of the zone was last heard of, directly
// or through others. It reports false for a zone that was never heard of. The
// age of the own zone is 0.
func (m *Machine) ZoneAge(now time.Time, zone string) (time.Duration, bool) {
	if zone == m.cfg.Zone {
		return 0, true
	}
	z, ok := m.tab.zones[zone]
	if !ok || z.heard.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(z.heard)), true
}

// Retired returns the highest retired epoch of each zone. The caller must not
// change the map.
func (m *Machine) Retired() map[string]uint64 {
	return m.retired.values
}

// Superseded reports whether a newer incarnation of this instance was seen.
// Other nodes then ignore this one; the process should end, or start again with
// a greater incarnation.
func (m *Machine) Superseded() bool {
	return m.superseded
}

// Joined reports whether the state of a peer was taken over completely at least
// once, or no peer is known.
func (m *Machine) Joined() bool {
	return m.joined || len(m.cfg.Seeds) == 0
}
