package agent

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/node/relay"
)

// Guards against a log line for each small variation, and against a change that
// is not logged.
func TestSpillLog(t *testing.T) {
	var buf bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &buf})
	l := spillLog{}
	for i, fraction := range []float64{0.01, 0.03, 0.2, 0.22, 0.24, 0.16, 0.14, 0.13, 0} {
		l.log(log, []relay.Spill{{Service: "orders", ZonePart: picker.ZonePart{Zone: "b", Fraction: fraction}}})
		lines := strings.Count(buf.String(), "\n")
		assert.Equal(t, lines, []int{0, 0, 1, 1, 1, 1, 2, 2, 3}[i], "after %d", i)
	}
}
