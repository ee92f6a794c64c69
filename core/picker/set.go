package picker

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwoodsill.org/core/admit"
)

// Parameters of a Set.
const (
	// DefaultFailures is the number of consecutive failures that eject a
	// target. Five in a row are rare unless most calls fail.
	DefaultFailures = 5
	// DefaultUnreachableAfter ejects a target that owes answers and has sent nothing
	// for this time, as a link without frames does (docs/design.md 5).
	DefaultUnreachableAfter = 3 * time.Second
	// DefaultMinProbeInterval and DefaultProbeMax bound the time to the next probe
	// of an ejected target, which doubles after each failed probe.
	DefaultMinProbeInterval = time.Second
	DefaultMaxProbeInterval = 30 * time.Second
	// probeTimeout allows another probe when one got no answer.
	probeTimeout = 5 * time.Second
	// feedbackAge is the age at which the in-flight count of a feedback has
	// lost its weight.
	feedbackAge = time.Second
)

// Target is a target as discovery describes it.
type Target struct {
	ID       string
	Zone     string
	Draining bool
}

// Result is how a call to a target ended, as far as its health is concerned.
type Result int

// Results of a call.
const (
	OK      Result = iota // any complete answer
	Refused               // refused or shed for lack of capacity; the target is healthy
	Failed                // no connection, reset, truncated or erroneous answer
	Unknown               // ended by the caller; says nothing about the target
	Shed                  // the upstream refused the call although its node sent it
)

// Query describes a call that needs a target.
type Query struct {
	Rank      uint32
	Tried     []string // targets that this call has already tried
	NoProbe   bool     // the call must not serve as a probe of an ejected target
	LargeBody bool     // the call has a large body
}

// Set holds the targets of one service as one node sees them. It is not safe
// for concurrent use.
type Set struct {
	zone       string
	failures   int
	silence    time.Duration
	probeFirst time.Duration
	probeMax   time.Duration
	learns     bool     // by speed and failures
	targets    []*state // by identifier
	own, other []*state // scratch space of Pick
}

type state struct {
	Target
	inFlight  int
	owesSince time.Time // latest answer or start of the oldest call since; zero without calls in flight
	failed    int       // consecutive failures
	feedback  admit.Feedback
	at        time.Time // of the feedback; zero without one
	reported  int       // own calls in flight when the feedback came
	quality   quality

	ejected bool
	backoff time.Duration
	probeAt time.Time // earliest next probe
}

// Option changes a parameter of a Set.
type Option func(*Set)

// WithFailures sets the number of consecutive failures that eject a target.
func WithFailures(n int) Option {
	return func(s *Set) { s.failures = n }
}

// WithUnreachableAfter sets the time without an answer that ejects a target.
func WithUnreachableAfter(d time.Duration) Option {
	return func(s *Set) { s.silence = d }
}

// WithProbeIntervals sets the first and the longest time between probes.
func WithProbeIntervals(first, longest time.Duration) Option {
	return func(s *Set) { s.probeFirst, s.probeMax = first, longest }
}

// WithQuality makes the set learn how fast and how reliably targets answer. It
// then sends few calls to slow and failing targets, crosses zones to avoid them,
// and sends some calls to other zones to learn of their targets.
func WithQuality() Option {
	return func(s *Set) { s.learns = true }
}

// NewSet returns an empty set for a node in a zone.
func NewSet(zone string, opts ...Option) *Set {
	s := &Set{
		zone:       zone,
		failures:   DefaultFailures,
		silence:    DefaultUnreachableAfter,
		probeFirst: DefaultMinProbeInterval,
		probeMax:   DefaultMaxProbeInterval,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Update replaces the list of targets. Targets that stay keep their state.
func (s *Set) Update(targets []Target) {
	next := make([]*state, 0, len(targets))
	for _, t := range targets {
		st := s.find(t.ID)
		if st == nil {
			st = &state{}
		}
		st.Target = t
		next = append(next, st)
	}
	slices.SortFunc(next, func(a, b *state) int { return strings.Compare(a.ID, b.ID) })
	s.targets = slices.CompactFunc(next, func(a, b *state) bool { return a.ID == b.ID })
	s.restoreSurplus()
}

// Drain marks a target so that it is never chosen again, unless Update lists
// it as not draining.
func (s *Set) Drain(id string) {
	if t := s.find(id); t != nil {
		t.Draining = true
	}
}

func (s *Set) find(id string) *state {
	i, ok := slices.BinarySearchFunc(s.targets, id, func(t *state, id string) int { return strings.Compare(t.ID, id) })
	if !ok {
		return nil
	}
	return s.targets[i]
}

// Pick chooses a target and counts the call as in flight there until Done. It
// returns false if every target is draining, ejected or already tried.
func (s *Set) Pick(now time.Time, q Query, rng *rand.Rand) (id string, ok bool) {
	s.ejectSilent(now)
	if t := s.probe(now, q); t != nil {
		t.begin(now)
		return t.ID, true
	}
	s.candidates(q)
	t := choose(now, s.own, rng)
	switch {
	case t == nil || t.loaded(now, q.Rank):
		t = spill(now, q.Rank, t, choose(now, s.other, rng))
	case s.learns && !q.LargeBody && len(s.other) > 0 && rng.IntN(exploreEvery) == 0:
		t = s.other[rng.IntN(len(s.other))]
	case s.learns && len(s.other) > 0:
		if o := choose(now, s.other, rng); t.worse(now, q, o) && !o.loaded(now, q.Rank) {
			t = o
		}
	}
	if t == nil {
		return "", false
	}
	t.begin(now)
	return t.ID, true
}

// candidates fills own and other with the targets of the node's zone and of
// the other zones that may be chosen.
func (s *Set) candidates(q Query) {
	s.own, s.other = s.own[:0], s.other[:0]
	for _, t := range s.targets {
		if t.Draining || t.ejected || slices.Contains(q.Tried, t.ID) {
			continue
		}
		if t.Zone == s.zone {
			s.own = append(s.own, t)
		} else {
			s.other = append(s.other, t)
		}
	}
}

// choose returns the less loaded of two random targets, nil without any.
func choose(now time.Time, ts []*state, rng *rand.Rand) *state {
	switch len(ts) {
	case 0:
		return nil
	case 1:
		return ts[0]
	}
	i := rng.IntN(len(ts))
	j := rng.IntN(len(ts) - 1)
	if j >= i {
		j++
	}
	a, b := ts[i], ts[j]
	if b.score(now) < a.score(now) {
		return b
	}
	return a
}

// spill decides between a loaded or absent target of the own zone and one of
// another zone.
func spill(now time.Time, rank uint32, own, other *state) *state {
	switch {
	case own == nil:
		return other
	case other == nil:
		return own
	case !other.loaded(now, rank) || other.score(now) < own.score(now):
		return other
	default:
		return own
	}
}

// begin counts a call as in flight.
func (t *state) begin(now time.Time) {
	if t.inFlight == 0 {
		t.owesSince = now
	}
	t.inFlight++
}

// load estimates the requests at the target: the node's own calls and those of
// others according to the feedback, which loses weight with its age.
func (t *state) load(now time.Time) float64 {
	n := float64(t.inFlight)
	if t.at.IsZero() {
		return n
	}
	weight := 1 - float64(now.Sub(t.at))/float64(feedbackAge)
	others := t.feedback.InFlight - t.reported
	return n + max(0, weight)*float64(max(0, others))
}

// score orders targets; a lower one is preferred. It is the load in relation
// to the concurrency limit, if the target has told one.
func (t *state) score(now time.Time) float64 {
	limit := 1.0
	if t.feedback.Limit > 0 {
		limit = float64(t.feedback.Limit)
	}
	return (t.load(now) + 1) / limit * t.quality.cost(now)
}

// loaded reports whether the target would probably queue or refuse a request.
func (t *state) loaded(now time.Time, rank uint32) bool {
	if t.at.IsZero() || now.Sub(t.at) > feedbackAge {
		return false
	}
	return rank > t.feedback.Level || t.feedback.Limit > 0 && t.load(now) >= float64(t.feedback.Limit)
}

// InFlight returns the calls of this node that are in flight at a target.
func (s *Set) InFlight(id string) int {
	if t := s.find(id); t != nil {
		return t.inFlight
	}
	return 0
}
