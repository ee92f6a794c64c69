package epoch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of the node at an instance.
//
// Incarnation identifies the process and grows with each start at the same
// address. It must not change while the process runs, because a greater one
// proves that the earlier process has ended.
type Member struct {
	Name        string `json:"name" msgpack:"name"`
	Incarnation uint64 `json:"incarnation" msgpack:"incarnation"`
	Address     string `json:"address" msgpack:"address,omitempty"`
	Zone        string `json:"zone" msgpack:"zone,omitempty"`
}

// Same reports whether m and o denote the same process.
func (m Member) Same(o Member) bool {
	return m.Name == o.Name && m.Incarnation == o.Incarnation && m.Zone == o.Zone
}

func compareNames(a, b Member) int {
	return cmp.Compare(a.Name, b.Name)
}

// supersedes reports whether m is a later process of the same instance as o, or
// at its address.
func (m Member) supersedes(o Member) bool {
	same := m.Name == o.Name && m.Zone == o.Zone || m.Address != "" && m.Address == o.Address
	return same && m.Incarnation > o.Incarnation
}

// Epoch is a numbered member list of a zone.
type Epoch struct {
	Zone           string   `json:"zone" msgpack:"zone"`
	Number         uint64   `json:"number" msgpack:"number"`
	Base           uint64   `json:"base" msgpack:"base"`                     // number of the epoch that it replaces; 0 for the first
	Members        []Member `json:"members" msgpack:"members"`               // ordered by name
	RetiredThrough uint64   `json:"retiredThrough" msgpack:"retiredThrough"` // every epoch up to and including this one is retired
}

// Majority returns the smallest number of members that is more than half.
func (e Epoch) Majority() int {
	return len(e.Members)/2 + 1
}

// Member returns the member with the given name.
func (e Epoch) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(e.Members, name, func(m Member, n string) int {
		return cmp.Compare(m.Name, n)
	})
	if !ok {
		return Member{}, false
	}
	return e.Members[i], true
}

// Has reports whether the list contains this process.
func (e Epoch) Has(m Member) bool {
	got, ok := e.Member(m.Name)
	return ok && got.Same(m)
}

// Slots returns the owners of n slots of a key. Owners are distinct while the
// list has enough members, so that the loss of one instance leaves the other
// slots. A hash divides the members into n groups, one for each slot, and the
// member with the highest score in the group owns the slot. A slot whose group
// is empty is assigned to the member with the lowest score that owns nothing.
// As one rule takes members from the top and the other from the bottom, the
// loss of a member moves no slot of another member until too few are left.
func (e Epoch) Slots(key string, n int) []Member {
	if len(e.Members) == 0 || n <= 0 {
		return nil
	}
	owners := make([]Member, n)
	best := make([]uint64, n)
	h := hashKey(key)
	for _, m := range e.Members {
		s := score(h, m.Name)
		if g := s % uint64(n); s > best[g] {
			owners[g], best[g] = m, s
		}
	}
	for i := range owners {
		if best[i] == 0 {
			owners[i], best[i] = e.lowestUnused(h, owners)
		}
	}
	return owners
}

// lowestUnused returns the member with the lowest score that owns no slot yet,
// or with the lowest of all if each owns one. It also returns the score.
func (e Epoch) lowestUnused(h uint64, owners []Member) (Member, uint64) {
	pick, best, free := Member{}, uint64(0), false
	for _, m := range e.Members {
		s, unused := score(h, m.Name), !slices.ContainsFunc(owners, m.Same)
		better := pick.Name == "" || unused && !free || unused == free && s < best
		if better {
			pick, best, free = m, s, unused
		}
	}
	return pick, best
}

// TopRanked returns up to n members in descending rendezvous order for a key.
// The order depends only on names, so an instance keeps its rank when its
// process restarts.
func TopRanked(members []Member, key string, n int) []Member {
	type ranked struct {
		score  uint64
		member Member
	}
	h := hashKey(key)
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		all = append(all, ranked{score(h, m.Name), m})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	top := make([]Member, 0, min(n, len(all)))
	for _, r := range all[:min(n, len(all))] {
		top = append(top, r.member)
	}
	return top
}

func hashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}

// score combines the hash of a key with that of a name by the finalizer of
// MurmurHash3, which distributes the scores evenly enough.
func score(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
