package start

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/setup"
)

// TestLogger guards against lines that are still buffered when the process ends.
func TestLogger(t *testing.T) {
	for _, test := range []struct {
		name string
		cfg  setup.Logging
		want string
	}{
		{"text", setup.Logging{Level: "info"}, "request refused: reason=overloaded"},
		{"json", setup.Logging{Level: "info", JSON: true}, `"reason":"overloaded"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out bytes.Buffer
			w := lines.NewWriter(&out)
			newLogger(test.cfg, w).Info("request refused", "reason", "overloaded")
			flush(w)
			assert.Assert(t, strings.Contains(out.String(), test.want), "%s", out.String())
		})
	}
}

// BenchmarkRefusalLine measures the time that logging one refused request takes
// in the calling goroutine.
func BenchmarkRefusalLine(b *testing.B) {
	w := lines.NewWriter(io.Discard, lines.WithBuffer(1<<30))
	log := newLogger(setup.Default().Logging, w)
	for b.Loop() {
		log.Info("request refused", "request", "54b78295828f529e.86e68e5dfb65a02c", "route", "r-6j25yf4", "customer", "bami977",
			"reason", "overloaded", "executed", "no", "detail", "the target is overloaded", "after", 52505502*time.Nanosecond)
	}
	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(b, w.Close(ctx))
}
