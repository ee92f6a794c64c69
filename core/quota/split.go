package quota

import (
	"math"
	"math/bits"

	"dogwoodsill.org/core/model"
	"github.com/cespare/xxhash/v2"
)

// SlotsPerZone is the number of bucket slots of a zone with a burst of at least
// as many tokens.
const SlotsPerZone = 2

// ShareID names a share.
type ShareID struct {
	Customer string `msgpack:"customer"`
	Zone     string `msgpack:"zone"`
	Slot     int    `msgpack:"slot"`
}

// Share is the part of a customer's rate and burst that one bucket slot holds.
type Share struct {
	ShareID
	Slots int    // slots of the zone
	Rate  Amount // per second
	Burst Amount // whole tokens, at least one
}

// OwnerKey returns the key for epoch.Epoch.Slots. Slot i of the share belongs to
// element i of Slots(key, SlotsPerZone).
func OwnerKey(customer string) string {
	return "share/" + customer
}

// weightUnits is the number of units in which weights are counted. It matches
// the slack of 1e-9 that the check of the fleet object allows.
const weightUnits = 1_000_000_000

// Split divides the rate and burst of a customer among zones by weight and
// within a zone evenly among its slots. The parts add up exactly to the rate
// (in millionths of a token per second) and the burst if the weights add up
// to 1.
//
// Every part of the burst is a whole number of tokens. With a burst of at least
// the number of zones each zone gets one token and its part of the rest; with a
// lower burst only that many zones get a share, chosen by a hash of the
// customer, and the rate is divided among these. A zone has two slots if it has
// two tokens.
//
// If the weights add up to less than 1, the rest counts as a last zone that
// nobody serves. A zone that is appended to the list and takes over the whole
// rest therefore changes no other zone's share. This makes the second change
// of the two that add a zone safe while a partitioned zone lags behind.
func Split(customer string, rate, burst Amount, zones []model.ZoneWeight) []Share {
	parts := weigh(zones)
	if len(parts) == 0 || burst < Token || rate <= 0 {
		return nil
	}
	tokens := uint64(burst / Token)
	first := xxhash.Sum64String(customer) % uint64(len(parts))
	counts := divideTokens(tokens, parts, first)
	rates := divideRate(uint64(rate), parts, counts)
	var out []Share
	for i, p := range parts {
		if p.name != "" {
			out = append(out, slots(customer, p.name, rates[i], counts[i])...)
		}
	}
	return out
}

// SplitCustomer is Split for the configuration objects. A fleet without zones
// gives no share.
func SplitCustomer(name string, c model.Customer, f model.Fleet) []Share {
	return Split(name, PerSecond(c.Rate), Tokens(c.Burst), f.Zones)
}

// part is a zone with its weight in units; the name is empty for the rest that
// nobody serves.
type part struct {
	name   string
	weight uint64
}

func weigh(zones []model.ZoneWeight) []part {
	var parts []part
	var sum float64
	var done uint64
	for _, z := range zones {
		if !(z.Weight > 0) {
			continue
		}
		sum += z.Weight
		end := min(uint64(math.Round(sum*weightUnits)), weightUnits)
		if end > done {
			parts = append(parts, part{z.Name, end - done})
			done = end
		}
	}
	if rest := weightUnits - done; rest > 0 && len(parts) > 0 {
		parts = append(parts, part{"", rest})
	}
	return parts
}

// divideTokens gives each part one token, starting at first, and the rest by
// the method of Webster and Sainte-Laguë. Each further token goes to one part
// and takes none from another. While zones hold different bursts of a customer
// for a moment, their parts therefore add up to no more than the higher one.
func divideTokens(tokens uint64, parts []part, first uint64) []uint64 {
	n := uint64(len(parts))
	out := make([]uint64, n)
	for i := range min(tokens, n) {
		out[(first+i)%n] = 1
	}
	if tokens <= n {
		return out
	}
	left := tokens - n
	for i, p := range parts {
		hi, lo := bits.Mul64(p.weight, tokens-n)
		lo, carry := bits.Add64(lo, weightUnits/2, 0)
		q, _ := bits.Div64(hi+carry, lo, weightUnits)
		out[i] = max(q, 1)
		left -= out[i] - 1
	}
	for range left {
		out[neediest(parts, out)]++
	}
	return out
}

// neediest returns the part with the highest weight/(2*tokens+1), the first
// one of equal parts.
func neediest(parts []part, have []uint64) int {
	best := 0
	for i := range parts {
		ahi, alo := bits.Mul64(parts[i].weight, 2*have[best]+1)
		bhi, blo := bits.Mul64(parts[best].weight, 2*have[i]+1)
		if ahi > bhi || ahi == bhi && alo > blo {
			best = i
		}
	}
	return best
}

func divideRate(rate uint64, parts []part, counts []uint64) []uint64 {
	weights := make([]uint64, len(parts))
	for i, p := range parts {
		if counts[i] > 0 {
			weights[i] = p.weight
		}
	}
	return divide(rate, weights)
}

// divide returns the parts of a total by weight. They are differences of
// rounded cumulative sums, so they add up exactly, and a part depends only on
// the sum of the weights and on those before it.
func divide(total uint64, weights []uint64) []uint64 {
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

func slots(customer, zone string, rate, tokens uint64) []Share {
	n := min(tokens, SlotsPerZone)
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
