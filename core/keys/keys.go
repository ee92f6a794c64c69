package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"net/url"
	"strings"
)

// Prefix is the prefix of every key that New returns. It lets secret scanners
// find leaked keys.
const Prefix = "dws_"

// Names of the headers that can carry a key.
const (
	HeaderAuthorization = "Authorization"
	HeaderAPIKey        = "X-Api-Key"
)

// keyBytes is the number of random bytes of a key.
const keyBytes = 32

// New returns a new random key.
func New() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return Prefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// Digest returns the SHA-256 digest of a key in lower-case hexadecimal.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Credential is an API key and the name of the header that carries it.
type Credential struct {
	Key, Header string
}

// FromHeader returns the key in X-Api-Key or, if that is not set, in Authorization. The key is
// empty if there is none.
func FromHeader(h http.Header) Credential {
	if key := strings.TrimSpace(h.Get(HeaderAPIKey)); key != "" {
		return Credential{Key: key, Header: HeaderAPIKey}
	}
	return FromBearer(h)
}

// FromBearer returns the key in Authorization with the scheme Bearer. The key is empty if there
// is none.
func FromBearer(h http.Header) Credential {
	scheme, rest, ok := strings.Cut(h.Get(HeaderAuthorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return Credential{}
	}
	return Credential{Key: strings.TrimSpace(rest), Header: HeaderAuthorization}
}

// FindCopy returns the name of a field of a header that contains the key, other than the one
// that carries it, or the empty string.
func FindCopy(h http.Header, c Credential) string {
	for name, values := range h {
		if name != c.Header && (nameContains(name, c.Key) || containsAny(values, c.Key)) {
			return name
		}
	}
	return ""
}

// StripTrailer removes from a trailer the fields that contain the key, and Authorization, which
// must not be sent in trailers. A trailer arrives too late to refuse its request.
func StripTrailer(h http.Header, key string) {
	h.Del(HeaderAuthorization)
	for name, values := range h {
		if nameContains(name, key) || containsAny(values, key) {
			delete(h, name)
		}
	}
}

// Contains reports whether s contains the key, literally or percent-encoded.
func Contains(s, key string) bool {
	if containsLiteral(s, key) {
		return true
	}
	decoded, err := url.PathUnescape(s)
	return err == nil && containsLiteral(decoded, key)
}

// nameContains reports whether the name of a field contains the key. The case of names is not
// preserved.
func nameContains(name, key string) bool {
	return len(name) >= len(key) && containsLiteral(strings.ToLower(name), strings.ToLower(key))
}

func containsAny(values []string, key string) bool {
	for _, v := range values {
		if Contains(v, key) {
			return true
		}
	}
	return false
}

func containsLiteral(s, key string) bool {
	return key != "" && strings.Contains(s, key)
}
