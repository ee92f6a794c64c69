package member

import "maps"

// zoneValues holds a number for each zone that only grows: the highest retired
// epoch, or the configuration offset that all members have reached. The values
// spread separately from the entries, as each is the same at all members of a
// zone.
type zoneValues struct {
	values    map[string]uint64 // copied on change, so that callers can keep the map
	sendsLeft map[string]int    // how often the value is still to be sent
	seq       map[string]uint64 // sequence number of the last change
	lastSeq   uint64
}

func newZoneValues() *zoneValues {
	return &zoneValues{values: map[string]uint64{}, sendsLeft: map[string]int{}, seq: map[string]uint64{}}
}

// merge adopts values that are greater than the present ones. Each is then sent
// sends times.
func (z *zoneValues) merge(values map[string]uint64, sends int) {
	for zone, v := range values {
		if v <= z.values[zone] || len(zone) > maxNameBytes {
			continue
		}
		z.values = maps.Clone(z.values)
		z.values[zone] = v
		z.sendsLeft[zone] = sends
		z.lastSeq++
		z.seq[zone] = z.lastSeq
	}
}

// takeUnsent returns the values that are still to be sent and counts them as
// sent once more.
func (z *zoneValues) takeUnsent() map[string]uint64 {
	var values map[string]uint64
	for zone := range z.sendsLeft {
		if values == nil {
			values = map[string]uint64{}
		}
		values[zone] = z.values[zone]
		z.sendsLeft[zone]--
		if z.sendsLeft[zone] <= 0 {
			delete(z.sendsLeft, zone)
		}
	}
	return values
}

// changedAfter returns the value of a zone if it changed after a sequence
// number.
func (z *zoneValues) changedAfter(zone string, after uint64) map[string]uint64 {
	if z.seq[zone] <= after {
		return nil
	}
	return map[string]uint64{zone: z.values[zone]}
}
