package store

import (
	"context"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/frame"
)

// zoneSource is a source with a configuration that also reads which zones are evacuated.
type zoneSource struct {
	readings []evac.Reading
}

// Next implements Source.
func (s *zoneSource) Next(context.Context, time.Duration) (*config.Snapshot, uint64, error) {
	return &config.Snapshot{Offset: 3}, 3, nil
}

// TakeEvacuations implements EvacuationSource.
func (s *zoneSource) TakeEvacuations() []evac.Reading {
	taken := s.readings
	s.readings = nil
	return taken
}

// Guards against a reply that its receiver can't decode, which would cut off all followers while a
// zone is evacuated, and against one that loses the state on the way.
func TestZonesReachPeer(t *testing.T) {
	now := time.Now()
	src := &zoneSource{}
	reader, follower := New(), New()
	follower.RequireEvacuations()
	var begun []string
	follower.OnEvacuation(func(before, after evac.State) { begun, _ = evac.Differences(before, after) })
	for _, zone := range []string{"a", "b"} {
		src.readings = append(src.readings, evac.Reading{Era: 2, Next: 7, Full: true, Changes: []evac.Change{{Offset: 6, Zone: zone, Evacuated: true}}})
	}
	assert.NilError(t, reader.ReadSource(t.Context(), src, 0))
	data, err := msgpack.Marshal(reader.Records(RecordsRequest{}, now))
	assert.NilError(t, err)
	var reply RecordsReply
	assert.NilError(t, frame.Decode(data, &reply))
	follower.ApplyPeerReply(reply, false, now, now)
	state, gen := follower.Evacuation()
	assert.Assert(t, state.Evacuated("a") && state.Evacuated("b") && state.Era == 2 && state.Offset == 7 && gen == 1, "%+v", state)
	assert.Equal(t, len(begun), 2)
	assert.Assert(t, follower.Current() != nil)
}

// Guards against a node that serves before it knows which zones are evacuated.
func TestConfigurationWaitsForZones(t *testing.T) {
	s := New()
	s.RequireEvacuations()
	src := &zoneSource{}
	assert.NilError(t, s.ReadSource(t.Context(), src, 0))
	assert.Assert(t, s.Current() == nil)
	src.readings = []evac.Reading{{Era: 1, Next: 4, Full: true}}
	assert.NilError(t, s.ReadSource(t.Context(), src, 0))
	assert.Assert(t, s.Current() != nil)
}
