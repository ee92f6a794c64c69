package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatience guards against a first try that counts as a retry, and against a
// retry that counts as a first try.
func TestPatience(t *testing.T) {
	start := time.Unix(1000, 0)
	type ask struct {
		after time.Duration
		route string
		wait  time.Duration
		want  bool
	}
	for _, test := range []struct {
		name string
		asks []ask
	}{
		{"first tries", []ask{{0, "a", 5 * time.Second, false}, {1, "a", 5 * time.Second, false}}},
		{"comes back", []ask{{0, "a", 5 * time.Second, false}, {time.Second, "a", 3900 * time.Millisecond, true}}},
		{"other route", []ask{{0, "a", 5 * time.Second, false}, {0, "b", time.Second, false}}},
		{"doesn't tell", []ask{{0, "a", 5 * time.Second, false}, {0, "a", 0, false}}},
		{"shorter wait from now on", []ask{
			{0, "a", 5 * time.Second, false},
			{maxTimeoutPeriod + time.Second, "a", 2 * time.Second, true},
			{2*maxTimeoutPeriod + 2*time.Second, "a", 2 * time.Second, false},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := newCallerRetryDetector()
			for i, a := range test.asks {
				assert.Equal(t, detector.isRetry(a.route, a.wait, start.Add(a.after)), a.want, "ask %d", i)
			}
		})
	}
}
