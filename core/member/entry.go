package member

import (
	"cmp"
	"encoding/binary"
	"maps"
	"net"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an instance. Of two entries with the same incarnation
// and version, the one with the greater state takes precedence.
type State uint8

// States of an instance.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Gone reports whether the instance is dead or has left.
func (s State) Gone() bool {
	return s >= Dead
}

// TargetState is the state that an upstream announces.
type TargetState uint8

// States of a target.
const (
	Ready TargetState = iota
	Cold
	Draining
)

// String returns the name of the state.
func (s TargetState) String() string {
	names := [...]string{"ready", "cold", "draining"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Target is what the upstream of an instance announced about itself.
type Target struct {
	Service string            `msgpack:"service"`
	Labels  map[string]string `msgpack:"labels,omitempty"`
	Slots   int               `msgpack:"slots,omitempty"`
	State   TargetState       `msgpack:"state,omitempty"`
	Load    uint8             `msgpack:"load,omitempty"` // hint, in percent of the slots

	// LeavingID and LeavingStartedMS identify the process of an upstream that leaves.
	LeavingID        string `msgpack:"leaving,omitempty"`
	LeavingStartedMS int64  `msgpack:"leavingStarted,omitempty"`
}

// Entry is what the fleet knows about an instance. Only the instance itself
// raises Version; other nodes may change only State.
type Entry struct {
	Name        string  `msgpack:"name"`
	Incarnation uint64  `msgpack:"incarnation"`
	Version     uint64  `msgpack:"version"`
	State       State   `msgpack:"state,omitempty"`
	Addr        string  `msgpack:"addr"`
	Zone        string  `msgpack:"zone"`
	Target      *Target `msgpack:"target,omitempty"`
	Offset      uint64  `msgpack:"offset,omitempty"` // next offset of its configuration
	Epoch       uint64  `msgpack:"epoch,omitempty"`  // adopted epoch of its zone
}

// Compare orders two entries of one instance by incarnation, then version, then
// state. The result is positive if a replaces b.
func Compare(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.State, b.State),
	)
}

// draining reports whether the entry announces that the instance takes no new
// work.
func (e Entry) draining() bool {
	return e.State == Left || e.Target != nil && e.Target.State == Draining
}

// Maximum sizes, in bytes, of an entry that a node accepts from others.
const (
	maxNameBytes  = 256
	maxLabelBytes = 4 << 10
)

// valid reports whether an entry received from another node is well-formed.
func (e Entry) valid() bool {
	if e.Name == "" || e.Zone == "" || !Dialable(e.Addr) || e.State > Left {
		return false
	}
	if max(len(e.Name), len(e.Zone), len(e.Addr)) > maxNameBytes {
		return false
	}
	if e.Target == nil {
		return true
	}
	t := e.Target
	size := len(t.Service) + len(t.LeavingID)
	for k, v := range t.Labels {
		size += len(k) + len(v)
	}
	return t.State <= Draining && t.Slots >= 0 && size <= maxLabelBytes
}

// sum returns the contribution of an entry to the digest of its zone. A
// suspicion doesn't change it, because it ends by a timeout or with a new
// version.
func (e Entry) sum() uint64 {
	if e.State.Gone() {
		return 0
	}
	buf := make([]byte, 0, maxNameBytes)
	buf = append(buf, e.Name...)
	buf = append(buf, 0)
	buf = binary.BigEndian.AppendUint64(buf, e.Incarnation)
	buf = binary.BigEndian.AppendUint64(buf, e.Version)
	return xxhash.Sum64(buf)
}

// bucketOf returns the digest bucket of an instance.
func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

func sameTarget(a, b *Target) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Service == b.Service && a.Slots == b.Slots && a.State == b.State &&
		a.Load == b.Load && a.LeavingID == b.LeavingID && a.LeavingStartedMS == b.LeavingStartedMS && maps.Equal(a.Labels, b.Labels)
}

// onlyLoadDiffers reports whether two targets differ in nothing but the load
// hint.
func onlyLoadDiffers(a, b *Target) bool {
	if a == nil || b == nil {
		return false
	}
	c := *b
	c.Load = a.Load
	return sameTarget(a, &c)
}

// Dialable reports whether an address has a host and a port, so that a node can be there.
func Dialable(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, perr := strconv.ParseUint(port, 10, 16)
	return err == nil && perr == nil && host != "" && n > 0
}
