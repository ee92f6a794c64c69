package admit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the admission of whole call chains.
const (
	// maxChainEntries bounds the services that feedback describes.
	maxChainEntries = 8
	// maxChainCalls bounds the calls of one service behind another, which would grow without
	// bound where services call each other.
	maxChainCalls = 64
	// minChainCalls is the number of calls of one service from which on a chain is judged as a
	// whole. It stands for four calls: the average over requests is seldom exact.
	minChainCalls = 3.5
	// negligibleCalls is the number of calls below which a service is left out.
	negligibleCalls = 0.05
	// MinChainProbability is the probability of completion below which a chain is refused. A
	// request of 4 s that is refused at some time in a window of 8.5 s returns after its end
	// with a probability of (4 s - 0.6 s of work) / 8.5 s (docs/design/whole-chains.md).
	MinChainProbability = 0.4
	// sheddingSuccess is the fraction of successful calls below which a service sheds.
	sheddingSuccess = 0.95
	// chainMargin is the margin of a service with a long chain behind it. Each request above the
	// level makes several calls, of which the overloaded service then refuses one.
	chainMargin = 0.03
	// chainProbeInterval is the number of refusable chains of which one is admitted, so that a
	// recovery is noticed where no other calls reach the service.
	chainProbeInterval = 20
	// directProbeInterval is the same at a node that itself calls the service and thus hears of a
	// recovery without any chain.
	directProbeInterval = 200

	// successExpiry is the age at which a reported fraction of successful calls expires.
	successExpiry = LevelExpiry
	// maxRelayedAge is the age up to which it is passed on. A report that has passed two nodes
	// is then hardly older than one that came directly.
	maxRelayedAge = 300 * time.Millisecond
	// reportTimeConstant is that of the weight of a report by its age, in seconds.
	reportTimeConstant = 0.25
	// outcomeTimeConstant is that of the outcomes of calls, in seconds. With it, the end of a
	// shedding of 55% is known after 0.25 s.
	outcomeTimeConstant = 0.3
	// shapeTimeConstant is that of the numbers of child calls, in seconds. It is longer than
	// countTimeConstant since few chains complete while a service sheds.
	shapeTimeConstant = 5
	// chainRetention is how long a service that is no longer reported stays in a chain.
	chainRetention = 10 * time.Second
	chainWeight    = 0.2 // of a new report in the moving average of the calls in a chain
)

// decayTo returns the factor by which a value that was updated before has decayed, with a time
// constant in seconds.
func decayTo(now, updated time.Time, timeConstant float64) float64 {
	return math.Exp(-max(0, now.Sub(updated).Seconds()) / timeConstant)
}

// Outcomes estimates the fraction of the calls that a target serves. The zero value is ready.
type Outcomes struct {
	served, all float64
	updated     time.Time
}

// Record records a call that the target served, or that it or its upstream refused.
func (o *Outcomes) Record(now time.Time, served bool) {
	o.decay(now)
	o.all++
	if served {
		o.served++
	}
}

func (o *Outcomes) decay(now time.Time) {
	f := decayTo(now, o.updated, outcomeTimeConstant)
	o.served, o.all, o.updated = o.served*f, o.all*f, now
}

// Success returns the fraction of calls that are served at present, above 0 and at most 1. One
// served call more than were counted keeps the fraction of a target with few calls near 1.
func (o *Outcomes) Success(now time.Time) float64 {
	o.decay(now)
	return (o.served + 1) / (o.all + 1)
}

// chainState is what a throttle knows of the chain behind one service and of its own outcomes.
type chainState struct {
	completed  shapeCount             // calls at the local upstream that completed
	childCalls map[string]*shapeCount // calls that these made, by service
	behind     map[string]*chainCalls // as reported by the targets of the service, by service
	success    map[string]successReport
	skipped    int // chains that could have been refused since the last one that was admitted
}

// shapeCount is a count that decays with shapeTimeConstant.
type shapeCount struct {
	n       float64
	updated time.Time
}

func (c *shapeCount) add(now time.Time, x float64) {
	c.n, c.updated = c.n*decayTo(now, c.updated, shapeTimeConstant)+x, now
}

type chainCalls struct {
	calls float64
	at    time.Time
}

type successReport struct {
	value float64
	at    time.Time
}

func newChainState() chainState {
	return chainState{childCalls: map[string]*shapeCount{}, behind: map[string]*chainCalls{}, success: map[string]successReport{}}
}

// RecordCompleted records a call of a service that the local upstream completed, and how many
// calls it made to each service. Calls that failed aren't recorded: they end at the first failed
// child call, so that chains would seem short while a service sheds.
func (t *Throttle) RecordCompleted(now time.Time, name string, children map[string]int) {
	s := &t.service(name).chain
	s.completed.add(now, 1)
	for _, c := range s.childCalls {
		c.add(now, 0)
	}
	for child, n := range children {
		c := s.childCalls[child]
		if c == nil {
			c = &shapeCount{}
			s.childCalls[child] = c
		}
		c.add(now, float64(n))
	}
}

// chainBehind returns the services behind a call of the local upstream, those with most calls
// first: the service itself if its target has a service time, and what its child services report.
func (t *Throttle) chainBehind(now time.Time, name string, f Feedback) []ChainShare {
	var out []ChainShare
	if f.ServiceTime > 0 && f.Success > 0 {
		out = append(out, ChainShare{Service: name, Calls: 1, Success: f.Success})
	}
	s := &t.service(name).chain
	for child, c := range s.childCalls {
		ratio := c.n / s.completed.n // both were updated at the same time
		if ratio < negligibleCalls {
			delete(s.childCalls, child)
			continue
		}
		for service, behind := range t.service(child).chain.recentBehind(now) {
			out = t.addShare(now, out, service, ratio*behind.calls)
		}
	}
	slices.SortFunc(out, func(a, b ChainShare) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(len(out), maxChainEntries)]
}

// addShare adds calls of a service to a chain.
func (t *Throttle) addShare(now time.Time, chain []ChainShare, service string, calls float64) []ChainShare {
	for i := range chain {
		if chain[i].Service == service {
			chain[i].Calls = min(chain[i].Calls+calls, maxChainCalls)
			return chain
		}
	}
	if calls < negligibleCalls {
		return chain
	}
	success, age := t.service(service).chain.recentSuccess(now)
	if age > maxRelayedAge {
		success = 0
	}
	return append(chain, ChainShare{Service: service, Calls: min(calls, maxChainCalls), Success: success})
}

// recordChain records the chain that a target of the service reports. Feedback that describes no
// other service comes from a leaf or from a node that hasn't learned the chain yet.
func (t *Throttle) recordChain(now time.Time, name, target string, chain []ChainShare) {
	if len(chain) == 0 {
		return
	}
	s := &t.service(name).chain
	knowsOthers := slices.ContainsFunc(chain, func(c ChainShare) bool { return c.Service != name })
	if knowsOthers {
		for service, b := range s.behind {
			if !slices.ContainsFunc(chain, func(c ChainShare) bool { return c.Service == service }) {
				b.calls -= b.calls * chainWeight
			}
		}
	}
	for _, c := range chain[:min(len(chain), maxChainEntries)] {
		if !c.valid() {
			continue
		}
		if c.Success > 0 {
			t.service(c.Service).chain.recordSuccess(now, target, c.Success)
		}
		b := s.behind[c.Service]
		if b == nil {
			b = &chainCalls{calls: c.Calls}
			s.behind[c.Service] = b
		}
		b.calls += (c.Calls - b.calls) * chainWeight
		b.at = now
	}
}

func (c ChainShare) valid() bool {
	return c.Service != "" && c.Calls > 0 && c.Calls <= maxChainCalls && c.Success >= 0 && c.Success <= 1
}

// recentBehind returns the services behind a call that were reported within chainRetention.
func (s *chainState) recentBehind(now time.Time) map[string]*chainCalls {
	for service, b := range s.behind {
		if now.Sub(b.at) > chainRetention || b.calls < negligibleCalls {
			delete(s.behind, service)
		}
	}
	return s.behind
}

// recordSuccess records the fraction of successful calls that a target reports.
func (s *chainState) recordSuccess(now time.Time, target string, value float64) {
	if _, ok := s.success[target]; !ok {
		s.recentSuccess(now) // removes the reports of targets that are gone
	}
	s.success[target] = successReport{value, now}
}

// recentSuccess returns the fraction of the calls of the service that succeed at present, and the
// age of the newest report. Without an unexpired report the age is above successExpiry.
func (s *chainState) recentSuccess(now time.Time) (success float64, age time.Duration) {
	age = successExpiry + 1
	var sum, weights float64
	for target, r := range s.success {
		a := now.Sub(r.at)
		if a > successExpiry {
			delete(s.success, target)
			continue
		}
		age = min(age, a)
		w := decayTo(now, r.at, reportTimeConstant)
		sum, weights = sum+w*r.value, weights+w
	}
	if weights == 0 {
		return 0, age
	}
	return sum / weights, age
}

// ChainOutlook is the service that is most likely to fail a chain, and the probability that the
// chain completes.
type ChainOutlook struct {
	Service     string
	Probability float64
}

// AdmitChain reports whether a root request to a service should be sent in view of the chain
// behind it. The ratio is the largest number of retries as a fraction of the calls. Only services
// that shed and that the chain calls at least four times count; a chain or an outcome that isn't
// known, or not since successExpiry, is no reason to refuse. A refused request counts as demand of
// its customer.
func (t *Throttle) AdmitChain(now time.Time, name, customer string, rank uint32, ratio float64) (ChainOutlook, bool) {
	outlook := t.outlook(now, name, ratio)
	if outlook.Probability >= MinChainProbability {
		return outlook, true
	}
	s := t.service(name)
	interval := chainProbeInterval
	if _, direct := t.services[outlook.Service].knownLevel(now); direct {
		interval = directProbeInterval
	}
	s.chain.skipped++
	if s.chain.skipped >= interval {
		s.chain.skipped = 0
		return outlook, true
	}
	s.recordRank(rank)
	if c := s.customer(customer); c != nil {
		c.refused++
	}
	return outlook, false
}

// outlook returns the outlook of a chain behind a service.
func (t *Throttle) outlook(now time.Time, name string, ratio float64) ChainOutlook {
	o := ChainOutlook{Probability: 1}
	s := t.services[name]
	if s == nil {
		return o
	}
	lowest := 1.0
	for service, b := range s.chain.recentBehind(now) {
		if b.calls < minChainCalls {
			continue
		}
		success, age := t.service(service).chain.recentSuccess(now)
		if age > successExpiry || success >= sheddingSuccess {
			continue
		}
		p := math.Pow(successWithRetries(success, ratio), b.calls)
		o.Probability *= p
		if p < lowest {
			o.Service, lowest = service, p
		}
	}
	return o
}

// successWithRetries returns the probability that a call succeeds of which an attempt does with
// the given one. A failed call is retried once as far as the ratio of retries permits.
func successWithRetries(success, ratio float64) float64 {
	failed := 1 - success
	return success + min(failed, ratio)*success
}

// Parameters of ChainRetryAfter.
const (
	// returnDivisor is the part of the time left that callers wait at most (docs/overload.md).
	returnDivisor = 3
	// minReturn is the least time after which the outlook of a chain may have changed.
	minReturn = 250 * time.Millisecond
)

// ChainRetryAfter returns the time after which a request that is refused for its chain should
// return. left is the time until its deadline, and u is uniformly distributed in [0, 1). The end of
// the shedding isn't known, so the request returns several times until hardly any time is left:
// the waits cover a third to a sixth of the time left each, which spreads the returns.
func ChainRetryAfter(left time.Duration, u float64) time.Duration {
	longest := left / returnDivisor
	return max(minReturn, longest/2+time.Duration(u*float64(longest)/2))
}

// chainLevel returns the level of a service and the margin above it. With a long chain behind the
// service, the level is at most that of the services which the chain calls often, as far as this
// node knows it from its own calls: the feedback of a chain arrives only at its end.
func (t *Throttle) chainLevel(now time.Time, s *serviceState) (level uint32, margin float64) {
	level, margin = s.level(now), t.margin
	for service, b := range s.chain.recentBehind(now) {
		if b.calls >= minChainCalls {
			level, margin = min(level, t.Level(now, service)), min(margin, chainMargin)
		}
	}
	return level, margin
}

// knownLevel returns the level of the service, and whether any of its targets has reported one
// within LevelExpiry.
func (s *serviceState) knownLevel(now time.Time) (level uint32, ok bool) {
	level = s.level(now) // removes expired reports
	return level, len(s.targets) > 0
}
