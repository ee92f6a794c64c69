package picker

import (
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
}

// zoneLoad is the load and the upstreams of a zone.
type zoneLoad struct {
	used   float64 // offered load as a fraction of the capacity of the upstreams
	slots  []int
	speeds []float64
}

// outcome is what callers get.
type outcome struct {
	within, crossed float64   // fractions of the calls
	mean            float64   // latency in seconds of served calls
	used            []float64 // mean running calls of each upstream as a fraction of its slots, over the second half
	parts           [][]int   // calls to each upstream in each second
	crossings       []int     // calls between zones in each second
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
	id, ok := s.Pick(start.Add(p.at), Query{Tried: tried, LatencyGoal: p.goal}, p.rng)
	if !ok || len(tried) == 4 {
		return
	}
	u := p.upstreams[slices.IndexFunc(p.upstreams, func(u *upstream) bool { return u.name() == id })]
	p.parts[p.at/time.Second][u.index]++
	if u.zone != s.zone {
		p.crossings[p.at/time.Second]++
		p.crossed++
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
	seconds := int(l.length/time.Second) + 30
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
	p.used = make([]float64, len(p.upstreams))
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
		p.schedule(0, func() { p.arrive(sets, perSecond) })
	}
	p.schedule(0, p.sample)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.at = e.at
		e.do()
	}
	p.within /= float64(p.offered)
	p.crossed /= float64(p.offered)
	p.mean /= float64(p.served)
	return p.outcome
}

// arrive sends a call from a random node and schedules the next one.
func (p *player) arrive(sets []*Set, perSecond float64) {
	if p.at >= p.length {
		return
	}
	p.offered++
	p.send(sets[p.rng.IntN(len(sets))], nil, p.at)
	p.schedule(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(sets, perSecond) })
}

// sample records the load of the upstreams.
func (p *player) sample() {
	for i, u := range p.upstreams {
		u.past = append(u.past, u.running+len(u.queue))
		if p.at >= p.length/2 && p.at < p.length {
			p.used[i] += float64(u.running) / float64(u.slots) * float64(sampleInterval) / float64(p.length-p.length/2)
		}
	}
	if p.at < p.length {
		p.schedule(sampleInterval, p.sample)
	}
}

// equal returns n upstreams with these slots.
func equal(n, slots int) []int { return slices.Repeat([]int{slots}, n) }

func loads() []load {
	mixed := []float64{0.5, 1.7, 0.8, 1.2, 1}
	alike := []float64{1}
	zones := func(used ...float64) (z []zoneLoad) {
		for _, u := range used {
			z = append(z, zoneLoad{u, []int{158, 72, 110, 130, 90}, mixed})
		}
		return z
	}
	return []load{
		{name: "two speeds 1:3", zones: []zoneLoad{{0.8, equal(4, 100), []float64{0.5, 1.5}}}, nodes: 20, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, length: 12 * time.Second},
		{name: "zone at 1.55 beside 0.45", zones: zones(1.55*0.7, 0.45*0.7), nodes: 20, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, length: 20 * time.Second},
		{name: "feedback 200 ms old, 90 nodes", zones: []zoneLoad{{0.85, equal(8, 100), []float64{1.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7, 0.7}}}, nodes: 90, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, feedbackAge: 200 * time.Millisecond, length: 12 * time.Second},
		{name: "recovered upstream", zones: []zoneLoad{{0.75, equal(6, 100), alike}}, nodes: 30, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, length: 20 * time.Second, speed: func(i int, at time.Duration) float64 {
			if i == 0 && at >= 4*time.Second && at < 10*time.Second {
				return 0.25
			}
			return 1
		}},
		{name: "upstream five times slower", zones: []zoneLoad{{0.75, equal(6, 100), alike}, {0.75, equal(6, 100), alike}}, nodes: 20, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, length: 16 * time.Second, speed: func(i int, at time.Duration) float64 {
			if i == 0 && at >= 4*time.Second {
				return 0.2
			}
			return 1
		}},
		{name: "calm, 3 zones", zones: zones(0.65, 0.65, 0.65), nodes: 30, work: 200 * time.Millisecond, goal: 800 * time.Millisecond, length: 10 * time.Second},
		{name: "tight goal, 3 zones full", zones: zones(0.92, 0.92, 0.92), nodes: 30, work: 100 * time.Millisecond, goal: 400 * time.Millisecond, length: 8 * time.Second},
	}
}

func TestLoads(t *testing.T) {
	for _, l := range loads() {
		t.Run(l.name, func(t *testing.T) {
			before, after := play(l, false), play(l, true)
			t.Logf("within goal %.4f, now %.4f; mean latency %.0f ms, now %.0f ms; crossed %.4f, now %.4f", before.within, after.within, 1000*before.mean, 1000*after.mean, before.crossed, after.crossed)
			t.Logf("used %.2f, now %.2f; cross %v, now %v", before.used, after.used, before.crossings, after.crossings)
			assert.Assert(t, after.within >= before.within)
		})
	}
}
