package relay

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/limit"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
)

// pollEvery is how often queued calls are looked at for missed deadlines.
const pollEvery = 20 * time.Millisecond

// overloadRetry is the time after which a refused caller may try again. Levels
// at the entries expire after the same time.
const overloadRetry = time.Second

// queueShare is the part of the latency goal that a call may spend in the queue:
// one in queueShare. A refused caller that returns has the rest.
const queueShare = 8

// gate admits calls to the local upstream. It is safe for concurrent use.
type gate struct {
	mu    sync.Mutex
	admit *admit.Gate[*waiter]
	limit *limit.Limit
	lag   *limit.SchedulerLimit
	fixed int           // exact number of calls that the upstream serves at a time; 0 if unknown
	kick  chan struct{} // tells poll that a call waits
}

// waiter is a call that arrived at the gate. The gate sends nil when the call
// may run.
type waiter struct {
	verdict   chan *refuse.Error
	abandoned bool
}

func newGate() *gate {
	return &gate{admit: admit.NewGate[*waiter](admit.DefaultMaxWait), limit: limit.New(), lag: limit.NewSchedulerLimit(), kick: make(chan struct{}, 1)}
}

// enter waits until the call may run. After nil the caller must call leave.
func (g *gate) enter(ctx context.Context, h *CallHead, now time.Time) *refuse.Error {
	w := &waiter{verdict: make(chan *refuse.Error, 1)}
	g.mu.Lock()
	d, dropped := g.admit.Arrive(now, g.value(), admit.Item[*waiter]{
		Rank: h.Call.Rank, ChildCall: h.Call.Depth > 1, Customer: h.Call.Customer, Weight: h.Call.Weight, Deadline: h.Call.Deadline, MaxWait: queueWait(h.Call.Goal), Value: w,
	})
	refuseDropped(dropped)
	g.mu.Unlock()
	if d == admit.Admitted {
		return nil
	}
	select {
	case g.kick <- struct{}{}:
	default:
	}
	select {
	case e := <-w.verdict:
		return e
	case <-ctx.Done():
		return g.abandon(ctx, w)
	}
}

// abandon ends the wait of a call whose caller is gone.
func (g *gate) abandon(ctx context.Context, w *waiter) *refuse.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case e := <-w.verdict:
		if e == nil {
			g.finish(time.Now(), 0)
		}
	default:
		w.abandoned = true
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse.New(refuse.DeadlineExceeded, "the deadline passed in the queue of the target")
	}
	return refuse.New(refuse.Cancelled, "the request was cancelled")
}

// leave ends a call that entered. took is its whole time, or 0 if it failed.
func (g *gate) leave(s limit.Sample, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Observe(now, s, g.admit.Running())
	g.finish(now, took)
}

// finish frees a place. The caller holds mu.
func (g *gate) finish(now time.Time, took time.Duration) {
	run, dropped := g.admit.Finish(now, g.value(), took)
	refuseDropped(dropped)
	g.start(run, now)
}

// start lets queued calls run. A call whose caller is gone frees its place at
// once. The caller holds mu.
func (g *gate) start(run []admit.Item[*waiter], now time.Time) {
	for _, it := range run {
		if it.Value.abandoned {
			g.finish(now, 0)
			continue
		}
		it.Value.verdict <- nil
	}
}

func refuseDropped(dropped []admit.Dropped[*waiter]) {
	for _, d := range dropped {
		if !d.Item.Value.abandoned {
			d.Item.Value.verdict <- causeRefusal(d.Cause)
		}
	}
}

func causeRefusal(c admit.Cause) *refuse.Error {
	if c == admit.MissesDeadline {
		return refuse.New(refuse.DeadlineExceeded, "the target can't answer before the deadline")
	}
	return refuse.New(refuse.Overloaded, "the target is overloaded").WithRetryAfter(overloadRetry)
}

// poll is the duty that drops queued calls that can't meet their deadline. It
// sleeps while no call waits.
func (g *gate) poll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.kick:
		}
		for super.Pause(ctx, pollEvery) && g.pollOnce(time.Now()) {
		}
	}
}

// pollOnce reports whether calls still wait.
func (g *gate) pollOnce(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, dropped := g.admit.Poll(now, g.value())
	refuseDropped(dropped)
	g.start(run, now)
	return g.admit.Waiting() > 0
}

// hint passes on what the upstream says about itself.
func (g *gate) hint(u Upstream, restart bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if restart {
		g.limit.Restart()
	}
	g.limit.HintSlots(u.Slots)
	g.fixed = 0
	if u.FixedSlots {
		g.fixed = u.Slots
	}
	if u.Load > 0 {
		g.limit.HintLoad(now, u.Load)
	}
}

func (g *gate) feedback(customer string, now time.Time) admit.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.Feedback(now, g.value(), customer)
}

// Load is the use of the local upstream at one moment.
type Load struct {
	Running, Waiting int  // calls
	Limit            int  // calls that may run
	ProcessorBound   bool // the limit is that of the node's own processor
}

func (g *gate) load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Load{
		Running: g.admit.Running(), Waiting: g.admit.Waiting(), Limit: g.value(),
		ProcessorBound: g.fixed > 0 && g.lag.Value() < g.fixed,
	}
}

// value returns the number of calls that may run now. The adaptive limit sees the
// delay of the node's own processor in the latency; with fixed slots it has to be
// looked at for itself. The caller holds mu.
func (g *gate) value() int {
	if g.fixed > 0 {
		return min(g.fixed, g.lag.Value())
	}
	return g.limit.Value()
}

// measure records how long a goroutine that could run has to wait, where that
// bounds the calls.
func (g *gate) measure() {
	g.mu.Lock()
	fixed := g.fixed > 0
	g.mu.Unlock()
	if !fixed {
		return
	}
	began := time.Now()
	runtime.Gosched()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lag.Observe(now, now.Sub(began), g.admit.Running())
}

// queueWait returns how long a call may wait for a place: an early refusal
// leaves its caller the time to be served elsewhere.
func queueWait(goal time.Duration) time.Duration {
	return goal / queueShare
}
