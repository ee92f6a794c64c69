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

// pollInterval is the time between two checks of the queue for calls that can't
// meet their deadline.
const pollInterval = 20 * time.Millisecond

// overloadRetryAfter is the time after which a refused caller may retry. By then
// the admission levels by which the entry nodes refuse calls have expired, so that
// a retry can reach the target.
const overloadRetryAfter = time.Second

// queueDivisor limits the time in the queue: a call waits for at most
// 1/queueDivisor of its latency goal. If it is then refused, the rest of the goal
// is left for a retry at another target.
const queueDivisor = 8

// refusalMargin is the time before the deadline of a call at which its dispatch is given up. The
// deadline of a call at its target is later than at the calling node, by the time that the call
// took to arrive. A refusal at the deadline would reach a calling node that has given up and
// has to report that the call may have been executed. The time covers a transfer between zones
// and the wait for a processor of a busy node.
const refusalMargin = 20 * time.Millisecond

// refusalMarginDivisor limits the margin to a part of the time that a call has left when it
// arrives, so that a call with a short deadline may still wait.
const refusalMarginDivisor = 4

// dispatchDeadline returns the time at which a call that arrives now and is not dispatched by
// then is refused.
func dispatchDeadline(deadline, now time.Time) time.Time {
	return deadline.Add(-min(refusalMargin, deadline.Sub(now)/refusalMarginDivisor))
}

// gate queues and admits calls to the local upstream so that no more than a limit
// run at a time. It is safe for concurrent use.
type gate struct {
	mu             sync.Mutex
	admit          *admit.Gate[*waiter]
	limit          *limit.Limit
	schedulerLimit *limit.SchedulerLimit
	fixedSlots     int           // exact number of calls that the upstream serves concurrently; 0 if unknown
	wake           chan struct{} // wakes poll when a call is queued

	slots   int // that the upstream announces; 0 if unknown
	learned learnedSpeed
}

// waiter is a call at the gate. The gate sends nil to result when the call may
// run, or the refusal.
type waiter struct {
	result    chan *refuse.Error
	abandoned bool
}

func newGate() *gate {
	return &gate{admit: admit.NewGate[*waiter](admit.DefaultMaxWait), limit: limit.New(), schedulerLimit: limit.NewSchedulerLimit(), wake: make(chan struct{}, 1)}
}

// enter waits until the call may run. If it returns nil, the caller must call
// leave.
func (g *gate) enter(ctx context.Context, h *CallHead, now time.Time) *refuse.Error {
	w := &waiter{result: make(chan *refuse.Error, 1)}
	g.mu.Lock()
	d, dropped := g.admit.Arrive(now, g.currentLimit(), admit.Item[*waiter]{
		Rank: h.Call.Rank, ChildCall: h.Call.Depth > 1, Customer: h.Call.Customer, Weight: h.Call.Weight, Deadline: h.Call.Deadline, MaxWait: queueWait(h.Call.LatencyGoal), Value: w,
	})
	refuseDropped(dropped)
	g.mu.Unlock()
	if d == admit.Admitted {
		return nil
	}
	select {
	case g.wake <- struct{}{}:
	default:
	}
	late := time.NewTimer(time.Until(dispatchDeadline(h.Call.Deadline, now)))
	defer late.Stop()
	select {
	case e := <-w.result:
		return e
	case <-late.C:
		return g.abandon(context.DeadlineExceeded, w)
	case <-ctx.Done():
		return g.abandon(ctx.Err(), w)
	}
}

// abandon ends the wait of a call for the given reason.
func (g *gate) abandon(reason error, w *waiter) *refuse.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case e := <-w.result:
		if e == nil {
			g.releaseSlot(time.Now(), 0)
		}
	default:
		w.abandoned = true
	}
	if errors.Is(reason, context.DeadlineExceeded) {
		return refuse.New(refuse.DeadlineExceeded, "the deadline passed in the queue of the target")
	}
	return refuse.New(refuse.Cancelled, "the request was cancelled")
}

// cancel ends a call that entered and did not run.
func (g *gate) cancel(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseSlot(now, 0)
}

// leave ends a call that entered. took is its total duration, or 0 if it failed.
func (g *gate) leave(s limit.Sample, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Observe(now, s, g.admit.Running())
	g.releaseSlot(now, took)
}

// releaseSlot releases the slot of a call and starts queued calls. The caller
// holds mu.
func (g *gate) releaseSlot(now time.Time, took time.Duration) {
	run, dropped := g.admit.Finish(now, g.currentLimit(), took)
	refuseDropped(dropped)
	g.startQueued(run, now)
}

// startQueued lets queued calls run. An abandoned call releases its slot at once.
// The caller holds mu.
func (g *gate) startQueued(run []admit.Item[*waiter], now time.Time) {
	for _, it := range run {
		if it.Value.abandoned {
			g.releaseSlot(now, 0)
			continue
		}
		it.Value.result <- nil
	}
}

func refuseDropped(dropped []admit.Dropped[*waiter]) {
	for _, d := range dropped {
		if !d.Item.Value.abandoned {
			d.Item.Value.result <- causeRefusal(d.Cause)
		}
	}
}

func causeRefusal(c admit.Cause) *refuse.Error {
	if c == admit.MissesDeadline {
		return refuse.New(refuse.DeadlineExceeded, "the target can't answer before the deadline")
	}
	return refuse.New(refuse.Overloaded, "the target is overloaded").WithRetryAfter(overloadRetryAfter)
}

// poll is the background task that drops queued calls that can't meet their
// deadline. It sleeps while the queue is empty.
func (g *gate) poll(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.wake:
		}
		for super.Pause(ctx, pollInterval) && g.pollOnce(time.Now()) {
		}
	}
}

// pollOnce checks the queue once. It reports whether calls remain in it.
func (g *gate) pollOnce(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, dropped := g.admit.Poll(now, g.currentLimit())
	refuseDropped(dropped)
	g.startQueued(run, now)
	return g.admit.Waiting() > 0
}

// applyHints applies the slots and the load that the upstream announced. For a new
// process of the upstream, it resets the adaptive limit first.
func (g *gate) applyHints(u Upstream, newProcess bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if newProcess {
		g.limit.Restart()
		g.learned.restart()
	}
	g.slots = u.Slots
	g.limit.HintSlots(u.Slots)
	g.fixedSlots = 0
	if u.FixedSlots {
		g.fixedSlots = u.Slots
	}
	if u.Load > 0 {
		g.limit.HintLoad(now, u.Load)
	}
}

// applyStatement applies the rate limit that the upstream states.
func (g *gate) applyStatement(s Statement, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Limited {
		g.admit.Rate.Set(now, s.PerSec)
	} else {
		g.admit.Rate.Clear()
	}
}

// takeRepeat reports whether the rate limit of the upstream lets a running request be sent
// to it once more, and if so counts it.
func (g *gate) takeRepeat(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admit.Rate.Take(now)
}

func (g *gate) feedback(customer string, now time.Time) admit.Feedback {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.admit.Feedback(now, g.currentLimit(), customer)
	f.ServiceTime = g.learned.serviceTime(now).Microseconds()
	return f
}

// Load is the utilization of the local upstream at one moment.
type Load struct {
	Running, Waiting int     // number of calls
	Limit            int     // maximum number of running calls
	ProcessorBound   bool    // the node's own processor lowers the limit; only measured for fixed slots
	Rate             float64 // calls per second that the upstream accepts; 0 without a limit

	LearnedLimit int           // limit by the learned capacity; 0 if it is not in use
	ServiceTime  time.Duration // learned; 0 if unknown
	WorkTime     float64       // that the upstream reported last, as a multiple of the usual; 0 if unknown
}

func (g *gate) load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	perSecond, _ := g.admit.Rate.Limit()
	return Load{
		Rate:    perSecond,
		Running: g.admit.Running(), Waiting: g.admit.Waiting(), Limit: g.currentLimit(),
		ProcessorBound: g.fixedSlots > 0 && g.schedulerLimit.Value() < g.fixedSlots,
		LearnedLimit:   g.learnedLimit(), ServiceTime: g.learned.serviceTime(time.Now()), WorkTime: g.learned.workTime(),
	}
}

// currentLimit returns the number of calls that may run now. The adaptive limit
// already includes the delay of the node's own processor, which is part of the
// latency. With fixed slots the delay is measured separately. The caller holds
// mu.
func (g *gate) currentLimit() int {
	if g.fixedSlots > 0 {
		return min(g.learned.lower(g.fixedSlots), g.schedulerLimit.Value())
	}
	return g.limit.Value()
}

// measureSchedulerDelay measures how long a runnable goroutine waits for a
// processor. It does nothing unless the upstream has fixed slots.
func (g *gate) measureSchedulerDelay() {
	g.mu.Lock()
	hasFixedSlots := g.fixedSlots > 0
	g.mu.Unlock()
	if !hasFixedSlots {
		return
	}
	began := time.Now()
	runtime.Gosched()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.schedulerLimit.Observe(now, now.Sub(began), g.admit.Running())
}

// queueWait returns the maximum time that a call with a latency goal waits in the
// queue; 0 without a goal, for the default of the queue.
func queueWait(goal time.Duration) time.Duration {
	return goal / queueDivisor
}
