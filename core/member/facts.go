package member

import "maps"

// facts are numbers that only grow, one for each zone: the highest retired
// epoch, or the configuration offset that all members have reached. They spread
// by themselves and not with entries, as each is the same at all members.
type facts struct {
	values map[string]uint64 // replaced when it changes, never written
	ttl    map[string]int    // times that the value is still sent
	seq    map[string]uint64 // number of the last change
	last   uint64
}

func newFacts() *facts {
	return &facts{values: map[string]uint64{}, ttl: map[string]int{}, seq: map[string]uint64{}}
}

// merge takes over greater values, each to be sent ttl times.
func (f *facts) merge(values map[string]uint64, ttl int) {
	for zone, v := range values {
		if v <= f.values[zone] || len(zone) > maxNameBytes {
			continue
		}
		f.values = maps.Clone(f.values)
		f.values[zone] = v
		f.ttl[zone] = ttl
		f.last++
		f.seq[zone] = f.last
	}
}

// take returns the values that are still to be sent, and counts them as sent.
func (f *facts) take() map[string]uint64 {
	var values map[string]uint64
	for zone := range f.ttl {
		if values == nil {
			values = map[string]uint64{}
		}
		values[zone] = f.values[zone]
		f.ttl[zone]--
		if f.ttl[zone] <= 0 {
			delete(f.ttl, zone)
		}
	}
	return values
}

// changed returns the value of a zone if it changed after a number.
func (f *facts) changed(zone string, after uint64) map[string]uint64 {
	if f.seq[zone] <= after {
		return nil
	}
	return map[string]uint64{zone: f.values[zone]}
}
