package epoch

// The log may come back from a copy that lacks its newest records; its offsets are then
// given out again. Each such history is an era of the log. The number of an epoch begins
// with the era in which it was proposed, so that an epoch of a later era is newer than all
// epochs of earlier ones, whether these are lost or not.

// eraShift is the number of bits of an epoch number below its era. A zone with one epoch
// every MinEpochAge needs more than two years to use them up.
const eraShift = 24

// eraOf returns the era in which an epoch was proposed.
func eraOf(number uint64) uint64 {
	return number >> eraShift
}

// firstOf returns the number of the first epoch of a zone in an era.
func firstOf(era uint64) uint64 {
	return era<<eraShift + 1
}

// startsEra reports whether an epoch is the first one of its zone in an era. Such an epoch
// may replace any of an earlier era, since nodes may know different last ones.
func (e Epoch) startsEra() bool {
	return eraOf(e.Number) > 0 && e.Number == firstOf(eraOf(e.Number)) && e.Base < e.Number
}

// isFuture reports whether an epoch is of a later era than the log. No node proposes one, and
// it would take precedence over all epochs that nodes propose.
func (s *State) isFuture(e Epoch) bool {
	return eraOf(e.Number) > s.Era
}

// StartEra begins to apply the log anew after its history went back. The epochs known so
// far remain in effect until newer ones replace them. It has no effect unless the era is
// later than that of the state.
func (s *State) StartEra(era uint64) bool {
	if era <= s.Era {
		return false
	}
	s.Era, s.Next, s.gap, s.rereading = era, 0, 0, true
	for _, z := range s.zones {
		z.next, z.gap, z.buffered, z.snapshotEnd = 0, 0, nil, 0
	}
	return true
}

// Rereading reports whether the state hasn't yet reached the end of the log in its era. Until
// then a node must not propose an epoch.
func (s *State) Rereading() bool {
	return s.rereading
}
