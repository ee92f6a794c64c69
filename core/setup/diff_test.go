package setup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChanged guards against a changed setting that ChangedKeys doesn't report.
func TestChanged(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Node)
		want   []string
	}{
		{"nothing", func(*Node) {}, nil},
		{"duration", func(n *Node) { n.Shutdown.Linger = Duration(time.Second) }, []string{"shutdown.linger"}},
		{"list", func(n *Node) { n.Bounds.Zones = []string{"a"} }, []string{"bounds.zones"}},
		{"nested table", func(n *Node) { n.Peers.TLS.CA = "ca.pem" }, []string{"peers.tls.ca"}},
		{"several", func(n *Node) { n.Logging.Level, n.Instance.Zone = "debug", "b" }, []string{"instance.zone", "logging.level"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := Default()
			test.change(&n)
			assert.DeepEqual(t, Default().ChangedKeys(n), test.want)
		})
	}
}
