package epoch

import (
	"slices"
	"time"
)

// Durations of leases.
const (
	// LeaseTime is how long a confirmation is valid after its request was sent.
	LeaseTime = 2 * time.Second
	// DriftMargin allows for clocks that run at different speeds. It is 5% of
	// LeaseTime, far above the 0.02% drift of common oscillators.
	DriftMargin = 100 * time.Millisecond
	// ConfirmInterval is the time between two confirm requests to a member. Three
	// consecutive ones may be lost before the lease expires.
	ConfirmInterval = 500 * time.Millisecond
)

// ConfirmRequest asks a member to confirm that it has adopted no epoch newer
// than this one.
type ConfirmRequest struct {
	//lint:ignore U1000 msgpack reads the field by reflection; arrays are shorter than maps, and each
	// member asks all others twice a second
	_msgpack struct{} `msgpack:",as_array"`

	Zone  string `msgpack:"zone"`
	Epoch uint64 `msgpack:"epoch"`
}

// ConfirmReply names the epoch of the zone that the member adopted. It confirms
// the requested epoch if Adopted is not greater.
type ConfirmReply struct {
	//lint:ignore U1000 see ConfirmRequest
	_msgpack struct{} `msgpack:",as_array"`

	Zone           string `msgpack:"zone"`
	Member         Member `msgpack:"member"` // the sender of the reply
	Adopted        uint64 `msgpack:"adopted"`
	RetiredThrough uint64 `msgpack:"retiredThrough"`
}

// Confirm returns the reply of member self to a request. A member that has not
// yet adopted the requested epoch confirms it as well, as it has adopted
// nothing newer.
func (s *State) Confirm(self Member, req ConfirmRequest) ConfirmReply {
	reply := ConfirmReply{Zone: req.Zone, Member: self, RetiredThrough: s.Retired(req.Zone)}
	if e, ok := s.Current(req.Zone); ok {
		reply.Adopted = e.Number
	}
	return reply
}

// Lease is the zone lease of one member. A caller that applies a new epoch to
// its State must call Adopt in the same critical section, before it replies to
// a confirm request or reports the new number by gossip. Otherwise the earlier
// epoch could be retired while this member still uses it.
type Lease struct {
	self  Member
	epoch Epoch
	sent  map[string]time.Time // by member name: when the latest confirmed request was sent
}

// NewLease returns a lease without an epoch, which is not valid.
func NewLease(self Member) *Lease {
	return &Lease{self: self, sent: map[string]time.Time{}}
}

// Adopt moves the lease to an epoch of the local zone. An older one is ignored.
// Confirmations of members in both lists remain valid: a member that had
// adopted nothing newer than the earlier epoch had adopted nothing newer than
// this one.
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

// Request returns the confirm request to send to the other members.
func (l *Lease) Request() ConfirmRequest {
	return ConfirmRequest{Zone: l.epoch.Zone, Epoch: l.epoch.Number}
}

// RecordConfirmation counts the reply to a request that was sent at the given
// time. It reports whether the reply confirms the epoch. A process that isn't
// in the member list, such as a restarted member, can't confirm it.
func (l *Lease) RecordConfirmation(reply ConfirmReply, sent time.Time) bool {
	if reply.Zone != l.epoch.Zone || reply.Adopted > l.epoch.Number || !l.epoch.Has(reply.Member) {
		return false
	}
	if sent.After(l.sent[reply.Member.Name]) {
		l.sent[reply.Member.Name] = sent
	}
	return true
}

// Expiry returns when the lease expires without further confirmations. It is
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

// Valid reports whether the lease is valid. Check it at each use, because it
// may have expired while the process was paused.
func (l *Lease) Valid(now time.Time) bool {
	return now.Before(l.Expiry(now))
}
