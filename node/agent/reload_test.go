package agent

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/setup"
)

// TestReload guards against settings that are applied only partly without a log
// line, and against a change of the zone of a running node.
func TestReload(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*setup.Node)
		logged string
		check  func(*Agent) bool
	}{
		{
			"applied", func(n *setup.Node) { n.Shutdown.Timeout = setup.Duration(time.Second) },
			"applied=[\"shutdown.timeout\"] needRestart=[]",
			func(a *Agent) bool { return a.ShutdownTimes().Timeout.D() == time.Second },
		},
		{
			"level", func(n *setup.Node) { n.Logging.Level = "debug" },
			"applied=[\"logging.level\"] needRestart=[]",
			func(a *Agent) bool { return a.log.IsDebug() },
		},
		{
			"no bound on retries any more", func(n *setup.Node) { n.Bounds.RetrySlack = 7 },
			"applied=[\"bounds.retrySlack\"] needRestart=[]",
			func(a *Agent) bool {
				ratio, minimum := a.retryLimits()
				return ratio == retry.DefaultRatio && minimum == retry.DefaultMinRetries
			},
		},
		{
			"learned capacity", func(n *setup.Node) { n.Limits.LearnCapacity = setup.LearnOff },
			"applied=[\"limits.learnCapacity\"] needRestart=[]",
			func(a *Agent) bool { return a.effective.Load().Limits.LearnCapacity == setup.LearnOff },
		},
		{
			"needs a restart", func(n *setup.Node) { n.Instance.Zone, n.Bounds.RetrySlack = "b", 3 },
			"applied=[\"bounds.retrySlack\"] needRestart=[\"instance.zone\"]",
			func(a *Agent) bool { return a.cfg.Instance.Zone == "" && a.effective.Load().Bounds.RetrySlack == 3 },
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			started, loaded := setup.Default(), setup.Default()
			a := &Agent{cfg: started, log: hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})}
			a.effective.Store(&started)
			test.change(&loaded)
			a.Reload(loaded)
			assert.Assert(t, strings.Contains(out.String(), test.logged), "%s", out.String())
			assert.Assert(t, test.check(a))
		})
	}
}
