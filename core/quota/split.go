package quota

import (
	"math"
	"math/bits"

	"dogwoodsill.org/core/model"
	"github.com/cespare/xxhash/v2"
)

// SlotsPerZone is the number of slots, and so of buckets, into which a customer's rate
// and burst in a zone is divided. They belong to different nodes if the zone has enough,
// so that the failure of one leaves the other slot. A zone with one token has one slot.
const SlotsPerZone = 2

// ShareID identifies a share.
type ShareID struct {
	Customer string `msgpack:"customer"`
	Zone     string `msgpack:"zone"`
	Slot     int    `msgpack:"slot"`
}

// Share is the fraction of a customer's rate and burst that is assigned to one bucket
// slot of a zone.
type Share struct {
	ShareID
	Slots int    // number of slots that the customer has in the zone
	Rate  Amount // per second
	Burst Amount // whole tokens, at least one
}

// OwnerKey returns the key of a customer for epoch.Epoch.Slots. Slot i of the
// customer in a zone is owned by element i of Slots(key, SlotsPerZone).
func OwnerKey(customer string) string {
	return "share/" + customer
}

// weightUnits is the number of units that a weight of 1 has. It matches the tolerance
// of 1e-9 with which the sum of weights in the fleet object is validated.
const weightUnits = 1_000_000_000

// Split divides the rate and burst of a customer among the zones by weight, and
// within a zone evenly among its slots. If the weights add up to 1, the shares add up
// exactly to the rate (in millionths of a token per second) and to the burst.
//
// The burst of each share is a whole number of tokens. If the burst is at least the
// number of zones, each zone gets one token and the rest is divided by weight. If it
// is lower, only as many zones as the burst has tokens get a share; a hash of the
// customer name selects them, and the rate is divided among them. A zone has two
// slots if it has at least two tokens and the burst is enough for two groups. With a
// lower burst all shares form one group, and a second slot would only add messages.
//
// If the weights add up to less than 1, the rest is assigned to an implicit last zone
// whose shares are not returned. A zone that is appended to the list with all of the
// remaining weight therefore changes no other zone's share. To add a zone, first lower
// the other weights, then add the zone in a second change of the configuration. Since
// the second change alters no other share, it is safe while a partitioned zone does not
// know it yet.
func Split(customer string, rate, burst Amount, zones []model.ZoneWeight) []Share {
	weighted := weightZones(zones)
	if len(weighted) == 0 || burst < Token || rate <= 0 {
		return nil
	}
	tokens := uint64(burst / Token)
	first := xxhash.Sum64String(customer) % uint64(len(weighted))
	counts := divideTokens(tokens, weighted, first)
	rates := divideRate(uint64(rate), weighted, counts)
	slots := uint64(SlotsPerZone)
	if burst < SlotsPerZone*groupBurst {
		slots = 1
	}
	var out []Share
	for i, z := range weighted {
		if z.name != "" {
			out = append(out, zoneShares(customer, z.name, rates[i], counts[i], slots)...)
		}
	}
	return out
}

// SplitCustomer is Split for configuration objects. It returns no shares for a fleet
// without zones.
func SplitCustomer(name string, c model.Customer, f model.Fleet) []Share {
	return Split(name, PerSecond(c.Rate), Tokens(c.Burst), f.Zones)
}

// weightedZone is a zone with its weight in weightUnits. The name is empty for the
// weight that is assigned to no zone.
type weightedZone struct {
	name   string
	weight uint64
}

// weightZones returns the zones with a positive weight. Weights beyond a sum of 1 are
// ignored; a rest up to 1 is appended as a zone without a name.
func weightZones(zones []model.ZoneWeight) []weightedZone {
	var weighted []weightedZone
	var sum float64
	var assigned uint64
	for _, z := range zones {
		if !(z.Weight > 0) {
			continue
		}
		sum += z.Weight
		end := min(uint64(math.Round(sum*weightUnits)), weightUnits)
		if end > assigned {
			weighted = append(weighted, weightedZone{z.Name, end - assigned})
			assigned = end
		}
	}
	if rest := weightUnits - assigned; rest > 0 && len(weighted) > 0 {
		weighted = append(weighted, weightedZone{"", rest})
	}
	return weighted
}

// divideTokens gives each zone one token, starting at index first, and divides the
// rest by the method of Webster and Sainte-Laguë. With this method a higher burst
// takes no token from any zone. While zones use different bursts of a customer during
// a change, their tokens therefore add up to no more than the higher burst.
func divideTokens(tokens uint64, weighted []weightedZone, first uint64) []uint64 {
	n := uint64(len(weighted))
	out := make([]uint64, n)
	for i := range min(tokens, n) {
		out[(first+i)%n] = 1
	}
	if tokens <= n {
		return out
	}
	// Start with each zone's rounded fraction of tokens-n, but at least one token. Each
	// value exceeds the exact fraction by at most 1, so the sum is at most tokens.
	// Rounding fractions of a lower total with the same method gives no zone too much.
	remaining := tokens - n
	for i, z := range weighted {
		hi, lo := bits.Mul64(z.weight, tokens-n)
		lo, carry := bits.Add64(lo, weightUnits/2, 0)
		q, _ := bits.Div64(hi+carry, lo, weightUnits)
		out[i] = max(q, 1)
		remaining -= out[i] - 1
	}
	for range remaining {
		out[nextZone(weighted, out)]++
	}
	return out
}

// nextZone returns the index of the zone that gets the next token: the one with the
// highest weight/(2*tokens+1), the first one if several are equal.
func nextZone(weighted []weightedZone, counts []uint64) int {
	best := 0
	for i := range weighted {
		ahi, alo := bits.Mul64(weighted[i].weight, 2*counts[best]+1)
		bhi, blo := bits.Mul64(weighted[best].weight, 2*counts[i]+1)
		if ahi > bhi || ahi == bhi && alo > blo {
			best = i
		}
	}
	return best
}

// divideRate divides a rate by weight among the zones that have tokens.
func divideRate(rate uint64, weighted []weightedZone, counts []uint64) []uint64 {
	weights := make([]uint64, len(weighted))
	for i, z := range weighted {
		if counts[i] > 0 {
			weights[i] = z.weight
		}
	}
	return divideByWeight(rate, weights)
}

// divideByWeight divides a total by weight. The results are differences of rounded
// cumulative sums, so they add up exactly to the total, and each one depends only on
// its own weight, the weights before it, and the sum of all weights.
func divideByWeight(total uint64, weights []uint64) []uint64 {
	var sum uint64
	for _, w := range weights {
		sum += w
	}
	out := make([]uint64, len(weights))
	var cum, before uint64
	for i, w := range weights {
		cum += w
		hi, lo := bits.Mul64(total, cum)
		end, _ := bits.Div64(hi, lo, sum)
		out[i] = end - before
		before = end
	}
	return out
}

// zoneShares divides the rate and tokens of one zone evenly among its slots.
func zoneShares(customer, zone string, rate, tokens, slots uint64) []Share {
	n := min(tokens, slots)
	var out []Share
	for i := range n {
		out = append(out, Share{
			ShareID: ShareID{Customer: customer, Zone: zone, Slot: int(i)},
			Slots:   int(n),
			Rate:    Amount(rate*(i+1)/n - rate*i/n),
			Burst:   Amount(tokens*(i+1)/n-tokens*i/n) * Token,
		})
	}
	return out
}
