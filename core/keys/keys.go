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

// keyParameters are names of query parameters in which callers send keys by
// mistake.
var keyParameters = []string{"api_key", "apikey", "x-api-key", "access_token", "key"}

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

// FromHeader returns the key in a request header, or the empty string.
func FromHeader(h http.Header) string {
	if key := strings.TrimSpace(h.Get(HeaderAPIKey)); key != "" {
		return key
	}
	scheme, rest, ok := strings.Cut(h.Get(HeaderAuthorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(rest)
}

// Strip removes the key from a header or trailer: the fields Authorization,
// Proxy-Authorization and X-Api-Key, and any other field whose name or values
// contain the key.
func Strip(h http.Header, key string) {
	h.Del(HeaderAuthorization)
	h.Del("Proxy-Authorization")
	h.Del(HeaderAPIKey)
	for name, values := range h {
		if containsLiteral(name, key) || containsAny(values, key) {
			delete(h, name)
		}
	}
}

// StripQuery removes from a raw query the parameters named in keyParameters
// and those that contain the key. It returns a query without such parameters
// unchanged.
func StripQuery(raw, key string) string {
	if raw == "" {
		return raw
	}
	parts := strings.Split(raw, "&")
	kept := parts[:0]
	for _, part := range parts {
		if !carriesKey(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// Contains reports whether s contains the key, literally or percent-encoded.
func Contains(s, key string) bool {
	if containsLiteral(s, key) {
		return true
	}
	decoded, err := url.PathUnescape(s)
	return err == nil && containsLiteral(decoded, key)
}

// carriesKey reports whether a query parameter is named in keyParameters or
// contains the key.
func carriesKey(part, key string) bool {
	name, _, _ := strings.Cut(part, "=")
	decoded, err := url.QueryUnescape(name)
	if err != nil {
		decoded = name
	}
	for _, q := range keyParameters {
		if strings.EqualFold(decoded, q) {
			return true
		}
	}
	return Contains(part, key)
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
