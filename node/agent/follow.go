package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

const (
	// roleInterval is the time between two checks of this node's role.
	roleInterval = 250 * time.Millisecond
	// followWait is how long a node holds the request of a follower for which it has no
	// news.
	followWait = 2 * time.Second
	// followTimeout is the time in which the reply to a request must arrive. A source that
	// takes longer counts as failed.
	followTimeout = followWait + 500*time.Millisecond
	// followPause is the pause after a failed request to a source.
	followPause = time.Second
)

// followRequest asks a node for its state of the log streams. The node holds the request
// until it has news for the follower.
type followRequest struct {
	From   uint64         `msgpack:"from"` // offset of the follower's configuration
	Seen   uint64         `msgpack:"seen"` // number of the last news that the follower received from this process
	Epochs zones.Position `msgpack:"epochs"`
}

// followReply is the reply to a followRequest.
type followReply struct {
	Records store.RecordsReply `msgpack:"records"`
	Epochs  zones.Update       `msgpack:"epochs"`
	Seen    uint64             `msgpack:"seen"`
	Failing bool               `msgpack:"failing"` // the node's own reads fail
	HeldUS  int64              `msgpack:"heldUs"`  // microseconds for which the request was held
}

// broadcast wakes all who wait for news.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed by the next signal.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// sources are the decisions of config.Sources, for concurrent use.
type sources struct {
	mu sync.Mutex
	*config.Sources
}

func (s *sources) do(f func(*config.Sources)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.Sources)
}

// role returns what this node does to keep its state of the log streams up to date.
func (a *Agent) role() config.Role {
	order := a.readOrder()
	var role config.Role
	a.sources.do(func(s *config.Sources) { role = s.Role(order, time.Now()) })
	return role
}

// readsLog reports whether this node reads the log: as one of the readers of its zone, or
// because its configuration is too old.
func (a *Agent) readsLog() bool {
	return a.role().Read || a.store.StateAge(boot.Now()) > a.staleAfter()
}

// readsEpochs reports whether this node reads the epochs from the log. While its reads of
// the configuration fail, these find out when the log is back.
func (a *Agent) readsEpochs() bool {
	_, failing := a.store.News()
	return !failing && a.readsLog()
}

// readOrder returns the names of the alive nodes of this zone in the order in which they
// become readers of the log.
func (a *Agent) readOrder() []string {
	alive := a.fleet.alive(a.cfg.Instance.Zone)
	members := make([]epoch.Member, 0, len(alive))
	for _, name := range alive {
		members = append(members, epoch.Member{Name: name})
	}
	names := make([]string, 0, len(members))
	for _, m := range epoch.TopRanked(members, "log readers", len(members)) {
		names = append(names, m.Name)
	}
	return names
}

// readConfig returns the background task that reads the configuration while this node is
// a reader. read reads once and waits at most the given time for a change.
func (a *Agent) readConfig(read func(ctx context.Context, wait time.Duration) error) super.Task {
	return func(ctx context.Context) error {
		for ctx.Err() == nil {
			if pause := a.pauseBeforeRead(time.Now()); pause > 0 {
				super.Pause(ctx, pause)
				continue
			}
			a.readConfigOnce(ctx, read)
		}
		return nil
	}
}

// pauseBeforeRead returns how long to wait until the next check whether to read, 0 to read
// now.
func (a *Agent) pauseBeforeRead(now time.Time) time.Duration {
	if !a.readsLog() {
		return roleInterval
	}
	var next time.Time
	a.sources.do(func(s *config.Sources) { next = s.NextRead() })
	return min(next.Sub(now), roleInterval)
}

// readConfigOnce reads the configuration and records the result. The read ends early if a
// change of the configuration lowers the permitted age, since it may then wait too long.
func (a *Agent) readConfigOnce(ctx context.Context, read func(ctx context.Context, wait time.Duration) error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan := a.readPlan()
	stop := a.onShorterWait(plan.ReadWait(), cancel)
	defer stop()
	first := a.role().First
	err := read(ctx, plan.NextWait(a.store.StateAge(boot.Now())))
	if ctx.Err() != nil {
		return
	}
	a.sources.do(func(s *config.Sources) { s.ReadDone(err == nil, first, time.Now()) })
	a.store.SetFailing(err != nil)
	if err != nil {
		a.log.Warn("reading the configuration failed", "error", err)
	}
}

// pendingRead is a read of the configuration that was sent.
type pendingRead struct {
	wait   time.Duration // wait of the plan when the read was sent
	cancel func()
}

// onShorterWait calls f once the plan asks for a shorter wait. The returned function ends
// that.
func (a *Agent) onShorterWait(wait time.Duration, f func()) (stop func()) {
	r := &pendingRead{wait: wait, cancel: f}
	a.waitMu.Lock()
	defer a.waitMu.Unlock()
	a.pendingReads[r] = struct{}{}
	return func() {
		a.waitMu.Lock()
		defer a.waitMu.Unlock()
		delete(a.pendingReads, r)
	}
}

// checkWait ends the pending read if the configuration in effect asks for a shorter wait.
func (a *Agent) checkWait(*store.Config) {
	wait := a.readPlan().ReadWait()
	a.waitMu.Lock()
	defer a.waitMu.Unlock()
	for r := range a.pendingReads {
		if wait < r.wait {
			r.cancel()
		}
	}
}

// followSources is the background task that follows the readers of the zone, each in a
// goroutine of its own, so that one that doesn't respond delays nothing.
func (a *Agent) followSources(ctx context.Context) error {
	following := map[string]context.CancelFunc{}
	ended := make(chan string)
	for {
		names := a.role().Follow
		for name, cancel := range following {
			if !slices.Contains(names, name) {
				cancel()
			}
		}
		for _, name := range names {
			if following[name] == nil {
				fctx, cancel := context.WithCancel(ctx)
				following[name] = cancel
				a.goFollow(fctx, name, func() {
					cancel()
					select {
					case ended <- name:
					case <-ctx.Done():
					}
				})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case name := <-ended:
			delete(following, name)
		case <-time.After(roleInterval):
		}
	}
}

// goFollow follows a source in the background and then calls done.
func (a *Agent) goFollow(ctx context.Context, name string, done func()) {
	super.Go("follow "+name, a.onPanic, func() {
		defer done()
		a.follow(ctx, name)
	})
}

// follow requests the state of a source until ctx ends.
func (a *Agent) follow(ctx context.Context, name string) {
	var seen uint64
	for ctx.Err() == nil {
		reply, err := a.requestState(ctx, name, seen)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err != nil {
			a.log.Debug("source of the configuration failed", "source", name, "error", err)
			a.sources.do(func(s *config.Sources) { s.SourceFailed(name, now) })
			seen = 0
			super.Pause(ctx, followPause)
			continue
		}
		if reply.Failing && reply.Seen == seen {
			super.Pause(ctx, followPause) // a node that shuts down replies at once
		}
		seen = reply.Seen
		age := time.Duration(reply.Records.AgeUS) * time.Microsecond
		a.sources.do(func(s *config.Sources) {
			known := reply.Records.AgeKnown || reply.Records.Empty
			if reply.Failing || !known || age > a.readPlan().MaxReaderAge() {
				s.SourceFailed(name, now)
			} else {
				s.SourceWorks(name)
			}
		})
	}
}

// requestState sends one request to a source and applies the reply.
func (a *Agent) requestState(ctx context.Context, name string, seen uint64) (followReply, error) {
	addr, ok := a.fleet.addr(name)
	if !ok {
		return followReply{}, errUnknownNode
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	sent := boot.Now()
	req := followRequest{From: a.store.Offset(), Seen: seen, Epochs: a.zones.Position()}
	reply, err := callPeer[followRequest, followReply](ctx, a.links, addr, relay.KindFollow, req)
	if err != nil {
		return reply, err
	}
	now := boot.Now()
	held := min(max(time.Duration(reply.HeldUS)*time.Microsecond, 0), now.Sub(sent))
	a.store.ApplyPeerReply(reply.Records, false, sent.Add(held), now)
	a.zones.ApplyUpdate(reply.Epochs, time.Now())
	return reply, nil
}

// serveFollow handles the request of a follower: it replies as soon as there is news.
func (a *Agent) serveFollow(ctx context.Context, req followRequest) (followReply, error) {
	received := boot.Now()
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	for expired := false; ; {
		news := a.news.next()
		reply, ok := a.followReply(req, received)
		if stopping := a.stopping.Load(); ok || expired || stopping {
			reply.Failing = reply.Failing || stopping // followers need another source
			return reply, nil
		}
		select {
		case <-news:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return followReply{}, ctx.Err()
		}
	}
}

// followReply returns the reply to a follower, and whether there is news in it.
func (a *Agent) followReply(req followRequest, received time.Time) (followReply, bool) {
	var reply followReply
	var newEpochs bool
	reply.Seen, reply.Failing = a.store.News()
	reply.Epochs, newEpochs = a.zones.Update(req.Epochs)
	now := boot.Now()
	reply.HeldUS = now.Sub(received).Microseconds()
	reply.Records = a.store.Records(store.RecordsRequest{From: req.From}, now)
	return reply, reply.Seen != req.Seen || newEpochs || reply.Records.End > req.From
}
