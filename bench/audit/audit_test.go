package audit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/bench/audit"
	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/bench/load"
	"dogwoodsill.org/core/refuse"
)

// Guards against an audit that misses a false refusal, or that reports a correct
// refusal as false because a later request with the same key ran.
func TestFalseNo(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	no := func(idem string, sent time.Duration) load.Outcome {
		return load.Outcome{Request: load.Request{ID: "a/order/1", Idem: idem}, Sent: start.Add(sent), Executed: refuse.NotExecuted}
	}
	ok := load.Outcome{Request: load.Request{ID: "a/order/1", Idem: "k"}, Sent: start, Status: 200}
	runs := map[string]fakes.Run{"a/order/1": {Count: 1, First: start.Add(time.Second)}}
	for _, c := range []struct {
		name string
		list []load.Outcome
		want int
	}{
		{"sent once and ran", []load.Outcome{no("", 0)}, 1},
		{"refused after the run", []load.Outcome{ok, no("k", 2*time.Second)}, 1},
		{"refused before the run of a repeat", []load.Outcome{no("k", 0), ok}, 0},
		{"completed", []load.Outcome{ok}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, audit.FalseNo(c.list, runs), c.want)
		})
	}
}
