package relay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"dogwoodsill.org/core/admit"
	"dogwoodsill.org/core/picker"
)

// explainRoots is the number of root requests from which the admitted fraction is estimated.
const explainRoots = 1000

// Explanation tells where a call would go now.
type Explanation struct {
	Admitted float64              // fraction of the customer's requests of this importance that the node would admit
	Targets  []picker.Explanation // ordered by identifier
}

// Explain tells where a root request would go now and sends nothing. Its demand, its targets and
// what the node knows of them stay as they are.
func (b *Balancer) Explain(service, customer string, importance int, q picker.Query, now time.Time) Explanation {
	demand, level, targets := b.explained(service, customer, now)
	admitted := 0
	for i := range explainRoots {
		if admit.Rank(importance, demand, strconv.Itoa(i)) <= level {
			admitted++
		}
	}
	q.Rank = admit.LowestRank(importance)
	return Explanation{
		Admitted: float64(admitted) / explainRoots,
		Targets:  targets.Explain(now, q, rand.New(rand.NewPCG(uint64(now.UnixNano()), 0))),
	}
}

// explained returns what an explanation depends on, as a copy: picks for it take some milliseconds.
func (b *Balancer) explained(service, customer string, now time.Time) (demand float64, level uint32, targets *picker.Set) {
	list, gen := b.dir.Candidates(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.throttle.Demand(now, service, customer), b.throttle.Level(now, service), b.updatedSet(service, list, gen, now).picker.Clone()
}

// QueryOf returns the query for the first attempt of a request with a body of n bytes.
func QueryOf(n int64, goal time.Duration) picker.Query {
	return picker.Query{LargeBody: n > largeBody, LatencyGoal: goal}
}
