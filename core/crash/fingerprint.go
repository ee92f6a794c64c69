package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

// BodyPrefixBytes is the number of bytes at the start of a body that its digest
// covers.
const BodyPrefixBytes = 64 << 10

// Digest is a truncated SHA-256 digest.
type Digest [16]byte

// Fingerprint identifies a request across the fleet.
type Fingerprint struct {
	Head Digest `msgpack:"head"` // digest of the method, the path with its query, and the caller
	Body Digest `msgpack:"body"` // digest of the first BodyPrefixBytes of the body
}

// HeadDigest returns the digest of all parts of a request except its body. The
// caller is the customer of the request; it is empty for requests without a key.
func HeadDigest(method, uri, caller string) Digest {
	return truncate(hashParts(method, uri, caller))
}

// hashParts returns the hash of a list of strings. The length of each precedes it, so that
// lists that are divided differently have different hashes.
func hashParts(parts ...string) hash.Hash {
	h := sha256.New()
	for _, part := range parts {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = io.WriteString(h, part)
	}
	return h
}

// BodyDigest computes the digest of a body from its chunks. The zero value is
// ready to use.
type BodyDigest struct {
	h     hash.Hash
	n     int
	ended bool
}

// Write adds a chunk. Bytes beyond BodyPrefixBytes have no effect.
func (d *BodyDigest) Write(p []byte) (int, error) {
	if d.h == nil {
		d.h = sha256.New()
	}
	prefix := p[:min(len(p), BodyPrefixBytes-d.n)]
	_, _ = d.h.Write(prefix)
	d.n += len(prefix)
	return len(p), nil
}

// End records that the body has ended.
func (d *BodyDigest) End() {
	d.ended = true
}

// Sum returns the digest. It returns false if the body has neither ended nor
// reached BodyPrefixBytes.
func (d *BodyDigest) Sum() (Digest, bool) {
	if !d.ended && d.n < BodyPrefixBytes {
		return Digest{}, false
	}
	if d.h == nil {
		d.h = sha256.New()
	}
	return truncate(d.h), true
}

func truncate(h hash.Hash) Digest {
	return Digest(h.Sum(nil)[:len(Digest{})])
}

// ProcessID returns the identifier of the end of an upstream process.
func ProcessID(instance, id string, startedMS int64) uint64 {
	h := hashParts(instance, id)
	_ = binary.Write(h, binary.BigEndian, startedMS)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
