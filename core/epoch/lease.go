package epoch

import (
	"slices"
	"time"
)

// Times of leases.
const (
	// LeaseTime is how long a confirmation counts from the sending of its
	// request.
	LeaseTime = 2 * time.Second
	// DriftMargin covers clocks that run at different speeds: 5% of LeaseTime,
	// far above the 0.02% of common oscillators.
	DriftMargin = 100 * time.Millisecond
	// ConfirmInterval lets three requests in a row be lost before a lease ends.
	ConfirmInterval = 500 * time.Millisecond
)

// ConfirmRequest asks a member whether it still stands by an epoch.
type ConfirmRequest struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps, and each
	// member asks all others twice a second
	_msgpack struct{} `msgpack:",as_array"`

	Zone  string `msgpack:"zone"`
	Epoch uint64 `msgpack:"epoch"`
}

// ConfirmReply says which epoch of the zone the member adopted. Adopted at or
// below the requested epoch confirms it.
type ConfirmReply struct {
	//lint:ignore U1000 see ConfirmRequest
	_msgpack struct{} `msgpack:",as_array"`

	Zone           string `msgpack:"zone"`
	Member         Member `msgpack:"member"` // who answers
	Adopted        uint64 `msgpack:"adopted"`
	RetiredThrough uint64 `msgpack:"retiredThrough"`
}

// Confirm answers a request at the member self. A member that lags behind the
// epoch confirms it as well: it has adopted nothing newer.
func (s *State) Confirm(self Member, req ConfirmRequest) ConfirmReply {
	reply := ConfirmReply{Zone: req.Zone, Member: self, RetiredThrough: s.Retired(req.Zone)}
	if e, ok := s.Current(req.Zone); ok {
		reply.Adopted = e.Number
	}
	return reply
}

// Lease is the zone lease of one member. A caller that folds a new epoch into
// its State calls Adopt in the same critical section, before it answers a
// confirm request or reports the new number by gossip. Otherwise the earlier
// epoch could be retired while this member still uses it.
type Lease struct {
	self  Member
	epoch Epoch
	sent  map[string]time.Time // when the latest confirmed request was sent, by member name
}

// NewLease returns a lease without an epoch, which is not valid.
func NewLease(self Member) *Lease {
	return &Lease{self: self, sent: map[string]time.Time{}}
}

// Adopt moves the lease to an epoch of the own zone. An older one is ignored.
// Confirmations of members that remain count on: a member that had adopted
// nothing newer than the earlier epoch had adopted nothing newer than this one.
func (l *Lease) Adopt(e Epoch) {
	if e.Zone != l.self.Zone || e.Number <= l.epoch.Number {
		return
	}
	for name := range l.sent {
		m, _ := l.epoch.Member(name)
		if !e.Has(m) {
			delete(l.sent, name)
		}
	}
	l.epoch = e
}

// Epoch returns the epoch of the lease.
func (l *Lease) Epoch() Epoch {
	return l.epoch
}

// Request returns the request that goes to the other members.
func (l *Lease) Request() ConfirmRequest {
	return ConfirmRequest{Zone: l.epoch.Zone, Epoch: l.epoch.Number}
}

// RecordConfirmation counts a reply to a request that was sent at a time. It reports
// whether the reply confirms the epoch. A process that isn't in the list, such
// as the restarted successor of a member, confirms nothing.
func (l *Lease) RecordConfirmation(reply ConfirmReply, sent time.Time) bool {
	if reply.Zone != l.epoch.Zone || reply.Adopted > l.epoch.Number || !l.epoch.Has(reply.Member) {
		return false
	}
	if sent.After(l.sent[reply.Member.Name]) {
		l.sent[reply.Member.Name] = sent
	}
	return true
}

// Expiry returns when the lease ends if no further confirmation comes. It is
// the zero time if the member is not in the list or lacks confirmations. Loans
// and other uses must end by this time.
func (l *Lease) Expiry(now time.Time) time.Time {
	if !l.epoch.Has(l.self) {
		return time.Time{}
	}
	times := []time.Time{now}
	for name, t := range l.sent {
		if name != l.self.Name {
			times = append(times, t)
		}
	}
	need := l.epoch.Majority()
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1].Add(LeaseTime)
}

// Valid reports whether the lease holds. It is checked at each use, so that a
// process that was paused uses nothing afterwards.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.Expiry(now))
}
