package setup_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/setup"
)

const good = `[instance]
name = "bole-orders-0"
zone = "bole"

[listen]
callers = "127.0.0.1:8080"
local = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
operations = "127.0.0.1:8083"

[log]
url = "http://127.0.0.1:9000"

[peers]
secret = "sixteen bytes or more"
`

// TestParse guards against invalid settings that are accepted, and against
// errors without the line and the key.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, old, replacement string
		key                    string
		line                   int
	}{
		{"unknown key", `zone = "bole"`, "zone = \"bole\"\nzoen = 1", "instance.zoen", 4},
		{"unknown table", "[log]", "[lgo]\nx = 1\n[log]", "lgo", 11},
		{"not an address", `"127.0.0.1:8080"`, `"localhost:8080"`, "listen.callers", 6},
		{"local not on loopback", `"127.0.0.1:8081"`, `"10.0.0.1:8081"`, "listen.local", 7},
		{"log without scheme", `"http://127.0.0.1:9000"`, `"127.0.0.1:9000"`, "log.url", 12},
		{"bad duration", `url =`, "timeout = \"5 parsecs\"\nurl =", "log.timeout", 12},
		{"short secret", `"sixteen bytes or more"`, `"short"`, "peers.secret", 15},
		{"missing name", `name = "bole-orders-0"`, "", "instance.name", 0},
		{"odd learning", "[log]", "[limits]\nlearnCapacity = \"no\"\n\n[log]", "limits.learnCapacity", 12},
		{"certificate without key", "[log]", "[callersTls]\ncert = \"a.pem\"\n\n[log]", "callersTls", 11},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := setup.Parse("node.toml", []byte(strings.Replace(good, c.old, c.replacement, 1)))
			var bad *setup.Error
			assert.Assert(t, errors.As(err, &bad), "%v", err)
			assert.Equal(t, bad.Line, c.line, "%v", err)
			assert.Assert(t, strings.HasPrefix(bad.Key, c.key), "%v", err)
		})
	}
	_, err := setup.Parse("node.toml", []byte(good))
	assert.NilError(t, err)
}
