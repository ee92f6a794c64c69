package admit

import (
	"math"

	"dogwoodsill.org/core/model"
	"github.com/cespare/xxhash/v2"
)

// Layout of a rank, from the highest bit: importance, excess, position.
const (
	positionBits = 20
	excessBits   = 9
	classShift   = positionBits + excessBits

	maxPosition = 1<<positionBits - 1
	maxExcess   = 1<<excessBits - 1
	// excessStepsPerDoubling is the number of excess values for each doubling
	// of the demand. The field then reaches 2^15 times the fair share in steps
	// of 2%.
	excessStepsPerDoubling = 34
)

// OpenLevel is the level that admits every request.
const OpenLevel uint32 = math.MaxUint32

// Rank returns the rank of a request, its place in the order of admission. A
// request of lower rank is refused later.
//
// The rank orders requests by importance first, then by excess, then by
// position. Requests of the same importance form a class. The demand is that of
// the customer as a multiple of its max-min fair share (Feedback.Demand), or 1
// if it is unknown. The hash of the root request's identifier gives a uniform
// number u in [0, 1), and u*demand is the place of the request within the
// customer's demand, in fair shares. Below 1 the excess is 0; from 1 it grows
// with the logarithm of u*demand. So every cutoff within the ranks of a class
// admits the same rate from each customer that demands more than that rate,
// which is max-min fair.
func Rank(importance int, demand float64, root string) uint32 {
	class := uint32(min(max(importance, 0), model.MaxLevel))
	u := position(root)
	p := u * max(demand, 0)
	if !(p >= 1) { // negated so that it holds if demand is NaN
		return class<<classShift | uint32(p*maxPosition)
	}
	excess := min(1+math.Floor(math.Log2(p)*excessStepsPerDoubling), maxExcess)
	return class<<classShift | uint32(excess)<<positionBits | uint32(u*maxPosition)
}

// position maps the identifier of a root request to [0, 1).
func position(root string) float64 {
	return float64(xxhash.Sum64String(root)>>11) / (1 << 53)
}

// LowestRank returns the lowest rank of an importance.
func LowestRank(importance int) uint32 {
	return uint32(min(max(importance, 0), model.MaxLevel)) << classShift
}

// ClassExcluded reports whether a level refuses every request of an importance.
func ClassExcluded(level uint32, importance int) bool {
	return level < LowestRank(importance)
}

// retryShift divides the position of a retried request by 4.
const retryShift = 2

// RetryRank returns the rank of a request that was refused before and that its
// caller retries. The request moves into the first quarter of the positions, so
// that it goes before most first requests of the same importance and excess:
// its caller has waited and has little time left for another retry.
func RetryRank(rank uint32) uint32 {
	const mask = uint32(1)<<positionBits - 1
	return rank&^mask | rank&mask>>retryShift
}
