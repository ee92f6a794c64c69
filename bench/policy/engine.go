package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

// engine is a discrete-event simulator with a virtual clock. Events at the same
// time run in the order of scheduling.
type engine struct {
	now    time.Time
	events events
	seq    uint64
	rng    *rand.Rand
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(x any) { *h = append(*h, x.(event)) }

func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func newEngine(seed uint64) *engine {
	return &engine{now: epoch, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// after schedules f to run after d of virtual time.
func (e *engine) after(d time.Duration, f func()) {
	heap.Push(&e.events, event{at: e.now.Add(d), seq: e.seq, run: f})
	e.seq++
}

// every schedules f to run periodically, with interval d.
func (e *engine) every(d time.Duration, f func()) {
	e.after(d, func() {
		f()
		e.every(d, f)
	})
}

// elapsed returns the virtual time since epoch.
func (e *engine) elapsed() time.Duration {
	return e.now.Sub(epoch)
}

// run processes the events up to the given virtual time since epoch.
func (e *engine) run(until time.Duration) {
	end := epoch.Add(until)
	for len(e.events) > 0 && !e.events[0].at.After(end) {
		ev := heap.Pop(&e.events).(event)
		e.now = ev.at
		ev.run()
	}
	e.now = end
}
