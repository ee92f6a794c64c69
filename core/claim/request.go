package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"dogwoodsill.org/core/model"
)

// Request describes a request with an idempotency key to a Table.
type Request struct {
	Key         Key
	Route       string      // name of the route
	Fingerprint Fingerprint // content that every request with the key must share
	Call        model.Call  // only Customer, Root, Deadline and Attempts are used
}

// ID identifies a key within the scope of its customer and, for a caller's key,
// its route.
type ID [16]byte

// String returns the identifier in hexadecimal.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// MarshalText implements encoding.TextMarshaler.
func (id ID) MarshalText() ([]byte, error) {
	return []byte(id.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *ID) UnmarshalText(b []byte) error {
	if !decodeHex(id[:], string(b)) {
		return &RecordError{Detail: "identifier must have 32 hexadecimal digits"}
	}
	return nil
}

// ID returns the identifier of the request's key. The identifier of an issued
// key doesn't include the route, because the key runs at most once across all
// routes.
func (r *Request) ID() ID {
	k := r.Key
	if k.Kind == KindIssued {
		return hashID("issued", r.Call.Customer, k.Instance, string(binary.BigEndian.AppendUint64(nil, k.Incarnation)), string(binary.BigEndian.AppendUint64(nil, k.Seq)))
	}
	return hashID("caller", r.Call.Customer, r.Route, string(k.UUID[:]))
}

// hashID hashes the parts with a length prefix each, so that different lists of
// parts never concatenate to the same input.
func hashID(parts ...string) (id ID) {
	var b []byte
	for _, p := range parts {
		b = binary.AppendUvarint(b, uint64(len(p)))
		b = append(b, p...)
	}
	sum := sha256.Sum256(b)
	copy(id[:], sum[:])
	return id
}

// UnknownLength is the length of a body whose size is not known in advance.
const UnknownLength = -1

// Fingerprint describes the content of a request. Two requests with the same
// key must have matching fingerprints.
type Fingerprint struct {
	Method string
	Path   string // including the query
	Length int64  // of the body in bytes, or UnknownLength
	Digest []byte // SHA-256 of the body; nil if the body was not read before the claim
}

// compactFingerprint holds truncated hashes of a fingerprint, so that a long
// path takes no more memory in the table than a short one.
type compactFingerprint struct {
	method    [4]byte
	path      [8]byte
	length    int64
	digest    [16]byte
	hasDigest bool // digest is set
}

func (f *Fingerprint) compact() compactFingerprint {
	p := compactFingerprint{length: max(f.Length, UnknownLength)}
	method := sha256.Sum256([]byte(f.Method))
	path := sha256.Sum256([]byte(f.Path))
	copy(p.method[:], method[:])
	copy(p.path[:], path[:])
	p.setDigest(f.Digest)
	return p
}

func (p *compactFingerprint) setDigest(digest []byte) {
	p.hasDigest = digest != nil
	if p.hasDigest {
		copy(p.digest[:], digest)
	}
}

// firstDifference returns the name of the first part in which two fingerprints
// differ, or the empty string. Parts that are unknown on either side are not
// compared.
func (p compactFingerprint) firstDifference(q compactFingerprint) string {
	switch {
	case p.method != q.method:
		return "method"
	case p.path != q.path:
		return "path"
	case p.length >= 0 && q.length >= 0 && p.length != q.length:
		return "body length"
	case p.hasDigest && q.hasDigest && p.digest != q.digest:
		return "body"
	}
	return ""
}

// MarshalText encodes the method, path, length and digest, separated by dots.
func (p compactFingerprint) MarshalText() ([]byte, error) {
	s := fmt.Sprintf("%x.%x.%d.", p.method, p.path, p.length)
	if p.hasDigest {
		s += hex.EncodeToString(p.digest[:])
	}
	return []byte(s), nil
}

// UnmarshalText decodes the form that MarshalText produces and rejects any
// other encoding.
func (p *compactFingerprint) UnmarshalText(b []byte) error {
	parts := strings.Split(string(b), ".")
	if len(parts) != 4 {
		return &RecordError{Detail: "fingerprint must have four parts"}
	}
	var err error
	if p.length, err = strconv.ParseInt(parts[2], 10, 64); err != nil || p.length < UnknownLength {
		return &RecordError{Detail: "fingerprint has a bad length"}
	}
	p.hasDigest = parts[3] != ""
	ok := decodeHex(p.method[:], parts[0]) && decodeHex(p.path[:], parts[1]) && (!p.hasDigest || decodeHex(p.digest[:], parts[3]))
	if !ok {
		return &RecordError{Detail: "fingerprint has a bad digest"}
	}
	if again, _ := p.MarshalText(); !bytes.Equal(again, b) {
		return &RecordError{Detail: "fingerprint is not canonical"}
	}
	return nil
}

// decodeHex decodes s into dst and reports whether it filled dst exactly.
func decodeHex(dst []byte, s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == len(dst) && copy(dst, b) == len(dst)
}
