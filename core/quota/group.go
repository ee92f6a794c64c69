package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// groupBurst is the least burst of a group of shares. A bucket of a few tokens is full
// most of the time and discards what accrues, while requests elsewhere are refused. Of
// a customer that sends 0.6 of its rate and has a burst of one second of the rate, one
// bucket with 7 tokens refuses nearly nothing; seven buckets with one token each refuse
// 8% (the blocking probability of seven servers).
const groupBurst = 12 * Token

// Group is a set of shares of one customer whose rates and bursts are combined in one
// bucket while their holders can reach each other. The shares are in the order in which
// they are asked for tokens: the bucket of the first one whose holder responds
// collects the capacity of the others, see CapacityRequest.
type Group []Share

// Groups divides the shares of one customer into groups. Each group has a burst of at
// least groupBurst if the customer has; a customer with a high burst has a group for each
// share, so that nothing is combined. The order of the shares is a hash, which
// distributes the customers among the zones.
func Groups(shares []Share) []Group {
	if len(shares) == 0 {
		return nil
	}
	ordered := slices.Clone(shares)
	slices.SortFunc(ordered, func(a, b Share) int {
		return cmp.Or(cmp.Compare(shareHash(a.ShareID), shareHash(b.ShareID)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Slot, b.Slot))
	})
	var burst Amount
	for _, s := range shares {
		burst += s.Burst
	}
	n := int(min(max(burst/groupBurst, 1), Amount(len(shares))))
	out := make([]Group, n)
	for i, s := range ordered {
		out[i%n] = append(out[i%n], s)
	}
	return out
}

// TokenInterval returns the time in which one token accrues in all shares of a customer
// together.
func TokenInterval(shares []Share) time.Duration {
	var rate Amount
	for _, s := range shares {
		rate += s.Rate
	}
	return accrualTime(rate, Token)
}

// shareHash returns the position of a share in the order of its customer's shares.
func shareHash(id ShareID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(id.Slot))
	_, _ = d.WriteString(id.Customer)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id.Zone)
	return d.Sum64()
}

// rank returns the position of a share in the group, or -1 if it isn't in the group.
func (g Group) rank(id ShareID) int {
	return slices.IndexFunc(g, func(s Share) bool { return s.ShareID == id })
}
