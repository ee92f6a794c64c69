package agent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNotes guards against changes of the node's state that are not logged.
func TestNotes(t *testing.T) {
	base := nodeState{config: 7, epoch: 3, logEra: 1, lease: true, others: []string{"a1", "b0"}, upstream: "runs a0-1 ready", learned: learnedState{limit: 54}}
	for _, test := range []struct {
		name   string
		change func(*nodeState)
		want   []string
	}{
		{"nothing", func(*nodeState) {}, nil},
		{"configuration", func(s *nodeState) { s.config = 9 }, []string{"configuration in effect"}},
		{"stale", func(s *nodeState) { s.stale = true }, []string{"configuration not confirmed by the log or a peer"}},
		{"epoch", func(s *nodeState) { s.epoch = 4 }, []string{"zone member list in effect"}},
		{"era", func(s *nodeState) { s.logEra = 2 }, []string{"the log has come back from a copy and may lack records"}},
		{"rate limit", func(s *nodeState) { s.rateLimit = 4 }, []string{"upstream states a rate limit"}},
		{"learned limit", func(s *nodeState) { s.learned = s.learned.next(learnedState{limit: 32}) }, []string{"learned capacity of the upstream changed"}},
		{"learned limit, slightly", func(s *nodeState) { s.learned = s.learned.next(learnedState{limit: 44}) }, nil},
		{"lease", func(s *nodeState) { s.lease = false }, []string{"zone lease lost: no tokens are lent"}},
		{"one goes, one comes", func(s *nodeState) { s.others = []string{"a1", "c0"} }, []string{"instances lost", "instances found"}},
		{"upstream", func(s *nodeState) { s.upstream = "" }, []string{"upstream changed"}},
		{"lines", func(s *nodeState) { s.droppedLines = 5 }, []string{"log lines dropped"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			after := base
			test.change(&after)
			var got []string
			for _, line := range changes(base, after) {
				got = append(got, line.text)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
	t.Run("and back", func(t *testing.T) {
		disconnected := nodeState{config: 7, stale: true, epoch: 3, logEra: 1, learned: base.learned}
		var got []string
		for _, line := range changes(disconnected, base) {
			got = append(got, line.text)
		}
		assert.DeepEqual(t, got, []string{"configuration confirmed again", "zone lease held", "instances found", "upstream changed"})
	})
}
