package keys

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

const testKey = "dws_k-1"

// TestFromHeader guards against a header of the caller's own that is taken for a key.
func TestFromHeader(t *testing.T) {
	for _, test := range []struct {
		name           string
		header         http.Header
		either, bearer Credential
	}{
		{"none", http.Header{}, Credential{}, Credential{}},
		{"bearer", http.Header{"Authorization": {"bearer  k "}}, Credential{"k", HeaderAuthorization}, Credential{"k", HeaderAuthorization}},
		{"basic", http.Header{"Authorization": {"Basic k"}}, Credential{}, Credential{}},
		{"scheme only", http.Header{"Authorization": {"Bearer"}}, Credential{}, Credential{}},
		{"own header", http.Header{"X-Api-Key": {" k "}}, Credential{"k", HeaderAPIKey}, Credential{}},
		{"both", http.Header{"X-Api-Key": {"k"}, "Authorization": {"Bearer l"}}, Credential{"k", HeaderAPIKey}, Credential{"l", HeaderAuthorization}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, FromHeader(test.header), test.either)
			assert.Equal(t, FromBearer(test.header), test.bearer)
		})
	}
}

// TestFindCopy guards against a copy of a key that reaches an upstream, and against a field that
// is taken for one.
func TestFindCopy(t *testing.T) {
	for _, test := range []struct {
		name, value string
		copied      bool
	}{
		{HeaderAPIKey, testKey, false}, // the header that carries the key
		{"Cookie", "key=" + testKey, true},
		{"Referer", "http://press.example/?a=dws%5Fk-1", true},
		{"Dws_k-1", "", true},
		{"Cookie", "key=dws_k", false},
		{"Cookie", "100%", false},
		{"Authorization", "Basic dXNlcjpwYXNz", false},
	} {
		t.Run(test.name+" "+test.value, func(t *testing.T) {
			h := http.Header{test.name: {"other", test.value}}
			assert.Equal(t, FindCopy(h, Credential{testKey, HeaderAPIKey}) != "", test.copied)
			StripTrailer(h, testKey)
			kept := len(h) == 1
			assert.Equal(t, kept, !test.copied && test.name != HeaderAPIKey && test.name != HeaderAuthorization)
		})
	}
}
