package start

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/setup"
)

// TestSource guards against a change of the settings that is missed, with or
// without a signal, and against a missing file that ends the polling.
func TestSource(t *testing.T) {
	errBad := errors.New("bad settings")
	load := func(data []byte) (setup.Node, error) {
		cfg := setup.Default()
		cfg.Logging.Level = string(data)
		if string(data) == "bad" {
			return cfg, errBad
		}
		return cfg, nil
	}
	for _, test := range []struct {
		name    string
		content string
		hup     bool
		want    string // log level; empty if Next returns no settings
		err     error
	}{
		{"changed without a signal", "debug", false, "debug", nil},
		{"signal", "debug", true, "debug", nil},
		{"signal without a change", "info", true, "info", nil},
		{"no change", "info", false, "", context.DeadlineExceeded},
		{"not usable", "bad", false, "bad", errBad},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "node.toml")
			s := newSource(file, []byte("info"), load)
			assert.NilError(t, os.WriteFile(file, []byte(test.content), 0o600))
			if test.hup {
				s.hup <- syscall.SIGHUP
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*pollInterval)
			defer cancel()
			cfg, err := s.Next(ctx)
			assert.Equal(t, cfg.Logging.Level, test.want)
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
		})
	}
	t.Run("file away for a moment", func(t *testing.T) {
		t.Parallel()
		file := filepath.Join(t.TempDir(), "node.toml")
		s := newSource(file, []byte("info"), load)
		time.AfterFunc(pollInterval*3/2, func() { _ = os.WriteFile(file, []byte("warn"), 0o600) })
		cfg, err := s.Next(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, cfg.Logging.Level, "warn")
	})
}
