package store

import (
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/route"
)

// Current is the configuration in force. It is read-only.
type Current struct {
	View  *config.View
	Table *route.Table
}

// Store is the configuration of a node. It is safe for concurrent use.
type Store struct {
	cur       atomic.Pointer[Current]
	confirmed atomic.Int64 // Unix nanoseconds of the last confirmation that nothing newer exists
	ready     chan struct{}
	once      sync.Once

	mu    sync.Mutex
	state *config.State
	hooks []func(*Current)
}

// New returns an empty store that is not ready.
func New() *Store {
	return &Store{state: config.NewState(), ready: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the store is
// ready.
func (s *Store) Current() *Current {
	return s.cur.Load()
}

// Ready is closed once the store holds a configuration that was complete when
// the node started.
func (s *Store) Ready() <-chan struct{} {
	return s.ready
}

// Next returns the offset of the next record to fold.
func (s *Store) Next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Next
}

// Age returns how long ago the configuration was confirmed to be the newest.
func (s *Store) Age(now time.Time) time.Duration {
	at := s.confirmed.Load()
	if at == 0 {
		return 1<<63 - 1
	}
	return now.Sub(time.Unix(0, at))
}

// OnChange calls f after each change of the configuration, in order. It must
// be called before the first Apply.
func (s *Store) OnChange(f func(*Current)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks = append(s.hooks, f)
}

// Apply folds a batch of the log. A batch that reaches the end of the stream
// makes the store ready and confirms the configuration at now, the time when
// the read was sent.
func (s *Store) Apply(b logsvc.Batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state.Next
	for i, rec := range b.Records {
		s.state.Apply(b.First+uint64(i), rec)
	}
	atEnd := s.state.Next >= b.End
	if atEnd {
		s.confirmed.Store(now.UnixNano())
	}
	if s.state.Next != before || atEnd && s.cur.Load() == nil {
		s.publish(atEnd)
	}
}

// publish puts the folded state in force. Before the first complete read it
// stays out of force, so that a restarted node never serves by an old
// configuration.
func (s *Store) publish(atEnd bool) {
	if s.cur.Load() == nil && !atEnd {
		return
	}
	view := s.state.View()
	cur := &Current{View: view, Table: route.NewTable(view)}
	s.cur.Store(cur)
	s.once.Do(func() { close(s.ready) })
	for _, f := range s.hooks {
		f(cur)
	}
}
