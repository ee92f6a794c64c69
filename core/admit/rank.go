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

	positionMax = 1<<positionBits - 1
	excessMax   = 1<<excessBits - 1
	// excessSteps is the number of excess values for each doubling; the field
	// then reaches 2^15 times the fair share in steps of 2%.
	excessSteps = 34
)

// OpenLevel is the level that admits every request.
const OpenLevel uint32 = math.MaxUint32

// Rank returns the admission order of a request; a lower rank is shed later.
//
// The demand is that of the customer as a multiple of its max-min fair share
// (Feedback.Demand). The hash of the root request places the request at a
// uniform position within the customer's demand. The part of that position
// above the fair share is the excess of the request. So every cut through the
// ranks of a class admits the same rate from each customer that demands more
// than that, which is max-min fair wherever the cut lies. Without a known
// demand use 1.
func Rank(importance int, demand float64, root string) uint32 {
	class := uint32(min(max(importance, 0), model.MaxLevel))
	u := position(root)
	p := u * max(demand, 0)
	if !(p >= 1) { // also when demand is not a number
		return class<<classShift | uint32(p*positionMax)
	}
	excess := min(1+math.Floor(math.Log2(p)*excessSteps), excessMax)
	return class<<classShift | uint32(excess)<<positionBits | uint32(u*positionMax)
}

// position maps the identifier of a root request to [0, 1).
func position(root string) float64 {
	return float64(xxhash.Sum64String(root)>>11) / (1 << 53)
}

// LowestRank returns the lowest rank of an importance.
func LowestRank(importance int) uint32 {
	return uint32(min(max(importance, 0), model.MaxLevel)) << classShift
}

// ClassExcluded reports whether a level refuses every request of an
// importance.
func ClassExcluded(level uint32, importance int) bool {
	return level < LowestRank(importance)
}

// returnedShift moves a request that comes back after a refusal into the first
// quarter of its class.
const returnedShift = 2

// RetryRank returns the rank of a request whose caller was refused before and came
// back: it goes before first tries of the same importance and excess, as its
// caller has waited and has little time left for another try.
func RetryRank(rank uint32) uint32 {
	const mask = uint32(1)<<positionBits - 1
	return rank&^mask | rank&mask>>returnedShift
}
