package agent

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeDirectory is a directory with the given addresses, or without a response.
type fakeDirectory struct {
	addrs []string
}

// Register implements Directory.
func (fakeDirectory) Register(context.Context, string, string) (uint64, error) {
	return 0, nil
}

// Peers implements Directory.
func (d fakeDirectory) Peers(context.Context) ([]string, error) {
	if d.addrs == nil {
		return nil, errors.New("no response")
	}
	return append([]string(nil), d.addrs...), nil
}

// TestOddDirectoryEntries guards against an entry of another writer that counts as a node, or
// that is dialled in place of one.
func TestOddDirectoryEntries(t *testing.T) {
	for _, test := range []struct{ name, addr string }{
		{"empty", ""},
		{"port out of range", "10.0.0.1:70000"},
		{"huge port", "10.0.0.1:99999999999999999999"},
		{"negative port", "10.0.0.1:-1"},
		{"port 0", "10.0.0.1:0"},
		{"name of a port", "10.0.0.1:http"},
		{"no port", "10.0.0.1"},
		{"no host", ":7000"},
		{"bytes that can't be read", "\xff\xfe\x00"},
		{"nested", strings.Repeat("[", 1<<20)},
		{"object", `{"Address":"10.0.0.1:7000"}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			running := newTestAgent(t)
			a := &Agent{log: running.log, fleet: running.fleet}
			a.platform = &Platform{Directory: fakeDirectory{[]string{"127.0.0.1:7001", test.addr, "127.0.0.1:7002"}}}
			assert.Assert(t, a.readDirectory(t.Context()))
			assert.Equal(t, a.registeredNodes.Load(), int64(2))
			a.platform.Directory = fakeDirectory{}
			assert.Assert(t, !a.readDirectory(t.Context()))
			assert.Equal(t, a.registeredNodes.Load(), int64(2))
		})
	}
}
