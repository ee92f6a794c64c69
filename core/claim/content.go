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

// Request is what the table needs to know about a request with a key.
type Request struct {
	Key         Key
	Route       string      // name of the route
	Fingerprint Fingerprint // content that a repeated request must share
	Call        model.Call  // Customer, Root, Deadline and Attempts are used
}

// ID identifies a key within its customer and, for a caller's key, its route.
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

// ID returns the identifier of the request's key. An issued key has one
// identifier for all routes, as it runs at most once altogether.
func (r *Request) ID() ID {
	k := r.Key
	if k.Kind == KindIssued {
		return hashID("issued", r.Call.Customer, k.Instance, string(binary.BigEndian.AppendUint64(nil, k.Incarnation)), string(binary.BigEndian.AppendUint64(nil, k.Seq)))
	}
	return hashID("caller", r.Call.Customer, r.Route, string(k.UUID[:]))
}

// hashID hashes the parts with their lengths, so that no two lists of parts
// collide by concatenation.
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

// UnknownLength is the length of a body that is not known in advance.
const UnknownLength = -1

// Fingerprint describes the content of a request.
type Fingerprint struct {
	Method string
	Path   string // with the query
	Length int64  // of the body in bytes, or UnknownLength
	Digest []byte // SHA-256 of the body; nil if the body was not read before the claim
}

// content is the compact form of a fingerprint. It bounds the memory that a long
// path takes in the table.
type content struct {
	method [4]byte
	path   [8]byte
	length int64
	digest [16]byte
	known  bool // digest is set
}

func (f *Fingerprint) compact() content {
	p := content{length: max(f.Length, UnknownLength)}
	method := sha256.Sum256([]byte(f.Method))
	path := sha256.Sum256([]byte(f.Path))
	copy(p.method[:], method[:])
	copy(p.path[:], path[:])
	p.setDigest(f.Digest)
	return p
}

func (p *content) setDigest(digest []byte) {
	p.known = digest != nil
	if p.known {
		copy(p.digest[:], digest)
	}
}

// differs names the first part in which two fingerprints differ, or is empty.
// Parts that one side doesn't know are not compared.
func (p content) differs(q content) string {
	switch {
	case p.method != q.method:
		return "method"
	case p.path != q.path:
		return "path"
	case p.length >= 0 && q.length >= 0 && p.length != q.length:
		return "body length"
	case p.known && q.known && p.digest != q.digest:
		return "body"
	}
	return ""
}

// MarshalText writes method, path, length and digest, separated by dots.
func (p content) MarshalText() ([]byte, error) {
	s := fmt.Sprintf("%x.%x.%d.", p.method, p.path, p.length)
	if p.known {
		s += hex.EncodeToString(p.digest[:])
	}
	return []byte(s), nil
}

// UnmarshalText reads the form that MarshalText writes.
func (p *content) UnmarshalText(b []byte) error {
	parts := strings.Split(string(b), ".")
	if len(parts) != 4 {
		return &RecordError{Detail: "fingerprint must have four parts"}
	}
	var err error
	if p.length, err = strconv.ParseInt(parts[2], 10, 64); err != nil || p.length < UnknownLength {
		return &RecordError{Detail: "fingerprint has a bad length"}
	}
	p.known = parts[3] != ""
	ok := decodeHex(p.method[:], parts[0]) && decodeHex(p.path[:], parts[1]) && (!p.known || decodeHex(p.digest[:], parts[3]))
	if !ok {
		return &RecordError{Detail: "fingerprint has a bad digest"}
	}
	if again, _ := p.MarshalText(); !bytes.Equal(again, b) {
		return &RecordError{Detail: "fingerprint is not canonical"}
	}
	return nil
}

// decodeHex fills dst and reports whether s has exactly its length.
func decodeHex(dst []byte, s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == len(dst) && copy(dst, b) == len(dst)
}
