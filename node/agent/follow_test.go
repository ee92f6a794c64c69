package agent

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/setup"
)

// newTestAgent returns a node without a log and without other nodes.
func newTestAgent(t *testing.T) *Agent {
	t.Helper()
	cfg := setup.Default()
	cfg.Instance = setup.Instance{Name: "node-1", Zone: "bole"}
	cfg.Listen = setup.Listen{Callers: "127.0.0.1:0", Local: "127.0.0.1:0", Peers: "127.0.0.1:0", Operations: "127.0.0.1:0"}
	cfg.Log.URL = "http://127.0.0.1:1" // nothing listens there
	cfg.Peers.Secret = "a secret of this test only"
	a, err := New(cfg)
	assert.NilError(t, err)
	t.Cleanup(a.Kill)
	return a
}

// TestTighterBoundEndsRead guards against a node that refuses requests with a configuration
// that is too old in the first seconds after a change that permits a lower age: the read
// that was sent before waits for longer than that.
func TestTighterBoundEndsRead(t *testing.T) {
	a := newTestAgent(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	started, ended := make(chan struct{}), make(chan error, 1)
	go a.readConfigOnce(ctx, func(ctx context.Context, _ time.Duration) error {
		close(started)
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	})
	<-started
	body, err := json.Marshal(model.Route{Pattern: "/x/", Service: "s", MaxConfigAgeMS: 3000})
	assert.NilError(t, err)
	snap := config.Snapshot{Offset: 1, Objects: []config.Object{{Kind: model.KindRoute, Name: "r", Revision: 1, Body: body}}}
	now := boot.Now()
	a.store.ApplySnapshot(&snap, now, now)
	assert.Equal(t, <-ended, context.Canceled)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, a.readPlan().NextWait(2*time.Second) == 0, "a state of the earlier wait is confirmed at once")
}
