package matrix

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// Bounds on the number of faults in one round of a soak test.
const (
	minFaults = 2
	maxFaults = 4
)

// SoakOptions set the length and the seed of a soak test.
type SoakOptions struct {
	Rounds int
	Seed   uint64 // of the first round; it increases by 1 each round
}

// round is one run of a soak test, with randomly drawn faults and spans.
type round struct {
	seed   uint64
	faults []Fault
	spans  []span
}

// draw draws the faults of a round and their spans. The same seed gives the same
// round.
func draw(seed uint64) round {
	rng := rand.New(rand.NewPCG(seed, seed))
	all := Faults()
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	r := round{seed: seed, faults: all[:minFaults+rng.IntN(maxFaults-minFaults+1)]}
	for range r.faults {
		from := time.Duration(rng.Int64N(int64(beforeTime + duringTime)))
		r.spans = append(r.spans, span{from, from + time.Duration(rng.Int64N(int64(duringTime)))})
	}
	return r
}

// Soak runs deployments one after the other, each under random faults at random
// times, and writes a Markdown table. It returns ErrBroken if a round violated an
// invariant. To repeat a round, run Soak with its seed.
func Soak(ctx context.Context, w io.Writer, o SoakOptions) error {
	var results []Result
	var errs []error
	for i := range o.Rounds {
		r := draw(o.Seed + uint64(i))
		res, err := runCell(ctx, r.faults, r.spans)
		if err != nil {
			errs = append(errs, fmt.Errorf("seed %d: %w", r.seed, err))
			continue
		}
		res.Faults = append([]string{fmt.Sprintf("seed %d: ", r.seed)}, res.Faults...)
		results = append(results, res)
	}
	return errors.Join(append(errs, write(w, results))...)
}
