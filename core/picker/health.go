package picker

import (
	"slices"
	"time"

	"dogwoodsill.org/core/admit"
)

// Done records the end of a call for which Pick returned a target. The feedback
// is nil if the target sent none.
func (s *Set) Done(now time.Time, id string, r Result, f *admit.Feedback) {
	t := s.find(id)
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if f != nil {
		t.feedback, t.feedbackAt, t.inFlightAtFeedback = *f, now, t.inFlight
		s.recordCapacity(now, t)
	} else {
		t.zone.sentAt = time.Time{}
	}
	if s.trackQuality {
		t.quality.recordResult(now, r)
	}
	if r == OK || r == Failed || r == Shed {
		t.pace.recordAccepted(now)
	}
	switch r {
	case OK, Refused, Shed:
		t.recordResponse(now)
		t.restore()
	case Failed:
		t.recordResponse(now)
		s.recordFailure(now, t)
		if f == nil {
			t.zone.recordFailure(now)
		}
	case Unknown:
		if t.inFlight == 0 {
			t.inactiveSince = time.Time{}
		}
	}
}

// RecordActivity records that a target is reachable, other than by the end of a
// call: data of a long response arrived, or the response to a ping.
func (s *Set) RecordActivity(now time.Time, id string) {
	if t := s.find(id); t != nil {
		t.recordResponse(now)
	}
}

func (t *targetState) recordResponse(now time.Time) {
	t.inactiveSince = now
	if t.inFlight == 0 {
		t.inactiveSince = time.Time{}
	}
}

func (t *targetState) restore() {
	t.consecutiveFailures = 0
	t.ejected = false
	t.backoff = 0
}

func (s *Set) recordFailure(now time.Time, t *targetState) {
	t.consecutiveFailures++
	if t.ejected {
		s.scheduleProbe(now, t)
		return
	}
	if t.consecutiveFailures >= s.maxFailures {
		s.eject(now, t)
	}
}

// eject excludes a target from the choice unless half of the targets are
// excluded already.
func (s *Set) eject(now time.Time, t *targetState) {
	if s.countEjected() >= len(s.targets)/2 {
		return
	}
	t.ejected = true
	s.scheduleProbe(now, t)
}

func (s *Set) scheduleProbe(now time.Time, t *targetState) {
	t.backoff = min(max(2*t.backoff, s.minProbeInterval), s.maxProbeInterval)
	t.probeAt = now.Add(t.backoff)
}

func (s *Set) countEjected() int {
	n := 0
	for _, t := range s.targets {
		if t.ejected {
			n++
		}
	}
	return n
}

// limitEjected keeps at most half of the targets ejected after the list has
// become shorter. The target whose probe is due first is restored first.
func (s *Set) limitEjected() {
	for s.countEjected() > len(s.targets)/2 {
		var first *targetState
		for _, t := range s.targets {
			if t.ejected && (first == nil || t.probeAt.Before(first.probeAt)) {
				first = t
			}
		}
		first.ejected = false
	}
}

// ejectUnreachable ejects targets with pending responses that have sent nothing
// for unreachableAfter. Their calls in flight don't count as failures; these
// end by their own timeouts.
func (s *Set) ejectUnreachable(now time.Time) {
	for _, t := range s.targets {
		if t.ejected || t.inFlight == 0 || now.Sub(t.inactiveSince) < s.unreachableAfter {
			continue
		}
		s.eject(now, t)
	}
}

// dueProbe returns an ejected target whose probe is due. The probe is an
// ordinary call. After a failed probe, the next one is due after the doubled
// backoff; without a response, after the larger of probeTimeout and the
// backoff.
func (s *Set) dueProbe(now time.Time, q Query) *targetState {
	if q.NoProbe {
		return nil
	}
	for _, t := range s.targets {
		if !t.ejected || t.Draining || now.Before(t.probeAt) || slices.Contains(q.Tried, t.ID) || t.full(now) {
			continue
		}
		t.probeAt = now.Add(max(probeTimeout, t.backoff))
		return t
	}
	return nil
}

// Status describes a target for reports.
type Status struct {
	Target
	InFlight int
	Failed   int // consecutive failures
	Ejected  bool
	ProbeAt  time.Time // earliest time of the next probe of an ejected target
}

// Status returns the state of every target, ordered by identifier.
func (s *Set) Status() []Status {
	out := make([]Status, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, Status{Target: t.Target, InFlight: t.inFlight, Failed: t.consecutiveFailures, Ejected: t.ejected, ProbeAt: t.probeAt})
	}
	return out
}
