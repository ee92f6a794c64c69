package start

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dogwoodsill.org/core/setup"
)

// pollInterval is the interval between reads of the settings file, for changes that
// are made without a SIGHUP. A delay of a second is acceptable for manual changes.
const pollInterval = time.Second

// FileSource reloads the settings file when it changes. It implements
// agent.SettingsSource.
type FileSource struct {
	file string
	load func(data []byte) (setup.Node, error)
	hup  chan os.Signal
	last []byte // content of the last load
}

func newSource(file string, data []byte, load func([]byte) (setup.Node, error)) *FileSource {
	s := &FileSource{file: file, load: load, hup: make(chan os.Signal, 1), last: data}
	signal.Notify(s.hup, syscall.SIGHUP)
	return s
}

// Next implements agent.SettingsSource. It loads the file when its content
// changed, and at each SIGHUP.
func (s *FileSource) Next(ctx context.Context) (setup.Node, error) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return setup.Node{}, ctx.Err()
		case <-s.hup:
			signalled = true
		case <-t.C:
		}
		data, err := os.ReadFile(s.file)
		switch {
		case signalled && err != nil:
			return setup.Node{}, err
		case !signalled && (err != nil || bytes.Equal(data, s.last)):
			continue // unchanged, or missing for a moment while it is replaced
		}
		s.last = data
		return s.load(data)
	}
}
