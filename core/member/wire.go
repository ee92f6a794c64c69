package member

import (
	"github.com/vmihailenco/msgpack/v5"
)

// Packet is a message of the gossip stream. Requests and replies have the same
// form.
type Packet struct {
	From         string            `msgpack:"from"`
	Incarnation  uint64            `msgpack:"incarnation"`
	Addr         string            `msgpack:"addr"`
	Zone         string            `msgpack:"zone"`
	Offset       uint64            `msgpack:"offset,omitempty"` // next offset of the sender's configuration
	Epoch        uint64            `msgpack:"epoch,omitempty"`  // adopted epoch of the sender's zone
	Sync         bool              `msgpack:"sync,omitempty"`   // Entries repair missed changes and are not recent changes
	More         bool              `msgpack:"more,omitempty"`   // the reply is incomplete because of a size limit
	Entries      []Entry           `msgpack:"entries,omitempty"`
	Retired      map[string]uint64 `msgpack:"retiredThrough,omitempty"` // highest retired epoch of each zone
	OffsetReport *OffsetReport     `msgpack:"report,omitempty"`
	Offsets      map[string]uint64 `msgpack:"zoneOffsets,omitempty"` // offset that all members of each zone have reached
	Digests      []Digest          `msgpack:"digests,omitempty"`
	BucketRefs   []BucketRefs      `msgpack:"ranges,omitempty"`
	Want         []string          `msgpack:"want,omitempty"` // instances whose entries the sender lacks
}

// Digest summarizes the entries of a zone.
type Digest struct {
	Zone    string   `msgpack:"zone"`
	Sum     uint64   `msgpack:"sum"`
	AgeMS   int64    `msgpack:"ageMs"`             // time since the last contact with a node of the zone; -1 for none
	Buckets []uint64 `msgpack:"buckets,omitempty"` // sum of each bucket, in a reply only
}

// BucketRefs lists the entries that the sender holds in one digest bucket.
type BucketRefs struct {
	Zone   string `msgpack:"zone"`
	Bucket int    `msgpack:"bucket"`
	Refs   []Ref  `msgpack:"refs,omitempty"`
}

// Ref identifies an entry and its version for Compare, without its contents.
type Ref struct {
	Name        string `msgpack:"name"`
	Incarnation uint64 `msgpack:"incarnation"`
	Version     uint64 `msgpack:"version"`
	State       State  `msgpack:"state,omitempty"`
}

// ProbeRequest asks a node to probe a target on behalf of the sender.
type ProbeRequest struct {
	From   string `msgpack:"from"`
	Target string `msgpack:"target"`
	Addr   string `msgpack:"addr"`
}

// ProbeReply is the reply to a ProbeRequest.
type ProbeReply struct {
	Target  string `msgpack:"target"`
	Reached bool   `msgpack:"reached"`
}

// Message is a message that the caller should send. Exactly one of Packet and
// Probe is set.
type Message struct {
	ID     uint64 // identifies the message in ReceiveReply and ReceiveProbeReply
	To     string // instance; empty for a seed that is not yet known
	Addr   string // peer address
	Packet *Packet
	Probe  *ProbeRequest
}

// packetFields is a Packet without its custom encoding.
type packetFields Packet

// EncodeMsgpack encodes integers in their shortest form. Most integers of a
// packet are small, and the library uses 9 bytes for each by default.
func (p Packet) EncodeMsgpack(enc *msgpack.Encoder) error {
	enc.UseCompactInts(true)
	return enc.Encode((*packetFields)(&p))
}

var _ msgpack.CustomEncoder = Packet{}

// Limits of packets, in bytes of entries, references and digests.
const (
	// maxDeltaBytes keeps a packet of recent changes within one TCP segment.
	maxDeltaBytes = 1200
	// maxSyncBytes limits the memory and the burst of one synchronisation step.
	maxSyncBytes = 32 << 10
)

// encodedSize returns the encoded size of a value within a packet.
func encodedSize(v any) int {
	var n countWriter
	enc := msgpack.NewEncoder(&n)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return maxSyncBytes
	}
	return int(n)
}

// countWriter counts the bytes that are written to it.
type countWriter int

// Write implements io.Writer.
func (n *countWriter) Write(b []byte) (int, error) {
	*n += countWriter(len(b))
	return len(b), nil
}
