package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/store"
)

// noTargets is a Directory without targets.
type noTargets struct{}

func (noTargets) Candidates(string) ([]Candidate, uint64) { return nil, 0 }

// TestCheckWithOlderConfiguration guards against a target that refuses a new key
// as revoked because it has no connection to the log and its configuration is
// older than that of the entry, which is the node that accepted the request.
func TestCheckWithOlderConfiguration(t *testing.T) {
	st := store.New()
	st.ApplySnapshot(&config.Snapshot{Offset: 5}, boot.Now(), boot.Now())
	target := NewTarget(1, st, chain.NewTable(), NewBalancer(noTargets{}, "z", 1), metric.New(), func() {})
	now := time.Now()
	target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", State: Ready, TTLMS: 1000}, now)
	for _, test := range []struct {
		name   string
		config uint64 // offset of the entry's configuration
		want   refuse.Reason
	}{
		{"entry is newer", 7, refuse.ConfigStale},
		{"same configuration", 5, refuse.KeyRevoked},
		{"target is newer", 3, refuse.KeyRevoked},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, e := target.checkCall(&CallHead{Service: "s", ConfigOffset: test.config, Call: model.Call{KeyID: "k", Deadline: now.Add(time.Second)}}, now)
			assert.Assert(t, e != nil)
			assert.Equal(t, e.Reason, test.want)
		})
	}
}

// TestInvalidStatusIsNoResponse guards against a status that net/http reads and can't write.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	target := NewTarget(1, store.New(), chain.NewTable(), NewBalancer(noTargets{}, "z", 1), metric.New(), func() {})
	c := &upstreamCall{target: target, head: &CallHead{}}
	for _, test := range []struct {
		status int
		want   ResponseClass
	}{
		{99, ResponseMismatched},
		{0, ResponseMismatched},
		{http.StatusSwitchingProtocols, ResponseMismatched},
		{200, ResponseValid},
		{599, ResponseValid},
		{600, ResponseMismatched},
		{999, ResponseMismatched},
	} {
		assert.Equal(t, c.classify(Upstream{}, &http.Response{StatusCode: test.status}), test.want)
	}
}
