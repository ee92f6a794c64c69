package finish

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFits guards against a shutdown that takes work which it cuts off at its end, and against
// one that refuses work which it could finish.
func TestFits(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }
	rare := append(slices.Repeat([]float64{0.1}, 100), 5.5, 0.1, 0.1)
	for _, test := range []struct {
		name     string
		took     []float64 // durations of earlier work in seconds
		deadline float64   // seconds after the arrival
		arrives  float64   // seconds after the beginning of a shutdown of 6 s
		want     bool
	}{
		{"deadline before the end", nil, 1, 4.9, true},
		{"deadline before the end, slow before", []float64{9}, 1, 4.9, true},
		{"deadline after the end, of unknown duration, early", nil, 10, 2, true},
		{"deadline after the end, of unknown duration, late", nil, 10, 3.1, false},
		{"fast", []float64{0.02, 0.03, 0.01}, 10, 5.9, true},
		{"fast, at the very end", []float64{0.02}, 10, 5.99, false},
		{"slow, early", []float64{2.5}, 10, 3, true},
		{"slow, late", []float64{2.5}, 10, 3.3, false},
		{"slow at times, late", []float64{0.1, 2.5, 0.1}, 10, 3.3, false},
		{"slow once in a while, early", rare, 10, 1, true},
		{"slow once in a while, late", rare, 10, 3.3, false},
		{"slow half of the time, early", []float64{5.5, 0.1, 5.5, 0.1, 5.5, 0.1, 5.5, 0.1}, 10, 1, false},
		{"slow always, early", []float64{4.3, 4.3, 4.3}, 10, 2, false},
		{"slow always, at once", []float64{4.3, 4.3, 4.3}, 10, 0.5, true},
		{"after the end", []float64{0.01}, 10, 7, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var g Gate
			for _, s := range test.took {
				g.Record("r", time.Duration(s*float64(time.Second)), began)
			}
			assert.Assert(t, g.Fits("r", at(100), began), "before the shutdown")
			g.Begin(began, at(6))
			assert.Equal(t, g.Fits("r", at(test.arrives+test.deadline), at(test.arrives)), test.want)
		})
	}
}

// TestDurationsExpire guards against a single slow request that makes all later shutdowns
// refuse its kind, and against memory that grows with the names that callers use.
func TestDurationsExpire(t *testing.T) {
	var g Gate
	now := time.Unix(1000, 0)
	g.Record("r", 10*time.Second, now)
	for range 5 {
		now = now.Add(period / 2)
		g.Record("r", time.Millisecond, now)
	}
	for i := range 2 * maxKinds {
		g.Record(fmt.Sprint(i), time.Millisecond, now)
	}
	assert.Assert(t, len(g.byKind) <= maxKinds)
	g.Begin(now, now.Add(time.Second))
	assert.Assert(t, g.Fits("r", now.Add(time.Minute), now))
}
