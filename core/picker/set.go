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
	// DefaultFailures is the number of consecutive failures after which a
	// target is ejected. Five in a row are rare unless most calls fail.
	DefaultFailures = 5
	// DefaultUnreachableAfter is the time after which a target counts as
	// unreachable and is ejected if calls are in flight and it has sent
	// nothing. A connection between nodes counts as failed after the same time
	// without frames (docs/design.md 5).
	DefaultUnreachableAfter = 3 * time.Second
	// DefaultMinProbeInterval and DefaultMaxProbeInterval bound the time to the
	// next probe of an ejected target, which doubles after each failed probe.
	DefaultMinProbeInterval = time.Second
	DefaultMaxProbeInterval = 30 * time.Second
	// probeTimeout is the time after which another probe may be sent if one got
	// no response.
	probeTimeout = 5 * time.Second
	// feedbackExpiry is the age at which feedback expires. The weight of its
	// in-flight count falls with its age and reaches 0 then.
	feedbackExpiry = time.Second
)

// Target is a target as service discovery describes it.
type Target struct {
	ID       string
	Zone     string
	Draining bool
	Cold     bool // calls to its upstream are limited because that is cold
}

// Result is how a call to a target ended, in terms of the health of the target.
type Result int

// Results of a call.
const (
	OK      Result = iota // any complete response
	Refused               // refused by the node of the target, for example for lack of capacity; the target is healthy
	Failed                // no connection, or a reset, truncated or erroneous response
	Unknown               // ended by the caller; says nothing about the target
	Shed                  // refused by the upstream itself as overloaded, after its node had dispatched the call
)

// Query describes a call that needs a target.
type Query struct {
	Rank      uint32
	Tried     []string // targets that this call has already tried
	NoProbe   bool     // the call must not serve as a probe of an ejected target
	LargeBody bool
	// LatencyGoal is the response time up to which the response has its full value;
	// 0 if not known.
	LatencyGoal time.Duration
}

// Set holds the targets of one service as one node sees them. It is not safe
// for concurrent use.
type Set struct {
	zone                string
	maxFailures         int
	unreachableAfter    time.Duration
	minProbeInterval    time.Duration
	maxProbeInterval    time.Duration
	trackQuality        bool           // consider the speed and failures of targets
	targets             []*targetState // ordered by identifier
	ownZone, otherZones []*targetState // buffers of Pick

	// The choice by expected completion applies until timedUntil.
	timedUntil   time.Time
	meanCapacity float64 // moving average over feedback with a service time
	zones        []*zoneState
	spilled      float64 // sum of the fractions that spill over
	maxZoneSpill float64 // largest of them
	spillAt      time.Time
}

type targetState struct {
	Target
	inFlight            int
	inactiveSince       time.Time // since when the target has sent nothing while calls were in flight; zero without calls in flight
	consecutiveFailures int
	feedback            admit.Feedback
	feedbackAt          time.Time // arrival of feedback; zero without any
	inFlightAtFeedback  int       // value of inFlight when the feedback arrived
	quality             quality
	pace                pace
	listedCold          bool      // value of Cold that was last applied to pace
	fullUntil           time.Time // a cold target takes no call before
	zone                *zoneState
	capacity            float64 // calls per second, from feedback; 0 if not known
	meanOthers          float64 // moving average of the calls of other nodes at the target
	meanOthersAt        time.Time

	ejected bool
	backoff time.Duration
	probeAt time.Time // earliest time of the next probe
}

// Option changes a parameter of a Set.
type Option func(*Set)

// WithFailures sets the number of consecutive failures after which a target is
// ejected.
func WithFailures(n int) Option {
	return func(s *Set) { s.maxFailures = n }
}

// WithUnreachableAfter sets the time without a response, while calls are in
// flight, after which a target is ejected.
func WithUnreachableAfter(d time.Duration) Option {
	return func(s *Set) { s.unreachableAfter = d }
}

// WithProbeIntervals sets the minimum and maximum time between probes.
func WithProbeIntervals(minimum, maximum time.Duration) Option {
	return func(s *Set) { s.minProbeInterval, s.maxProbeInterval = minimum, maximum }
}

// WithQuality makes the set measure how fast and how reliably targets respond.
// It then sends few calls to slow and failing targets, crosses zones to avoid
// them, and sends some calls to other zones to measure their targets.
func WithQuality() Option {
	return func(s *Set) { s.trackQuality = true }
}

// NewSet returns an empty set for a node in a zone.
func NewSet(zone string, opts ...Option) *Set {
	s := &Set{
		zone:             zone,
		maxFailures:      DefaultFailures,
		unreachableAfter: DefaultUnreachableAfter,
		minProbeInterval: DefaultMinProbeInterval,
		maxProbeInterval: DefaultMaxProbeInterval,
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Update replaces the list of targets. Targets that remain in the list keep
// their state.
func (s *Set) Update(targets []Target) {
	next := make([]*targetState, 0, len(targets))
	for _, t := range targets {
		st := s.find(t.ID)
		if st == nil {
			st = &targetState{}
		}
		st.Target, st.zone = t, s.zoneOf(t.Zone)
		next = append(next, st)
	}
	slices.SortFunc(next, func(a, b *targetState) int { return strings.Compare(a.ID, b.ID) })
	before := s.targets
	s.targets = slices.CompactFunc(next, func(a, b *targetState) bool { return a.ID == b.ID })
	for _, t := range before {
		if t.inFlight > 0 && s.find(t.ID) == nil {
			t.zone.sentAt = time.Time{} // the end of its calls won't be recorded
		}
	}
	s.removeZones()
	s.limitEjected()
}

// Drain marks a target as draining. It isn't chosen again unless Update lists
// it as not draining.
func (s *Set) Drain(id string) {
	if t := s.find(id); t != nil {
		t.Draining = true
	}
}

func (s *Set) find(id string) *targetState {
	i, ok := slices.BinarySearchFunc(s.targets, id, func(t *targetState, id string) int { return strings.Compare(t.ID, id) })
	if !ok {
		return nil
	}
	return s.targets[i]
}

// Pick chooses a target and counts the call as in flight there until Done. It
// returns false if every target is draining, already tried, or ejected without
// a probe being due.
func (s *Set) Pick(now time.Time, q Query, rng *rand.Rand) (id string, ok bool) {
	s.ejectUnreachable(now)
	if t := s.dueProbe(now, q); t != nil {
		t.startCall(now)
		return t.ID, true
	}
	s.candidates(now, q)
	t := s.pickCandidate(now, q, rng)
	if t == nil {
		return "", false
	}
	t.startCall(now)
	return t.ID, true
}

// pickCandidate chooses among the candidates, by expected completion if service
// times are known.
func (s *Set) pickCandidate(now time.Time, q Query, rng *rand.Rand) *targetState {
	if s.byCompletion(now) {
		return s.pickByCompletion(now, &q, rng)
	}
	t := choose(now, s.ownZone, rng)
	switch {
	case t == nil || t.overloaded(now, q.Rank):
		t = chooseZone(now, q.Rank, t, choose(now, s.otherZones, rng))
	case s.trackQuality && !q.LargeBody && len(s.otherZones) > 0 && rng.IntN(exploreInterval) == 0:
		t = s.otherZones[rng.IntN(len(s.otherZones))]
	case s.trackQuality && len(s.otherZones) > 0:
		if o := choose(now, s.otherZones, rng); t.costlierThan(now, q, o) && !o.overloaded(now, q.Rank) {
			t = o
		}
	}
	return t
}

// byCompletion reports whether a target has sent its service time recently.
func (s *Set) byCompletion(now time.Time) bool {
	return !s.timedUntil.IsZero() && !now.After(s.timedUntil)
}

// candidates fills ownZone and otherZones with the targets that may be chosen.
// Targets whose pace is exhausted are among them only if there are no others.
func (s *Set) candidates(now time.Time, q Query) {
	s.listCandidates(now, &q, "")
	if len(s.ownZone)+len(s.otherZones) == 0 {
		s.listCandidates(now, &q, excludedPace)
	}
}

// listCandidates lists the targets that are not excluded, or only for the given reason.
func (s *Set) listCandidates(now time.Time, q *Query, permitted string) {
	s.ownZone, s.otherZones = s.ownZone[:0], s.otherZones[:0]
	for _, t := range s.targets {
		if reason := t.excluded(now, q); reason != "" && reason != permitted {
			continue
		}
		if t.Zone == s.zone {
			s.ownZone = append(s.ownZone, t)
		} else {
			s.otherZones = append(s.otherZones, t)
		}
	}
}

// excludedPace is the reason for which a target is excluded only while others are left.
const excludedPace = "pace"

// excluded returns why the target can't be chosen for a call, or "" if it can.
func (t *targetState) excluded(now time.Time, q *Query) string {
	switch {
	case t.Draining:
		return "draining"
	case t.ejected:
		return "ejected"
	case slices.Contains(q.Tried, t.ID):
		return "tried"
	case t.full(now):
		return "cold"
	case t.pace.exhausted(now):
		return excludedPace
	}
	return ""
}

// choose returns the target with the lower score among two random ones, or nil
// if ts is empty.
func choose(now time.Time, ts []*targetState, rng *rand.Rand) *targetState {
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

// chooseZone decides between a target of the node's own zone, which is
// overloaded or nil, and a target of another zone, which may be nil.
func chooseZone(now time.Time, rank uint32, own, other *targetState) *targetState {
	switch {
	case own == nil:
		return other
	case other == nil:
		return own
	case !other.overloaded(now, rank) || other.score(now) < own.score(now):
		return other
	default:
		return own
	}
}

// startCall counts a call as in flight.
func (t *targetState) startCall(now time.Time) {
	if t.inFlight == 0 {
		t.inactiveSince = now
	}
	t.inFlight++
	t.pace.start(now)
}

// load estimates the number of requests at the target: the node's own calls and
// those of other nodes. The feedback tells the latter, with a weight that
// decreases with its age.
func (t *targetState) load(now time.Time) float64 {
	n := float64(t.inFlight)
	if t.feedbackAt.IsZero() {
		return n
	}
	weight := 1 - float64(now.Sub(t.feedbackAt))/float64(feedbackExpiry)
	others := t.feedback.InFlight - t.inFlightAtFeedback
	return n + max(0, weight)*float64(max(0, others))
}

// score returns the load of the target, with the next call, in relation to the
// concurrency limit, if known, times the expected attempts. A target with a
// lower score is preferred.
func (t *targetState) score(now time.Time) float64 {
	limit := 1.0
	if t.feedback.Limit > 0 {
		limit = float64(t.feedback.Limit)
	}
	return (t.load(now) + 1) / limit * t.quality.expectedAttempts(now)
}

// overloaded reports whether the target would probably queue or refuse a
// request.
func (t *targetState) overloaded(now time.Time, rank uint32) bool {
	if t.feedbackAt.IsZero() || now.Sub(t.feedbackAt) > feedbackExpiry {
		return false
	}
	return rank > t.feedback.Level || t.feedback.Limit > 0 && t.load(now) >= float64(t.feedback.Limit)
}

// InFlight returns the number of calls of this node that are in flight at a
// target.
func (s *Set) InFlight(id string) int {
	if t := s.find(id); t != nil {
		return t.inFlight
	}
	return 0
}
