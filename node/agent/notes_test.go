package agent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNotes guards against a change of what the node believes that the log
// doesn't tell.
func TestNotes(t *testing.T) {
	calm := belief{config: 7, epoch: 3, lease: true, others: []string{"a1", "b0"}, upstream: "runs a0-1 ready"}
	for _, test := range []struct {
		name   string
		change func(*belief)
		want   []string
	}{
		{"nothing", func(*belief) {}, nil},
		{"configuration", func(b *belief) { b.config = 9 }, []string{"configuration in force"}},
		{"stale", func(b *belief) { b.stale = true }, []string{"configuration not confirmed by the log or a peer"}},
		{"epoch", func(b *belief) { b.epoch = 4 }, []string{"member list of the zone in force"}},
		{"lease", func(b *belief) { b.lease = false }, []string{"zone lease lost: no tokens are lent"}},
		{"one goes, one comes", func(b *belief) { b.others = []string{"a1", "c0"} }, []string{"instances lost", "instances found"}},
		{"upstream", func(b *belief) { b.upstream = "" }, []string{"upstream changed"}},
		{"lines", func(b *belief) { b.leftOut = 5 }, []string{"log lines left out"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			after := calm
			test.change(&after)
			var got []string
			for _, n := range notes(calm, after) {
				got = append(got, n.text)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
	t.Run("and back", func(t *testing.T) {
		cut := belief{config: 7, stale: true, epoch: 3}
		var got []string
		for _, n := range notes(cut, calm) {
			got = append(got, n.text)
		}
		assert.DeepEqual(t, got, []string{"configuration confirmed again", "zone lease held", "instances found", "upstream changed"})
	})
}
