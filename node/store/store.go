package store

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/evac"
	"dogwoodsill.org/core/ring"
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
	recent     *ring.Records
	logEnd     uint64 // last known end of the stream
	callbacks  []func(*Config)
	lastChange Change
	asOf       time.Time // time at which the state was known to be the newest, as of the last news
	onNews     func()
	news       uint64    // number of the latest news
	published  uint64    // offset as of the last news
	failing    bool      // the last read of this node failed
	held       bool      // the first configuration must not take effect yet
	emptyAsOf  time.Time // time at which the source was known to have no configuration yet; zero if never

	zones      atomic.Pointer[zonesInEffect]
	tracker    evac.Tracker
	needsZones bool // the first configuration must not take effect before the zones are known
	onZones    []func(before, after evac.State)
}

// maxRecentRecords is the number of records that are retained for peers. At 4,500
// changes a day it covers an hour and a half. A peer that lacks more records gets
// a snapshot.
const maxRecentRecords = 300

// newsInterval is the time by which the state must have been confirmed later than before
// for that to be news.
const newsInterval = 100 * time.Millisecond

// Origin tells from where a node received a configuration.
type Origin string

// Origins of a configuration.
const (
	FromLog  Origin = "log" // the log or a Source
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
	return &Store{reader: config.NewReader(boot.Now()), recent: ring.NewRecords(maxRecentRecords), ready: make(chan struct{})}
}

// Current returns the configuration in effect, or nil before the store is ready.
func (s *Store) Current() *Config {
	return s.current.Load()
}

// Ready returns a channel that is closed once a configuration is in effect. It
// contains all records that were in the log when the node started or, if the log
// is unreachable, those that the peers had.
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

// StateAge returns the age of what the node knows of the newest configuration, like Age,
// but also before there is any: then it is the time since the source was known to be empty.
func (s *Store) StateAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAge(now)
}

func (s *Store) stateAge(now time.Time) time.Duration {
	if age, ok := s.reader.Age(now); ok {
		return age
	}
	if s.emptyAsOf.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(s.emptyAsOf)
}

// recordEmpty records that the source had no configuration at some time. The caller holds
// mu.
func (s *Store) recordEmpty(asOf time.Time) {
	if asOf.Sub(s.emptyAsOf) > newsInterval {
		s.emptyAsOf = asOf
		s.announce()
	}
}

// OnChange registers f to be called after each change of the configuration, in the
// order of the changes. OnChange must be called before the background tasks start.
func (s *Store) OnChange(f func(*Config)) {
	s.callbacks = append(s.callbacks, f)
}

// OnNews registers f to be called whenever the state changed or was confirmed again, and
// when reads begin or cease to fail. It must be called before the background tasks start.
// f must not block.
func (s *Store) OnNews(f func()) {
	s.onNews = f
}

// News returns the number of the latest news, and whether the reads of this node fail.
func (s *Store) News() (n uint64, failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news, s.failing
}

// SetFailing records whether the last read of this node failed.
func (s *Store) SetFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing != s.failing {
		s.failing = failing
		s.announce()
	}
}

// announce numbers a piece of news and announces it. The caller holds mu.
func (s *Store) announce() {
	s.news++
	if s.onNews != nil {
		s.onNews()
	}
}

// announceProgress announces that the state changed, or that it was confirmed since the
// last news. Confirmations that are newsInterval apart or less count as one. The caller
// holds mu.
func (s *Store) announceProgress(now time.Time, changed bool) {
	age, ok := s.reader.Age(now)
	asOf := now.Add(-age)
	if changed || ok && asOf.Sub(s.asOf) > newsInterval {
		s.asOf = asOf
		s.announce()
	}
}

// publish puts the applied records into effect if they changed the configuration.
// The caller holds mu. The first configuration takes effect once it was confirmed
// to be the newest, so that a restarted node doesn't serve with an old one. If
// acceptUnconfirmed is true, it takes effect without that and may be old.
func (s *Store) publish(now time.Time, from Origin, acceptUnconfirmed bool) {
	_, confirmed := s.reader.Age(now)
	offset := s.reader.Offset()
	s.announceProgress(now, offset != s.published)
	s.published = offset
	old := s.current.Load()
	if old == nil && (!confirmed || s.held) && !acceptUnconfirmed {
		return
	}
	if _, known := s.tracker.State(); old == nil && s.needsZones && !known {
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

// HoldFirst keeps the first configuration from taking effect until ReleaseFirst. It must be
// called before the background tasks start.
func (s *Store) HoldFirst() {
	s.held = true
}

// ReleaseFirst lets the first configuration take effect once it is confirmed.
func (s *Store) ReleaseFirst(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
	s.publish(now, FromLog, false)
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
