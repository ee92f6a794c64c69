package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/node/store"
)

func newTestTarget(t *testing.T) *Target {
	t.Helper()
	return NewTarget(1, store.New(), chain.NewTable(), NewBalancer(noTargets{}, "z", 1), metric.New(), func() {})
}

// Guards against a rate limit that is lost or remains by mistake: with a restart of the
// node, a late response, a response without it, or a new process of the upstream.
func TestStatementOfUpstream(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	up := Upstream{Service: "s", Addr: "127.0.0.1:1", ID: "i-1", StartedMS: 5, State: Ready, TTLMS: 60_000}
	limited := func(perSec float64) Statement { return Statement{Limited: true, PerSec: perSec} }
	passed := func(id string, started int64, perSec float64) *Statement {
		return &Statement{Process: Process{ID: id, StartedMS: started}, Limited: true, PerSec: perSec}
	}
	for _, test := range []struct {
		name string
		do   func(target *Target)
		want float64 // 0 for no limit
	}{
		{"nothing stated", func(*Target) {}, 0},
		{"stated", func(target *Target) { target.recordStatement(up, limited(7), at(0), at(10)) }, 7},
		{"changed", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			target.recordStatement(up, limited(3), at(0), at(20))
		}, 3},
		{"ended", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			target.recordStatement(up, Statement{}, at(11), at(20))
		}, 0},
		{"response to an earlier request", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			target.recordStatement(up, Statement{}, at(9), at(20))
		}, 7},
		{"passed on by a caller", func(target *Target) { target.adoptStatement(passed("i-1", 5, 7), at(0)) }, 7},
		{"passed on, start unknown there", func(target *Target) { target.adoptStatement(passed("i-1", 0, 7), at(0)) }, 7},
		{"passed on, of an earlier process", func(target *Target) { target.adoptStatement(passed("i-1", 4, 7), at(0)) }, 0},
		{"passed on, of another upstream", func(target *Target) { target.adoptStatement(passed("i-0", 5, 7), at(0)) }, 0},
		{"passed on after a response", func(target *Target) {
			target.recordStatement(up, Statement{}, at(0), at(10))
			target.adoptStatement(passed("i-1", 5, 7), at(20))
		}, 0},
		{"announced again", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			target.Announce(up, at(20))
		}, 7},
		{"restarted under its identifier", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			next := up
			next.StartedMS = 6
			target.Announce(next, at(20))
			target.recordStatement(up, limited(7), at(0), at(30)) // a late response of the earlier process
		}, 0},
		{"replaced", func(target *Target) {
			target.recordStatement(up, limited(7), at(0), at(10))
			next := up
			next.ID = "i-2"
			target.Announce(next, at(20))
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := newTestTarget(t)
			target.Announce(up, at(0))
			test.do(target)
			assert.Equal(t, target.Load().Rate, test.want)
		})
	}
}

// Guards against a limit that a node forgets because the node of the target has restarted
// and refuses calls, or keeps after a response without it.
func TestStatementAtCallers(t *testing.T) {
	b := NewBalancer(noTargets{}, "z", 1)
	c := Candidate{ID: "n#1", Instance: "n"}
	now := time.Unix(1000, 0)
	said := &Statement{Process: Process{ID: "i-1"}, Limited: true, PerSec: 4}
	b.recordStatement("s", c, &ReplyHead{Statement: said}, now)
	assert.DeepEqual(t, b.statement("n"), said)
	b.recordStatement("s", c, &ReplyHead{Refusal: causeRefusal(0)}, now)
	assert.DeepEqual(t, b.statement("n"), said)
	b.recordStatement("s", Candidate{ID: "m#1", Instance: "m"}, &ReplyHead{Statement: said}, now.Add(2*statementRetention))
	assert.Assert(t, b.statement("n") == nil, "kept for ever")
	b.recordStatement("s", Candidate{ID: "m#1", Instance: "m"}, &ReplyHead{}, now)
	assert.Assert(t, b.statement("m") == nil)
}

func TestParseStatement(t *testing.T) {
	for _, test := range []struct {
		rate string
		want Statement
		ok   bool
	}{
		{"", Statement{}, true},
		{"22.3", Statement{Limited: true, PerSec: 22.3}, true},
		{"0", Statement{Limited: true}, true},
		{"-1", Statement{}, false},
		{"NaN", Statement{}, false},
		{"+Inf", Statement{}, false},
		{"ten", Statement{}, false},
	} {
		h := http.Header{}
		if test.rate != "" {
			h.Set(RateLimitHeader, test.rate)
		}
		got, ok := ParseStatement(h, RateLimitHeader)
		assert.Equal(t, ok, test.ok, test.rate)
		assert.DeepEqual(t, got, test.want)
	}
}
