package picker

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodsill.org/core/admit"
	"gotest.tools/v3/assert"
)

// load describes calls to one service that a test plays in virtual time.
type load struct {
	name        string
	zones       []zoneLoad
	nodes       int // calling nodes a zone
	work        time.Duration
	goal        time.Duration
	feedbackAge time.Duration
	speed       func(upstream int, at time.Duration) float64 // nil for the speeds of the zones
	length      time.Duration
	calmAt      time.Duration // from when zone a offers a third of its load; 0 for never
	cutAt       time.Duration // from when calls between zones fail; 0 for never
}

// zoneLoad is the load and the upstreams of a zone.
type zoneLoad struct {
	used   float64 // offered load as a fraction of the capacity of the upstreams
	slots  []int
	speeds []float64
}

// outcome is what callers get.
type outcome struct {
	within, crossed float64 // fractions of the calls
	mean            float64 // latency in seconds of served calls
	parts           [][]int // calls to each upstream in each second
	crossings       []int   // calls between zones in each second
	deviation       float64 // standard deviation of the load of the first upstream as a fraction of its slots, over the second half
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// upstream runs calls in slots and queues the rest, like a target's node.
type upstream struct {
	index, slots, running int
	zone                  string
	queue                 []*job
	past                  []int // calls running and queued, one entry every 20 ms
}

// job is an attempt at an upstream.
type job struct {
	begun bool
	run   func()
}

type player struct {
	load
	rng       *rand.Rand
	events    events
	at        time.Duration
	upstreams []*upstream
	timed     bool
	outcome
	served, offered int
}

const sampleInterval = 20 * time.Millisecond

func (p *player) schedule(after time.Duration, do func()) {
	heap.Push(&p.events, event{p.at + after, do})
}

func (p *player) speedOf(u *upstream, at time.Duration) float64 {
	if p.speed != nil {
		return p.speed(u.index, max(0, at))
	}
	z := p.zones[u.zone[0]-'a']
	return z.speeds[u.index%len(z.speeds)]
}

// feedback returns the feedback of an upstream. Its service time is learned half
// a second late.
func (p *player) feedback(u *upstream) *admit.Feedback {
	f := &admit.Feedback{Level: admit.OpenLevel, Limit: u.slots}
	if i := int((p.at - p.feedbackAge) / sampleInterval); i >= 0 && i < len(u.past) {
		f.InFlight = u.past[i]
	} else if i >= 0 {
		f.InFlight = u.running + len(u.queue)
	}
	if p.timed {
		f.ServiceTime = int64(float64(p.work.Microseconds()) / p.speedOf(u, p.at-p.feedbackAge-500*time.Millisecond) * (0.95 + 0.1*p.rng.Float64()))
	}
	return f
}

// send makes one attempt of a call that arrived at began.
func (p *player) send(s *Set, tried []string, began time.Duration) {
	if len(tried) == 4 { // as many as relay tries
		return
	}
	id, ok := s.Pick(start.Add(p.at), Query{Tried: tried, LatencyGoal: p.goal}, p.rng)
	if !ok {
		return
	}
	u := p.upstreams[slices.IndexFunc(p.upstreams, func(u *upstream) bool { return u.name() == id })]
	p.parts[p.at/time.Second][u.index]++
	if u.zone != s.zone {
		p.crossings[p.at/time.Second]++
		p.crossed++
	}
	if p.cutAt > 0 && p.at >= p.cutAt && u.zone != s.zone {
		p.schedule(100*time.Millisecond, func() {
			s.Done(start.Add(p.at), id, Failed, nil)
			p.send(s, append(slices.Clone(tried), id), began)
		})
		return
	}
	j := &job{}
	sent := p.at
	j.run = func() {
		work := p.work.Seconds() * math.Exp(0.5*p.rng.NormFloat64()-0.125)
		p.schedule(time.Duration(work/p.speedOf(u, p.at)*float64(time.Second)), func() {
			u.running--
			u.next()
			if p.at-began <= p.goal {
				p.within++
			}
			p.mean += (p.at - began).Seconds()
			p.served++
			s.RecordLatency(start.Add(p.at), id, p.at-sent)
			s.Done(start.Add(p.at), id, OK, p.feedback(u))
		})
	}
	u.queue = append(u.queue, j)
	u.next()
	p.schedule(p.goal/8, func() {
		if !j.begun {
			u.queue = slices.DeleteFunc(u.queue, func(o *job) bool { return o == j })
			s.Done(start.Add(p.at), id, Refused, p.feedback(u))
			p.send(s, append(slices.Clone(tried), id), began)
		}
	})
}

func (u *upstream) name() string { return fmt.Sprintf("u%02d", u.index) }

// next runs queued calls while there are free slots.
func (u *upstream) next() {
	for u.running < u.slots && len(u.queue) > 0 {
		j := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		j.begun = true
		j.run()
	}
}

// play returns what callers get, with the choice by expected completion or with
// the choice without service times.
func play(l load, timed bool) outcome {
	p := &player{load: l, rng: rand.New(rand.NewPCG(7, 11)), timed: timed}
	seconds := int(l.length/time.Second) + 30 // the last calls end after the load
	p.crossings = make([]int, seconds)
	var list []Target
	for i, z := range l.zones {
		for range z.slots {
			u := &upstream{index: len(p.upstreams), slots: z.slots[len(p.upstreams)%len(z.slots)], zone: string(rune('a' + i))}
			p.upstreams = append(p.upstreams, u)
			list = append(list, Target{ID: u.name(), Zone: u.zone})
		}
	}
	for range seconds {
		p.parts = append(p.parts, make([]int, len(p.upstreams)))
	}
	for i, z := range l.zones {
		perSecond := 0.0
		for _, u := range p.upstreams {
			if u.zone == string(rune('a'+i)) {
				perSecond += z.used * float64(u.slots) * p.speedOf(u, 0) / l.work.Seconds()
			}
		}
		var sets []*Set
		for range l.nodes {
			s := NewSet(string(rune('a'+i)), WithQuality())
			s.Update(list)
			sets = append(sets, s)
		}
		p.schedule(0, func() { p.arrive(sets, i == 0 && l.calmAt > 0, perSecond) })
	}
	p.schedule(0, p.sample)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.at = e.at
		e.do()
	}
	p.deviation = deviation(p.upstreams[0].past[l.length/sampleInterval/2:l.length/sampleInterval]) / float64(p.upstreams[0].slots)
	p.within /= float64(p.offered)
	p.crossed /= float64(p.offered)
	p.mean /= float64(p.served)
	return p.outcome
}

// deviation returns the standard deviation of samples.
func deviation(samples []int) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range samples {
		sum += float64(x)
		squares += float64(x) * float64(x)
	}
	n := float64(len(samples))
	return math.Sqrt(squares/n - sum*sum/n/n)
}

// arrive sends a call from a random node and schedules the next one.
func (p *player) arrive(sets []*Set, calms bool, perSecond float64) {
	if p.at >= p.length {
		return
	}
	if calms && p.at >= p.calmAt {
		calms, perSecond = false, perSecond/3
	}
	p.offered++
	p.send(sets[p.rng.IntN(len(sets))], nil, p.at)
	p.schedule(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(sets, calms, perSecond) })
}

// sample records the load of the upstreams.
func (p *player) sample() {
	for _, u := range p.upstreams {
		u.past = append(u.past, u.running+len(u.queue))
	}
	if p.at < p.length {
		p.schedule(sampleInterval, p.sample)
	}
}

// Plays loads with and without service times, and checks that the choice by
// expected completion serves no smaller fraction of the calls within their goal
// in less time, and that few calls cross zones without need.
func TestLoads(t *testing.T) {
	mixed, alike := []float64{0.5, 1.7, 0.8, 1.2, 1}, []float64{1}
	slots := []int{158, 72, 110, 130, 90}
	full := []int{100, 100, 100, 100, 100, 100, 100, 100}
	slowed := func(from, to time.Duration, speed float64) func(int, time.Duration) float64 {
		return func(i int, at time.Duration) float64 {
			if i == 0 && at >= from && at < to {
				return speed
			}
			return 1
		}
	}
	const work, goal, second = 400 * time.Millisecond, 1600 * time.Millisecond, time.Second
	for _, test := range []struct {
		load
		maxCrossed float64 // upper bound of the fraction of calls that cross zones
		check      func(t *testing.T, o outcome)
	}{
		{load: load{name: "two speeds 1:3", zones: []zoneLoad{{0.8, full[:4], []float64{0.5, 1.5}}}, nodes: 20, length: 12 * second}},
		{load: load{name: "zones at 1.55 and 0.45", zones: []zoneLoad{{1.55 * 0.7, slots, mixed}, {0.45 * 0.7, slots, mixed}}, nodes: 20, length: 24 * second, calmAt: 14 * second}, maxCrossed: 0.16, check: spillsSteadily},
		{load: load{name: "feedback 200 ms old from 90 nodes", zones: []zoneLoad{{0.85, full, []float64{1.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7}}}, nodes: 90, feedbackAge: 200 * time.Millisecond, length: 12 * second}, check: noHerding},
		{load: load{name: "recovered upstream", zones: []zoneLoad{{0.75, full[:6], alike}}, nodes: 30, length: 18 * second, speed: slowed(4*second, 10*second, 0.25)}, check: recovers},
		{load: load{name: "five times slower", zones: []zoneLoad{{0.75, full[:6], alike}, {0.75, full[:6], alike}}, nodes: 20, length: 16 * second, speed: slowed(4*second, time.Hour, 0.2)}, maxCrossed: 0.05},
		{load: load{name: "calm", zones: []zoneLoad{{0.65, slots, mixed}, {0.65, slots, mixed}, {0.65, slots, mixed}}, nodes: 30, length: 10 * second}, maxCrossed: 0.02},
		{load: load{name: "slow zone, tight goal", zones: []zoneLoad{{0.65, slots, []float64{0.6}}, {0.65, slots, alike}, {0.65, slots, []float64{1.4}}}, nodes: 30, length: 12 * second, goal: 800 * time.Millisecond}, maxCrossed: 0.5},
		{load: load{name: "zone cut off", zones: []zoneLoad{{1.05 * 0.9, slots, mixed}, {0.5, slots, mixed}}, nodes: 20, length: 16 * second, cutAt: 6 * second}, maxCrossed: 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.work = work
			test.goal = cmp.Or(test.goal, goal)
			before, after := play(test.load, false), play(test.load, true)
			t.Logf("within the goal %.4f, now %.4f; mean latency %.0f ms, now %.0f ms; crossed %.4f, now %.4f; deviation %.2f, now %.2f", before.within, after.within, 1000*before.mean, 1000*after.mean, before.crossed, after.crossed, before.deviation, after.deviation)
			assert.Assert(t, after.within >= before.within)
			assert.Assert(t, after.mean <= before.mean)
			assert.Assert(t, after.crossed <= test.maxCrossed)
			if test.check != nil {
				test.check(t, after)
			}
		})
	}
}

// spillsSteadily guards against load that oscillates between zones, and against
// load that stays in another zone after its own has become calm.
func spillsSteadily(t *testing.T, o outcome) {
	settled := o.crossings[7:14]
	assert.Assert(t, slices.Max(settled) < 2*slices.Min(settled), "%v", settled)
	for _, n := range o.crossings[19:24] {
		assert.Assert(t, n < slices.Min(settled)/5, "%d calls cross after the load", n)
	}
}

// noHerding guards against a fast upstream that all nodes fill at once between
// two feedbacks.
func noHerding(t *testing.T, o outcome) {
	assert.Assert(t, o.deviation < 0.2, "%.2f of the slots; independent arrivals give 0.1", o.deviation)
}

// recovers guards against an upstream that stays without calls once it was slow.
func recovers(t *testing.T, o outcome) {
	for _, parts := range o.parts[13:17] {
		total := 0
		for _, n := range parts {
			total += n
		}
		assert.Assert(t, float64(parts[0]) > 0.75*float64(total)/float64(len(parts)), "%v", parts)
	}
}

// Guards against uploads that cross zones although a target of their zone can
// serve them, and against uploads that wait in a zone whose queues are full.
func TestLargeBodyStays(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight []int // of the targets of the own zone, with a limit of 100
		want     float64
	}{
		{"one target full", []int{150, 30, 30}, 1},
		{"crowded", []int{100, 99, 101}, 1},
		{"full", []int{200, 200, 200}, 0},
	} {
		s := newTestSet(6, 3)
		s.trackQuality = true
		rng := newRNG()
		own := 0.0
		for i := range 500 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			for k, st := range s.targets {
				f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 20, ServiceTime: 300_000}
				if k < 3 {
					f.InFlight = test.inFlight[k]
				}
				s.Done(now, st.ID, OK, f)
			}
			id, _ := s.Pick(now, Query{LargeBody: true, LatencyGoal: time.Second}, rng)
			s.Done(now, id, Unknown, nil)
			if s.find(id).Zone == "a" {
				own += 1. / 500
			}
		}
		assert.Assert(t, math.Abs(own-test.want) < 0.02, "%s: %.3f of the calls stay", test.name, own)
	}
}

// Guards against retries that go to slow targets as often as first attempts.
func TestRetriesAvoidSlowTarget(t *testing.T) {
	slow := func(tried []string) float64 {
		s := newTestSet(6, 6)
		for i, st := range s.targets {
			f := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 50, ServiceTime: 200_000}
			if i == 0 {
				f.ServiceTime *= 3
			}
			s.Done(start, st.ID, OK, f)
		}
		return float64(picks(s, start, 20000, Query{Tried: tried}, Unknown, nil)["t000"]) / 20000
	}
	first, retry := slow(nil), slow([]string{"t001", "t002"})
	assert.Assert(t, first < 1./6/5, "first attempts: %.4f", first)
	assert.Assert(t, retry < 1./4/5, "retries: %.4f", retry)
}

// Guards against load that is sent on to a zone whose calls get no response. Only
// half of the targets are ejected, so that one of them remains.
func TestSilentZone(t *testing.T) {
	s := newTestSet(6, 2)
	rng := newRNG()
	full := &admit.Feedback{Level: admit.OpenLevel, Limit: 100, InFlight: 150, ServiceTime: 500_000}
	crossed := [10]int{}
	for i := range 10000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		id, _ := s.Pick(now, Query{LatencyGoal: time.Second, NoProbe: true}, rng)
		if s.find(id).Zone == "a" {
			s.Done(now, id, Refused, full)
		} else {
			crossed[i/1000]++
		}
	}
	assert.Assert(t, crossed[1] > 0)
	assert.DeepEqual(t, crossed[4:], make([]int, 6))
}
