package policy

import (
	"math"
	"time"
)

// spread is the standard deviation of the logarithm of the service times.
const spread = 0.5

// status is the outcome of a job or an attempt.
type status int

const (
	done    status = iota
	shed           // the upstream was full
	refused        // a node refused it
	failed         // a chain call failed, or the deadline passed
)

// job is a request that an upstream serves or queues.
type job struct {
	deadline time.Time               // zero if the upstream does not know it
	below    func(end func(ok bool)) // calls the next service; nil at the end of the chain
	end      func(st status, took, below time.Duration)
	arrived  time.Time
}

// upstream is a fake upstream with a fixed number of slots and a FIFO queue. A
// request holds its slot while it waits for its chain call.
type upstream struct {
	e         *engine
	service   Service
	slow      float64       // factor on the service time
	cold      time.Duration // time after the start in which the upstream is slower
	shedAt    int           // queue length from which it sheds load; 0 if only connections limit it
	slots     int           // announced number of slots
	fixedLoad float64       // fixed load that the endpoint reports; below 0 for the actual load
	busy      int
	queue     []job
}

// load returns the value of the load endpoint; at 1 all slots are in use.
func (u *upstream) load() float64 {
	if u.fixedLoad >= 0 {
		return u.fixedLoad
	}
	return float64(u.busy+len(u.queue)) / float64(u.service.Slots)
}

// coldFactor is the factor on the service time of an upstream at its start. It
// falls linearly to 1.
const coldFactor = 3

func (u *upstream) serve(j job) {
	j.arrived = u.e.now
	switch {
	case u.busy < u.service.Slots:
		u.begin(j)
	case u.busy+len(u.queue) >= u.service.Connections, u.shedAt > 0 && len(u.queue) >= u.shedAt:
		j.end(shed, 0, 0)
	default:
		u.queue = append(u.queue, j)
	}
}

func (u *upstream) begin(j job) {
	u.busy++
	own := u.drawServiceTime()
	u.e.after(own/2, func() {
		if j.below == nil {
			u.rest(j, own-own/2, 0)
			return
		}
		called := u.e.now
		j.below(func(ok bool) {
			waited := u.e.now.Sub(called)
			if !ok {
				u.finish(j, failed, waited)
				return
			}
			u.rest(j, own-own/2, waited)
		})
	})
}

func (u *upstream) rest(j job, d, waited time.Duration) {
	u.e.after(d, func() { u.finish(j, done, waited) })
}

// finish frees the slot of a job. The queue advances before the outcome is
// reported, because the report can cause a new request, which must queue behind
// the others.
func (u *upstream) finish(j job, st status, waited time.Duration) {
	u.busy--
	u.advance()
	j.end(st, u.e.now.Sub(j.arrived), waited)
}

func (u *upstream) advance() {
	for u.busy < u.service.Slots && len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if !next.deadline.IsZero() && u.e.now.After(next.deadline) {
			u.e.after(0, func() { next.end(failed, 0, 0) })
			continue
		}
		u.begin(next)
	}
}

// drawServiceTime draws a service time from a log-normal distribution whose mean is the
// mean of the service, multiplied by the slow and cold factors.
func (u *upstream) drawServiceTime() time.Duration {
	x := math.Exp(u.e.rng.NormFloat64()*spread - spread*spread/2)
	f := max(1, u.slow)
	if age := u.e.elapsed(); age < u.cold {
		f *= coldFactor - (coldFactor-1)*float64(age)/float64(u.cold)
	}
	return time.Duration(x * f * float64(u.service.Own))
}
