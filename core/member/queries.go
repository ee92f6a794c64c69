package member

import (
	"maps"
	"slices"
	"time"
)

// Generation returns a number that grows whenever a target or the set of alive
// members changes. A change of a load hint counts; one of an offset, an epoch
// or a version alone doesn't.
func (m *Machine) Generation() uint64 {
	return m.table.gen
}

// ServiceGeneration returns the generation of the last change of a service's
// targets.
func (m *Machine) ServiceGeneration(service string) uint64 {
	if s, ok := m.table.services[service]; ok {
		return s.gen
	}
	return 0
}

// ZoneGeneration returns the generation of the last change of a zone's members
// or their targets.
func (m *Machine) ZoneGeneration(zone string) uint64 {
	if z, ok := m.table.zones[zone]; ok {
		return z.gen
	}
	return 0
}

// Targets returns the entries of the alive and suspect targets of a service,
// ordered by name, including draining ones. The caller must not change the
// slice. Later changes of the machine don't modify it.
func (m *Machine) Targets(service string) []Entry {
	s, ok := m.table.services[service]
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

// Services returns the sorted names of the services that have targets.
func (m *Machine) Services() []string {
	var names []string
	for name, s := range m.table.services {
		if len(s.targets) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Zones returns the sorted names of the zones that have alive members. The
// caller must not change the slice.
func (m *Machine) Zones() []string {
	return m.table.zoneNames()
}

// Alive returns the sorted names of the alive and suspect members of a zone.
// The caller must not change the slice.
func (m *Machine) Alive(zone string) []string {
	z, ok := m.table.zones[zone]
	if !ok {
		return nil
	}
	return z.aliveNames()
}

// Size returns the number of alive and suspect members of all zones.
func (m *Machine) Size() int {
	n := 0
	for _, z := range m.table.zones {
		n += len(z.alive)
	}
	return n
}

// Lookup returns the entry of an instance, with the latest offset that the
// instance itself sent.
func (m *Machine) Lookup(name string) (Entry, bool) {
	r, ok := m.table.records[name]
	if !ok {
		return Entry{}, false
	}
	e := r.Entry
	e.Offset = max(e.Offset, r.directOffset)
	return e, true
}

// BorderInstances returns the border instances of a zone, highest rank first.
// The caller must not change the slice.
func (m *Machine) BorderInstances(zone string) []string {
	return m.table.borderNames(zone)
}

// ZoneAge returns the time since the last contact with a node of the zone,
// directly or through others. It reports false if there was none. The age of
// the local zone is 0.
func (m *Machine) ZoneAge(now time.Time, zone string) (time.Duration, bool) {
	if zone == m.cfg.Zone {
		return 0, true
	}
	z, ok := m.table.zones[zone]
	if !ok || z.lastHeard.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(z.lastHeard)), true
}

// Retired returns the highest retired epoch of each zone. The caller must not
// change the map.
func (m *Machine) Retired() map[string]uint64 {
	return m.retired.values
}

// Superseded reports whether a newer incarnation of this instance was seen.
// Other nodes then ignore this process. It should exit, or start again with a
// greater incarnation.
func (m *Machine) Superseded() bool {
	return m.superseded
}

// Joined reports whether a synchronisation with a peer has completed at least
// once, or there are no seeds.
func (m *Machine) Joined() bool {
	return m.joined || len(m.cfg.Seeds) == 0
}
