package store

import (
	"time"

	"dogwoodsill.org/core/evac"
)

// EvacuationSource is a Source that also reads which zones are evacuated.
type EvacuationSource interface {
	Source
	// TakeEvacuations returns what the calls of Next have read since it was called last, oldest
	// first. They may have read something even if Next failed.
	TakeEvacuations() []evac.Reading
}

// RequireEvacuations keeps the first configuration from taking effect until the evacuated zones are
// known too. It must be called before the background tasks start.
func (s *Store) RequireEvacuations() {
	s.needsZones = true
}

// OnEvacuation registers f to be called before a change of the evacuated zones takes effect. It must
// be called before the background tasks start. f must not call the store.
func (s *Store) OnEvacuation(f func(before, after evac.State)) {
	s.onZones = append(s.onZones, f)
}

// Evacuation returns which zones are evacuated, and a number that changes with them.
func (s *Store) Evacuation() (evac.State, uint64) {
	if z := s.zones.Load(); z != nil {
		return z.State, z.gen
	}
	return evac.State{}, 0
}

// EvacuationKnown returns the time at which the evacuated zones were last known, and false if they
// never were.
func (s *Store) EvacuationKnown() (asOf time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok = s.tracker.State()
	return s.tracker.AsOf(), ok
}

// zonesInEffect is the state of the zones in effect.
type zonesInEffect struct {
	evac.State
	gen uint64
}

// ZonesReply is a state of the zones as it is sent to peers.
type ZonesReply struct {
	Era     uint64           `msgpack:"era"`
	Offset  uint64           `msgpack:"offset"`
	SinceMS map[string]int64 `msgpack:"since"` // evacuated zones with Unix times in milliseconds; frame.Decode accepts no other form of a time
}

func newZonesReply(s evac.State) *ZonesReply {
	z := &ZonesReply{Era: s.Era, Offset: s.Offset, SinceMS: map[string]int64{}}
	for zone, since := range s.Zones {
		z.SinceMS[zone] = since.UnixMilli()
	}
	return z
}

// state returns the state of a reply, nil if z is nil.
func (z *ZonesReply) state() *evac.State {
	if z == nil {
		return nil
	}
	s := &evac.State{Era: z.Era, Offset: z.Offset, Zones: map[string]time.Time{}}
	for zone, ms := range z.SinceMS {
		s.Zones[zone] = time.UnixMilli(ms)
	}
	return s
}

// applyReadings applies the reads of a source that were sent at the given time. The caller holds mu.
func (s *Store) applyReadings(list []evac.Reading, sent time.Time) {
	changed := false
	for _, r := range list {
		changed = s.tracker.ApplyReading(r, sent, time.Now()) || changed
	}
	s.publishZones(changed)
}

// mergeZones applies the state of a peer, nil if the peer knows none. The caller holds mu.
func (s *Store) mergeZones(z *evac.State, asOf time.Time) {
	if z != nil {
		s.publishZones(s.tracker.Merge(*z, asOf))
	}
}

// publishZones puts the state of the tracker into effect. The caller holds mu.
func (s *Store) publishZones(changed bool) {
	if !changed {
		return
	}
	before, gen := s.Evacuation()
	after, _ := s.tracker.State()
	begun, ended := evac.Differences(before, after)
	if len(begun)+len(ended) > 0 {
		for _, f := range s.onZones {
			f(before, after)
		}
		gen++
	}
	s.zones.Store(&zonesInEffect{State: after, gen: gen})
	s.announce()
}
