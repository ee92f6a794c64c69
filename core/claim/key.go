package claim

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Limits on the times of keys.
const (
	// MaxClockSkew is the maximum difference between any two clocks of the
	// nodes and their callers.
	MaxClockSkew = 2 * time.Second
	// MaxAge is the age above which a key is refused. Claims are retained for
	// the same time.
	MaxAge = 10 * time.Minute
)

// Kind is the kind of an idempotency key.
type Kind uint8

// Kinds of keys.
const (
	KindCaller Kind = iota + 1 // UUIDv7 that a caller created
	KindIssued                 // key that an Issuer created
)

// Format of an issued key: IssuedPrefix, followed by the base64url encoding of
// the incarnation, the sequence number and the time since the start of the
// incarnation in milliseconds (8 bytes each, big-endian), the length of the
// instance (1 byte), the instance and the MAC.
const (
	IssuedPrefix     = "dwi1_"
	issuedFixedBytes = 25
	macBytes         = 16
	maxInstanceBytes = 128
	uuidTextLen      = 36
	uuidVersion      = 7
	maxIssuedTextLen = len(IssuedPrefix) + (issuedFixedBytes+maxInstanceBytes+macBytes)*4/3 + 1
)

// Key is a parsed idempotency key. Fields that don't belong to its kind are
// zero.
type Key struct {
	Kind Kind
	UUID [16]byte // of a caller's key

	Instance    string // of an issued key: the instance that issued it and dispatches it
	Incarnation uint64
	Seq         uint64
	SinceStart  time.Duration // time of issue, relative to the start of the incarnation
	mac         [macBytes]byte
}

// KeyError reports that a text is not a valid idempotency key, or that an
// instance can't be encoded in one.
type KeyError struct {
	Detail string
}

// Error implements error.
func (e *KeyError) Error() string {
	return "idempotency key: " + e.Detail
}

// Parse parses the value of an Idempotency-Key header, with or without double
// quotes. It returns a *KeyError if the value is neither an issued key nor a
// UUIDv7. It doesn't verify the MAC of an issued key, which only its issuer can
// do.
func Parse(value string) (Key, error) {
	s := strings.TrimSpace(value)
	if len(s) >= 2 && s[0] == '"' && s[len(s)-1] == '"' {
		s = s[1 : len(s)-1]
	}
	if s == "" {
		return Key{}, &KeyError{Detail: "value is empty"}
	}
	if rest, ok := strings.CutPrefix(s, IssuedPrefix); ok {
		return parseIssued(rest)
	}
	return parseUUID(s)
}

func parseIssued(s string) (Key, error) {
	if len(s) > maxIssuedTextLen {
		return Key{}, &KeyError{Detail: "issued key is too long"}
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || strings.ContainsAny(s, "\r\n") {
		return Key{}, &KeyError{Detail: "issued key is not base64url"}
	}
	if len(b) < issuedFixedBytes+1+macBytes || len(b) != issuedFixedBytes+int(b[issuedFixedBytes-1])+macBytes {
		return Key{}, &KeyError{Detail: "issued key is truncated or has extra bytes"}
	}
	if b[issuedFixedBytes-1] > maxInstanceBytes {
		return Key{}, &KeyError{Detail: "issued key names an instance that is too long"}
	}
	ms := binary.BigEndian.Uint64(b[16:])
	if ms > uint64(maxSinceStart/time.Millisecond) {
		return Key{}, &KeyError{Detail: "issued key has a time out of range"}
	}
	k := Key{
		Kind:        KindIssued,
		Instance:    string(b[issuedFixedBytes : len(b)-macBytes]),
		Incarnation: binary.BigEndian.Uint64(b),
		Seq:         binary.BigEndian.Uint64(b[8:]),
		SinceStart:  time.Duration(ms) * time.Millisecond,
	}
	copy(k.mac[:], b[len(b)-macBytes:])
	return k, nil
}

// maxSinceStart bounds the time in an issued key so that it can't overflow a
// time.Duration.
const maxSinceStart = 100 * 365 * 24 * time.Hour

func parseUUID(s string) (Key, error) {
	if len(s) != uuidTextLen || s[8] != '-' || s[13] != '-' || s[18] != '-' || s[23] != '-' {
		return Key{}, &KeyError{Detail: "value is neither an issued key nor a UUID"}
	}
	k := Key{Kind: KindCaller}
	digits := s[:8] + s[9:13] + s[14:18] + s[19:23] + s[24:]
	if _, err := hex.Decode(k.UUID[:], []byte(digits)); err != nil {
		return Key{}, &KeyError{Detail: "value is neither an issued key nor a UUID"}
	}
	if v := k.UUID[6] >> 4; v != uuidVersion {
		return Key{}, &KeyError{Detail: fmt.Sprintf("UUID has version %d; the time can be read from version 7 only", v)}
	}
	if k.UUID[8]>>6 != 0b10 {
		return Key{}, &KeyError{Detail: "UUID has a variant other than RFC 9562, so its time can't be read"}
	}
	return k, nil
}

// Time returns the time that is encoded in a caller's key, with a resolution of
// 1 ms.
func (k Key) Time() time.Time {
	var b [8]byte
	copy(b[2:], k.UUID[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:])))
}

// String returns the canonical text of the key.
func (k Key) String() string {
	if k.Kind == KindIssued {
		b := append(k.payload(), k.mac[:]...)
		return IssuedPrefix + base64.RawURLEncoding.EncodeToString(b)
	}
	h := hex.EncodeToString(k.UUID[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}

// payload returns the encoded fields of an issued key that its MAC
// authenticates.
func (k Key) payload() []byte {
	b := make([]byte, 0, issuedFixedBytes+len(k.Instance)+macBytes)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = binary.BigEndian.AppendUint64(b, k.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(k.SinceStart/time.Millisecond))
	b = append(b, byte(len(k.Instance)))
	return append(b, k.Instance...)
}
