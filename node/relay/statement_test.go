package relay

import (
	"net/http"
	"slices"
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
		{"passed on, start unknown there", func(target *Target) { target.adoptStatement(passed("i-1", 0, 7), at(0)) }, 0},
		{"passed on, start unknown here", func(target *Target) {
			found := up
			found.StartedMS = 0
			target.upstream = nil
			target.Announce(found, at(0))
			target.adoptStatement(passed("i-1", 5, 7), at(0))
		}, 7},
		{"stated before the start was known", func(target *Target) {
			found := up
			found.StartedMS = 0
			target.upstream = nil
			target.Announce(found, at(0))
			target.recordStatement(found, limited(7), at(0), at(10))
			target.Announce(up, at(20))
		}, 7},
		{"stated before the start was known, the response arrives after it", func(target *Target) {
			found := up
			found.StartedMS = 0
			target.upstream = nil
			target.Announce(found, at(0))
			target.Announce(up, at(20))
			target.recordStatement(found, limited(7), at(0), at(30))
		}, 7},
		{"stated by an earlier process whose start was not known", func(target *Target) {
			found, next := up, up
			found.StartedMS = 0
			next.StartedMS = at(10).UnixMilli()
			target.upstream = nil
			target.Announce(found, at(0))
			target.recordStatement(found, limited(7), at(0), at(5))
			target.Announce(next, at(20))
			target.recordStatement(found, limited(7), at(0), at(30))
		}, 0},
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

// Guards against calls to an upstream that has left, when an announcement or a caller's
// knowledge arrives late, and against one that stays unused though it is a new process.
func TestLeavingUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	up := Upstream{Service: "s", Addr: "127.0.0.1:1", ID: "i-1", StartedMS: 5, State: Ready, TTLMS: 60_000}
	changed := func(change func(u *Upstream)) Upstream {
		next := up
		change(&next)
		return next
	}
	leaving := Statement{Leaving: true}
	for _, test := range []struct {
		name string
		do   func(target *Target)
		want State
	}{
		{"ready", func(*Target) {}, Ready},
		{"says so", func(target *Target) { target.recordStatement(up, leaving, now, now) }, Draining},
		{"announced again", func(target *Target) {
			target.recordStatement(up, leaving, now, now)
			target.Announce(up, now)
		}, Draining},
		{"withdrawn, then a late announcement", func(target *Target) {
			target.Withdraw()
			target.Announce(up, now)
		}, Draining},
		{"withdrawn, then restored", func(target *Target) {
			target.Withdraw()
			target.Restore(up, now)
			target.adoptStatement(&Statement{Process: up.process(), Leaving: true}, now)
			target.Announce(up, now)
		}, Ready},
		{"restored, then withdrawn again", func(target *Target) {
			target.Withdraw()
			target.Restore(up, now)
			target.Withdraw()
			target.Announce(up, now)
		}, Draining},
		{"a caller knows it", func(target *Target) {
			target.adoptStatement(&Statement{Process: up.process(), Leaving: true}, now)
			target.Announce(up, now)
		}, Draining},
		{"an earlier process of the node knew it", func(target *Target) {
			target.upstream = nil
			target.AdoptLeaving(up.process(), now)
			target.Announce(up, now)
		}, Draining},
		{"an earlier process of the node knew it of another upstream", func(target *Target) {
			target.upstream = nil
			target.AdoptLeaving(Process{ID: "i-0"}, now)
			target.Announce(up, now)
		}, Ready},
		{"a caller knows it of an earlier process", func(target *Target) {
			target.adoptStatement(&Statement{Process: Process{ID: "i-1", StartedMS: 4}, Leaving: true}, now)
		}, Ready},
		{"new process", func(target *Target) {
			target.recordStatement(up, leaving, now, now)
			target.Announce(changed(func(u *Upstream) { u.StartedMS = 6 }), now)
		}, Ready},
		{"drains no longer", func(target *Target) {
			target.Announce(changed(func(u *Upstream) { u.State = Draining }), now)
			target.Announce(up, now)
		}, Ready},
		{"no identifier, announced again", func(target *Target) {
			anonymous := changed(func(u *Upstream) { u.ID, u.StartedMS = "", 0 })
			target.Announce(anonymous, now)
			target.recordStatement(anonymous, leaving, now, now)
			target.Announce(anonymous, now)
		}, Ready},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := newTestTarget(t)
			target.Announce(up, now)
			test.do(target)
			got, ok := target.Upstream(now)
			assert.Assert(t, ok)
			assert.Equal(t, got.State, test.want)
		})
	}
}

// Guards against an upstream that stays unused after it has started again under its identifier,
// because the statement about its earlier process arrives before the new start is known.
func TestLeavingOfEarlierProcess(t *testing.T) {
	now := time.Unix(1000, 0)
	first := Process{ID: "i-1", StartedMS: now.Add(-time.Minute).UnixMilli()}
	second := Process{ID: "i-1", StartedMS: now.Add(-time.Second).UnixMilli()}
	announce := func(p Process) func(target *Target) {
		return func(target *Target) {
			target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", ID: p.ID, StartedMS: p.StartedMS, State: Ready, TTLMS: 60_000}, now)
		}
	}
	hear := func(p Process) func(target *Target) {
		return func(target *Target) { target.adoptStatement(&Statement{Process: p, Leaving: true}, now) }
	}
	type step struct {
		name string
		do   func(target *Target)
	}
	found := step{"found by a health check", announce(Process{ID: "i-1"})}
	heartbeat := step{"heartbeat", announce(second)}
	gossip := step{"gossip about the earlier process", func(target *Target) { target.AdoptLeaving(first, now) }}
	call := step{"call with a statement about the earlier process", hear(first)}
	unknown := step{"call with a statement whose process has an unknown start", hear(Process{ID: "i-1"})}
	own := step{"gossip about the process itself", func(target *Target) { target.AdoptLeaving(second, now) }}
	for _, test := range []struct {
		steps []step
		want  State
	}{
		{[]step{found, gossip, heartbeat}, Ready},
		{[]step{found, call, unknown, heartbeat}, Ready},
		{[]step{found, gossip, call, unknown, heartbeat}, Ready},
		{[]step{found, gossip, own, heartbeat}, Draining},
		{[]step{gossip, own, call, heartbeat}, Draining},
	} {
		for _, order := range permute(test.steps) {
			var names []string
			target := newTestTarget(t)
			for _, s := range order {
				names = append(names, s.name)
				s.do(target)
				if p, leaving := target.LeavingProcess(); leaving {
					assert.Assert(t, p != second || test.want == Draining, "told other nodes that the new process leaves: %v", names)
				}
			}
			target.Announce(Upstream{Service: "s", Addr: "127.0.0.1:1", ID: second.ID, StartedMS: second.StartedMS, State: Ready, TTLMS: 60_000}, now)
			got, ok := target.Upstream(now)
			assert.Assert(t, ok)
			assert.Equal(t, got.State, test.want, "%v", names)
		}
	}
}

// permute returns all orders of a list.
func permute[T any](list []T) [][]T {
	if len(list) < 2 {
		return [][]T{list}
	}
	var out [][]T
	for i := range list {
		rest := slices.Delete(slices.Clone(list), i, i+1)
		for _, p := range permute(rest) {
			out = append(out, append([]T{list[i]}, p...))
		}
	}
	return out
}

// Guards against a calling node that forgets a leaving upstream with the restart of the node
// beside it, or takes a planned stop of that node for the leaving of the upstream.
func TestCallersLearnLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	process := Process{ID: "i-1", StartedMS: 5}
	listed := func(incarnation uint64, s State, leaving Process) Candidate {
		return Candidate{ID: "n", Instance: "n", Incarnation: incarnation, State: s, Leaving: leaving}
	}
	for _, test := range []struct {
		name string
		seen []Candidate
		want bool
	}{
		{"upstream drains", []Candidate{listed(1, Draining, process)}, true},
		{"its node restarts", []Candidate{listed(1, Draining, process), listed(2, Ready, Process{})}, true},
		{"drains no longer", []Candidate{listed(1, Draining, process), listed(1, Ready, Process{})}, false},
		{"its node stops", []Candidate{listed(1, Draining, Process{})}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := NewBalancer(noTargets{}, "z", 1)
			for _, c := range test.seen {
				b.learnLeaving(c, now)
			}
			s := b.statement("n")
			assert.Equal(t, s != nil && s.Leaving, test.want)
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
		got, ok := ParseStatement(h, RateLimitHeader, LeavingHeader)
		assert.Equal(t, ok, test.ok, test.rate)
		assert.DeepEqual(t, got, test.want)
	}
}
