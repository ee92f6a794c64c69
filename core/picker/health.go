package picker

import (
	"slices"
	"time"

	"dogwoodsill.org/core/admit"
)

// Done records the end of a call that Pick gave to a target. The feedback is
// nil if the target sent none.
func (s *Set) Done(now time.Time, id string, r Result, f *admit.Feedback) {
	t := s.find(id)
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	if f != nil {
		t.feedback, t.at, t.reported = *f, now, t.inFlight
	}
	if s.learns {
		t.quality.done(now, r)
	}
	switch r {
	case OK, Refused, Shed:
		t.answered(now)
		t.recover()
	case Failed:
		t.answered(now)
		s.fail(now, t)
	case Unknown:
		if t.inFlight == 0 {
			t.owesSince = time.Time{}
		}
	}
}

// RecordActivity records a sign of life other than the end of a call, such as data of a
// long response or an answered ping.
func (s *Set) RecordActivity(now time.Time, id string) {
	if t := s.find(id); t != nil {
		t.answered(now)
	}
}

func (t *state) answered(now time.Time) {
	t.owesSince = now
	if t.inFlight == 0 {
		t.owesSince = time.Time{}
	}
}

func (t *state) recover() {
	t.failed = 0
	t.ejected = false
	t.backoff = 0
}

func (s *Set) fail(now time.Time, t *state) {
	t.failed++
	if t.ejected {
		s.postpone(now, t)
		return
	}
	if t.failed >= s.failures {
		s.eject(now, t)
	}
}

// eject takes a target out of the choice unless half of the targets are out.
func (s *Set) eject(now time.Time, t *state) {
	if s.ejected() >= len(s.targets)/2 {
		return
	}
	t.ejected = true
	s.postpone(now, t)
}

func (s *Set) postpone(now time.Time, t *state) {
	t.backoff = min(max(2*t.backoff, s.probeFirst), s.probeMax)
	t.probeAt = now.Add(t.backoff)
}

func (s *Set) ejected() int {
	n := 0
	for _, t := range s.targets {
		if t.ejected {
			n++
		}
	}
	return n
}

// restoreSurplus keeps the ejected targets at half at most after the list has
// become shorter. The one whose probe is due first returns first.
func (s *Set) restoreSurplus() {
	for s.ejected() > len(s.targets)/2 {
		var first *state
		for _, t := range s.targets {
			if t.ejected && (first == nil || t.probeAt.Before(first.probeAt)) {
				first = t
			}
		}
		first.ejected = false
	}
}

// ejectSilent ejects targets that owe answers and have been silent. The calls
// in flight there don't count as failures; they end by their own timers.
func (s *Set) ejectSilent(now time.Time) {
	for _, t := range s.targets {
		if t.ejected || t.inFlight == 0 || now.Sub(t.owesSince) < s.silence {
			continue
		}
		s.eject(now, t)
	}
}

// probe returns an ejected target whose probe is due. The probe is an ordinary
// call; the next one is due when it has failed, or got no answer for
// probeTimeout.
func (s *Set) probe(now time.Time, q Query) *state {
	if q.NoProbe {
		return nil
	}
	for _, t := range s.targets {
		if !t.ejected || t.Draining || now.Before(t.probeAt) || slices.Contains(q.Tried, t.ID) {
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
	ProbeAt  time.Time // earliest next probe of an ejected target
}

// Status returns the state of every target by identifier.
func (s *Set) Status() []Status {
	out := make([]Status, 0, len(s.targets))
	for _, t := range s.targets {
		out = append(out, Status{Target: t.Target, InFlight: t.inFlight, Failed: t.failed, Ejected: t.ejected, ProbeAt: t.probeAt})
	}
	return out
}
