package spread

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/picker"
)

// Load describes calls to one service that Play plays in virtual time.
type Load struct {
	Name        string
	Zones       []ZoneLoad
	Nodes       int // calling nodes a zone
	Work        time.Duration
	Goal        time.Duration
	FeedbackAge time.Duration
	Speed       func(upstream int, at time.Duration) float64 // nil for the speeds of the zones
	Length      time.Duration
	CalmAt      time.Duration // from when zone a offers a third of its load; 0 for never
	CutAt       time.Duration // from when calls between zones fail; 0 for never
}

// ZoneLoad is the load and the upstreams of a zone.
type ZoneLoad struct {
	Used   float64 // offered load as a fraction of the capacity of the upstreams
	Slots  []int
	Speeds []float64
}

// Outcome is what callers get.
type Outcome struct {
	Within, Crossed float64 // served within the goal, and attempts that crossed zones, for each call
	Mean            float64 // latency in seconds of served calls
	Parts           [][]int // calls to each upstream in each second
	Crossings       []int   // calls between zones in each second
	Deviation       float64 // standard deviation of the load of the first upstream as a fraction of its slots, over the second half
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
	Load
	rng       *rand.Rand
	events    events
	at        time.Duration
	upstreams []*upstream
	timed     bool
	Outcome
	served, offered int
}

const sampleInterval = 20 * time.Millisecond

func (p *player) now() time.Time { return time.Unix(1_000_000_000, 0).Add(p.at) }

func zoneName(i int) string { return string(rune('a' + i)) }

func (p *player) schedule(after time.Duration, do func()) {
	heap.Push(&p.events, event{p.at + after, do})
}

func (p *player) speedOf(u *upstream, at time.Duration) float64 {
	if p.Speed != nil {
		return p.Speed(u.index, max(0, at))
	}
	z := p.Zones[u.zone[0]-'a']
	return z.Speeds[u.index%len(z.Speeds)]
}

// feedback returns the feedback of an upstream. Its service time is learned half
// a second late.
func (p *player) feedback(u *upstream) *admit.Feedback {
	f := &admit.Feedback{Level: admit.OpenLevel, Limit: u.slots}
	if i := int((p.at - p.FeedbackAge) / sampleInterval); i >= 0 && i < len(u.past) {
		f.InFlight = u.past[i]
	} else if i >= 0 {
		f.InFlight = u.running + len(u.queue)
	}
	if p.timed {
		f.ServiceTime = int64(float64(p.Work.Microseconds()) / p.speedOf(u, p.at-p.FeedbackAge-500*time.Millisecond) * (0.95 + 0.1*p.rng.Float64()))
	}
	return f
}

// send makes one attempt of a call that arrived at began.
func (p *player) send(s *picker.Set, zone string, tried []string, began time.Duration) {
	if len(tried) == 4 { // as many as relay tries
		return
	}
	id, ok := s.Pick(p.now(), picker.Query{Tried: tried, LatencyGoal: p.Goal}, p.rng)
	if !ok {
		return
	}
	u := p.upstreams[slices.IndexFunc(p.upstreams, func(u *upstream) bool { return u.name() == id })]
	p.Parts[p.at/time.Second][u.index]++
	if u.zone != zone {
		p.Crossings[p.at/time.Second]++
		p.Crossed++
	}
	if p.CutAt > 0 && p.at >= p.CutAt && u.zone != zone {
		p.schedule(100*time.Millisecond, func() {
			s.Done(p.now(), id, picker.Failed, nil)
			p.send(s, zone, append(slices.Clone(tried), id), began)
		})
		return
	}
	j := &job{}
	sent := p.at
	j.run = func() {
		work := p.Work.Seconds() * math.Exp(0.5*p.rng.NormFloat64()-0.125)
		p.schedule(time.Duration(work/p.speedOf(u, p.at)*float64(time.Second)), func() {
			u.running--
			u.next()
			if p.at-began <= p.Goal {
				p.Within++
			}
			p.Mean += (p.at - began).Seconds()
			p.served++
			s.RecordLatency(p.now(), id, p.at-sent)
			s.Done(p.now(), id, picker.OK, p.feedback(u))
		})
	}
	u.queue = append(u.queue, j)
	u.next()
	p.schedule(p.Goal/8, func() {
		if !j.begun {
			u.queue = slices.DeleteFunc(u.queue, func(o *job) bool { return o == j })
			s.Done(p.now(), id, picker.Refused, p.feedback(u))
			p.send(s, zone, append(slices.Clone(tried), id), began)
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

// Play returns what callers get, with the choice by expected completion or with
// the choice without service times.
func Play(l Load, timed bool, seed uint64) Outcome {
	p := &player{Load: l, rng: rand.New(rand.NewPCG(seed, 11)), timed: timed}
	seconds := int(l.Length/time.Second) + 30 // the last calls end after the load
	p.Crossings = make([]int, seconds)
	var list []picker.Target
	for i, z := range l.Zones {
		for range z.Slots {
			u := &upstream{index: len(p.upstreams), slots: z.Slots[len(p.upstreams)%len(z.Slots)], zone: zoneName(i)}
			p.upstreams = append(p.upstreams, u)
			list = append(list, picker.Target{ID: u.name(), Zone: u.zone})
		}
	}
	for range seconds {
		p.Parts = append(p.Parts, make([]int, len(p.upstreams)))
	}
	for i, z := range l.Zones {
		perSecond := 0.0
		for _, u := range p.upstreams {
			if u.zone == zoneName(i) {
				perSecond += z.Used * float64(u.slots) * p.speedOf(u, 0) / l.Work.Seconds()
			}
		}
		var sets []*picker.Set
		for range l.Nodes {
			s := picker.NewSet(zoneName(i), picker.WithQuality())
			s.Update(list)
			sets = append(sets, s)
		}
		p.schedule(0, func() { p.arrive(sets, zoneName(i), i == 0 && l.CalmAt > 0, perSecond) })
	}
	p.schedule(0, p.sample)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.at = e.at
		e.do()
	}
	p.Deviation = deviation(p.upstreams[0].past[l.Length/sampleInterval/2:l.Length/sampleInterval]) / float64(p.upstreams[0].slots)
	p.Within /= float64(p.offered)
	p.Crossed /= float64(p.offered)
	p.Mean /= float64(p.served)
	return p.Outcome
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
func (p *player) arrive(sets []*picker.Set, zone string, calms bool, perSecond float64) {
	if p.at >= p.Length {
		return
	}
	if calms && p.at >= p.CalmAt {
		calms, perSecond = false, perSecond/3
	}
	p.offered++
	p.send(sets[p.rng.IntN(len(sets))], zone, nil, p.at)
	p.schedule(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { p.arrive(sets, zone, calms, perSecond) })
}

// sample records the load of the upstreams.
func (p *player) sample() {
	for _, u := range p.upstreams {
		u.past = append(u.past, u.running+len(u.queue))
	}
	if p.at < p.Length {
		p.schedule(sampleInterval, p.sample)
	}
}
