package relay

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBodyWithoutRoom guards against a body that is lost or buffered when there is no memory for it.
func TestBodyWithoutRoom(t *testing.T) {
	text := strings.Repeat("0123456789", 20_000)
	for _, test := range []struct {
		name     string
		room     int64
		buffered bool
	}{
		{"none", 0, false},
		{"a part", 100_000, false},
		{"all", 200_000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			left := test.room
			b, err := NewBody(strings.NewReader(text), int64(len(text)), nil, WithReserve(func(n int64) bool {
				left -= n
				return left >= 0
			}))
			assert.NilError(t, err)
			assert.Equal(t, b.Buffered(), test.buffered)
			for range 2 {
				r, ok := b.open()
				assert.Assert(t, ok)
				data, err := io.ReadAll(r)
				assert.NilError(t, err)
				assert.Assert(t, string(data) == text, "%d bytes", len(data))
				if !test.buffered {
					break
				}
			}
			assert.Equal(t, b.available(), test.buffered)
		})
	}
}
