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

// Config is the configuration in force. It is read-only.
type Config struct {
	View  *config.View
	Table *route.Table
	// MaxAge is the least age of the configuration that a route bounds; 0 if none
	// does.
	MaxAge time.Duration
}

// Store is the configuration of a node. It is safe for concurrent use. All times
// that its methods take are those of package boot.
type Store struct {
	cur   atomic.Pointer[Config]
	ready chan struct{}
	once  sync.Once

	mu     sync.Mutex
	reader *config.Reader
	recent *recent
	end    uint64 // end of the stream as last read from the log
	hooks  []func(*Config)
	change Change
}

// Origin says how a node learned of a configuration.
type Origin string

// Origins of a configuration.
const (
	FromLog  Origin = "log"
	FromPeer Origin = "peer"
)

// Change is the last change of the configuration in force.
type Change struct {
	Origin Origin
	At     time.Time
}

// LastChange returns the last change of the configuration in force, the zero
// Change before the first.
func (s *Store) LastChange() Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change
}

// New returns an empty store that is not ready.
func New() *Store {
	return &Store{reader: config.NewReader(boot.Now()), recent: newRecent(), ready: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the store is
// ready.
func (s *Store) Current() *Config {
	return s.cur.Load()
}

// Ready is closed once the store holds a configuration that was complete when
// the node started, or the newest one of its peers if the log is down.
func (s *Store) Ready() <-chan struct{} {
	return s.ready
}

// Offset returns the offset after the last folded record.
func (s *Store) Offset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.Offset()
}

// LogEnd returns the end of the stream as it was last read from the log or told by
// a peer.
func (s *Store) LogEnd() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Age returns how long ago the configuration was known to be the newest. It is
// the largest duration if it never was.
func (s *Store) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	age, ok := s.reader.Age(now)
	if !ok {
		return math.MaxInt64
	}
	return age
}

// OnChange calls f after each change of the configuration, in order. It must
// be called before the duties start.
func (s *Store) OnChange(f func(*Config)) {
	s.hooks = append(s.hooks, f)
}

// publish puts the folded state in force if it changed. The caller holds mu.
// Before the state was once at the end of the log, or complete says that no
// newer one can be had, it stays out of force, so that a restarted node never
// serves by an old configuration.
func (s *Store) publish(now time.Time, from Origin, complete bool) {
	_, confirmed := s.reader.Age(now)
	old := s.cur.Load()
	if old == nil && !confirmed && !complete {
		return
	}
	view := s.reader.View()
	if old != nil && old.View == view {
		return
	}
	cur := &Config{View: view, Table: route.NewTable(view), MaxAge: maxAge(view)}
	s.cur.Store(cur)
	s.change = Change{Origin: from, At: now}
	s.once.Do(func() { close(s.ready) })
	for _, f := range s.hooks {
		f(cur)
	}
}

func maxAge(v *config.View) time.Duration {
	var least int64
	for _, r := range v.Routes {
		if ms := r.MaxConfigAgeMS; ms > 0 && (least == 0 || ms < least) {
			least = ms
		}
	}
	return time.Duration(least) * time.Millisecond
}
