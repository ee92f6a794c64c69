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

// Prefix starts every key that New returns, so that a leaked key can be found
// by scanners.
const Prefix = "dws_"

// Header names that can carry a key.
const (
	HeaderAuthorization = "Authorization"
	HeaderAPIKey        = "X-Api-Key"
)

// queryNames are query parameters that carry keys by mistake.
var queryNames = []string{"api_key", "apikey", "x-api-key", "access_token", "key"}

// secretBytes is the entropy of a key in bytes.
const secretBytes = 32

// New returns a new random key.
func New() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return Prefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// Digest returns the SHA-256 digest of a key in lower-case hexadecimal.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// FromHeader returns the key that a request carries, or the empty string.
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

// Strip removes the key from a header or trailer: the two headers that carry
// keys, and any other value that contains the key.
func Strip(h http.Header, key string) {
	h.Del(HeaderAuthorization)
	h.Del("Proxy-Authorization")
	h.Del(HeaderAPIKey)
	for name, values := range h {
		if contains(name, key) || containsAny(values, key) {
			delete(h, name)
		}
	}
}

// StripQuery removes from a raw query the parameters that are named like a key
// and those that contain the key. It leaves a query without such parameters
// as it is.
func StripQuery(raw, key string) string {
	if raw == "" {
		return raw
	}
	parts := strings.Split(raw, "&")
	kept := parts[:0]
	for _, part := range parts {
		if !isSecret(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// Contains reports whether s contains the key, literally or percent-encoded.
func Contains(s, key string) bool {
	if contains(s, key) {
		return true
	}
	decoded, err := url.PathUnescape(s)
	return err == nil && contains(decoded, key)
}

func isSecret(part, key string) bool {
	name, _, _ := strings.Cut(part, "=")
	decoded, err := url.QueryUnescape(name)
	if err != nil {
		decoded = name
	}
	for _, q := range queryNames {
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

func contains(s, key string) bool {
	return key != "" && strings.Contains(s, key)
}
