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

// watchInterval is the time between two looks at the settings file, for changes
// that no signal announces. A change by hand can wait a second.
const watchInterval = time.Second

// Source follows the settings file of a process. It implements agent.SettingsSource.
type Source struct {
	file string
	load func(data []byte) (setup.Node, error)
	hup  chan os.Signal
	last []byte // content that was loaded last
}

func newSource(file string, data []byte, load func([]byte) (setup.Node, error)) *Source {
	s := &Source{file: file, load: load, hup: make(chan os.Signal, 1), last: data}
	signal.Notify(s.hup, syscall.SIGHUP)
	return s
}

// Next implements agent.SettingsSource. It returns settings when the content of the
// file differs, and at each SIGHUP.
func (s *Source) Next(ctx context.Context) (setup.Node, error) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return setup.Node{}, ctx.Err()
		case <-s.hup:
			asked = true
		case <-t.C:
		}
		data, err := os.ReadFile(s.file)
		switch {
		case asked && err != nil:
			return setup.Node{}, err
		case !asked && (err != nil || bytes.Equal(data, s.last)):
			continue // the file may be about to be replaced
		}
		s.last = data
		return s.load(data)
	}
}
