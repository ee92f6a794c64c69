package store

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/route"
)

// Config is the configuration in effect. It is read-only.
type Config struct {
	View  *config.View
	Table *route.Table
	// MaxAge is the smallest maximum age of the configuration that a route sets;
	// 0 if no route sets one.
	MaxAge time.Duration
}

// Store holds the configuration of a node. It is safe for concurrent use. The times
// that its methods take must come from the clock of package boot.
type Store struct {
	current   atomic.Pointer[Config]
	ready     chan struct{}
	readyOnce sync.Once

	mu         sync.Mutex
	reader     *config.Reader
	recent     *recent
	logEnd     uint64 // last known end of the stream
	callbacks  []func(*Config)
	lastChange Change
}

// Origin tells from where a node received a configuration.
type Origin string

// Origins of a configuration.
const (
	FromLog  Origin = "log"
	FromPeer Origin = "peer"
)

// Change describes a change of the configuration in effect.
type Change struct {
	Origin Origin
	At     time.Time
}

// LastChange returns the last change of the configuration in effect, or the zero
// Change if there was none.
func (s *Store) LastChange() Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastChange
}

// New returns an empty store that is not ready.
func New() *Store {
	return &Store{reader: config.NewReader(boot.Now()), recent: newRecent(), ready: make(chan struct{})}
}

// Current returns the configuration in effect, or nil before the store is ready.
func (s *Store) Current() *Config {
	return s.current.Load()
}

// Ready returns a channel that is closed once the store has a configuration in
// effect: one at least as new as the end of the log when the node started or, if
// the log is unreachable, the newest one of its peers.
func (s *Store) Ready() <-chan struct{} {
	return s.ready
}

// Offset returns the offset after the last applied record.
func (s *Store) Offset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.Offset()
}

// LogEnd returns the end of the stream as last reported by the log, a source or a
// peer.
func (s *Store) LogEnd() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logEnd
}

// Age returns the time since the configuration was last confirmed to be the newest.
// It is the maximum duration if it never was.
func (s *Store) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.reader.Age(now)
	if !ok {
		return math.MaxInt64
	}
	return age
}

// OnChange registers f to be called after each change of the configuration, in the
// order of the changes. OnChange must be called before the background tasks start.
func (s *Store) OnChange(f func(*Config)) {
	s.callbacks = append(s.callbacks, f)
}

// publish puts the applied records into effect if they changed the configuration.
// The caller holds mu. The first configuration takes effect only once it was
// confirmed to be the newest, or if complete is true because no newer one can be
// obtained. So a restarted node never serves with an old configuration.
func (s *Store) publish(now time.Time, from Origin, complete bool) {
	_, confirmed := s.reader.Age(now)
	old := s.current.Load()
	if old == nil && !confirmed && !complete {
		return
	}
	view := s.reader.View()
	if old != nil && old.View == view {
		return
	}
	cur := &Config{View: view, Table: route.NewTable(view), MaxAge: smallestMaxAge(view)}
	s.current.Store(cur)
	s.lastChange = Change{Origin: from, At: now}
	s.readyOnce.Do(func() { close(s.ready) })
	for _, f := range s.callbacks {
		f(cur)
	}
}

func smallestMaxAge(v *config.View) time.Duration {
	var smallest int64
	for _, r := range v.Routes {
		if ms := r.MaxConfigAgeMS; ms > 0 && (smallest == 0 || ms < smallest) {
			smallest = ms
		}
	}
	return time.Duration(smallest) * time.Millisecond
}
