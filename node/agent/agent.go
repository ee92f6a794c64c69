package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/core/strict"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/claims"
	"dogwoodsill.org/node/conns"
	"dogwoodsill.org/node/entry"
	"dogwoodsill.org/node/local"
	"dogwoodsill.org/node/opsapi"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/tokens"
	"dogwoodsill.org/node/zones"
)

// Agent is a running node.
type Agent struct {
	cfg         setup.Node
	incarnation uint64
	log         hclog.Logger
	logService  logsvc.Log
	metrics     *metric.Set
	burnCounts  *burnRecorder
	tree        *super.Tree

	store   *store.Store
	zones   *zones.Zones
	tokens  *tokens.Limiter
	claims  *claims.Coordinator
	crashes *crashNews
	calls   *chain.Table
	target  *relay.Target
	caller  *relay.Caller
	fleet   *fleet
	links   *links
	memory  *budget.Pool // of what callers and links occupy
	peers   *peerServer

	entry     *entry.Server
	local     *local.Server
	ops       *http.Server
	listeners listeners

	logHTTP         *http.Client // nil if the log has a client of its own
	callersTLS      *tls.Config  // nil for plain text
	platform        *Platform    // nil for the default protocols
	registeredNodes atomic.Int64 // number of nodes in the platform's directory

	logLimiter      *lines.Limiter             // limits log lines about single requests
	abortLogLimiter *lines.Limiter             // limits those about requests that end without a complete answer
	droppedByOutput func() int64               // number of log lines that the output dropped; may be nil
	settingsSource  SettingsSource             // nil if the settings don't change while the process runs
	effective       atomic.Pointer[setup.Node] // settings in effect: cfg with the reloaded changes

	sources sources   // from where this node gets its state of the log streams
	news    broadcast // wakes the requests of followers

	waitMu       sync.Mutex
	pendingReads map[*pendingRead]struct{}

	readsEvacuations bool // the platform's source tells which zones are evacuated

	stopping atomic.Bool
}

// linkShutdownTimeout is how long a node that shuts down waits for the streams of its links.
const linkShutdownTimeout = 300 * time.Millisecond

// errUnknownNode reports that gossip knows no address of a node.
var errUnknownNode = errs.New("the address of the node is not known")

// Option configures an Agent.
type Option func(*Agent)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l hclog.Logger) Option {
	return func(a *Agent) { a.log = l }
}

// WithDroppedLogLines sets the function that returns the number of log lines that
// the output of the logger dropped because its buffer was full.
func WithDroppedLogLines(f func() int64) Option {
	return func(a *Agent) { a.droppedByOutput = f }
}

// WithLog sets the client of the log service. By default, the agent connects to the
// URL in the settings.
func WithLog(l logsvc.Log) Option {
	return func(a *Agent) { a.logService = l }
}

// Addrs holds the addresses on which an agent listens.
type Addrs struct {
	Callers, Local, Peers, Operations string
}

type listeners struct {
	callers, local, peers, ops net.Listener
}

// New starts a node. It returns an error if the node can't listen on one of its
// addresses, read its certificates or create a component.
func New(cfg setup.Node, opts ...Option) (*Agent, error) {
	a := &Agent{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		log:         hclog.NewNullLogger(),
		metrics:     metric.New(),
		store:       store.New(),
		calls:       chain.NewTable(),
		burnCounts:  newBurnRecorder(),
		memory:      newMemoryPool(cfg.Limits),
		logLimiter:  lines.NewLimiter(cfg.Logging.LinesPerSecond),
		sources:     sources{Sources: config.NewSources(cfg.Instance.Name)},

		abortLogLimiter: lines.NewLimiter(cfg.Logging.LinesPerSecond),
		pendingReads:    map[*pendingRead]struct{}{},
	}
	a.effective.Store(&cfg)
	for _, opt := range opts {
		opt(a)
	}
	if err := a.loadCallersTLS(); err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		a.listeners.close()
		return nil, err
	}
	if a.logService == nil {
		a.logHTTP = newLogHTTPClient(cfg.Log.Timeout.D())
		a.logService = logsvc.NewClient(cfg.Log.URL, a.logHTTP)
	}
	if err := a.assemble(); err != nil {
		a.listeners.close()
		return nil, err
	}
	a.start()
	return a, nil
}

// newLogHTTPClient returns the HTTP client for the log service. Its timeout is the
// given one in addition to the duration of the longest poll.
func newLogHTTPClient(timeout time.Duration) *http.Client {
	client := strict.NewClient()
	client.Timeout = timeout + max(config.MaxReadWait, zones.LongPollTimeout)
	return client
}

func (a *Agent) listen() error {
	plain := func(_ context.Context, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	for _, l := range []struct {
		addr   string
		listen func(ctx context.Context, addr string) (net.Listener, error)
		ln     *net.Listener
	}{
		{a.cfg.Listen.Callers, conns.Listen, &a.listeners.callers},
		{a.cfg.Listen.Local, plain, &a.listeners.local},
		{a.cfg.Listen.Peers, plain, &a.listeners.peers},
		{a.cfg.Listen.Operations, conns.Listen, &a.listeners.ops},
	} {
		ln, err := l.listen(context.Background(), l.addr)
		if err != nil {
			return errs.Wrap(err)
		}
		*l.ln = ln
	}
	return nil
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.callers, l.local, l.peers, l.ops} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

func (a *Agent) assemble() error {
	auth, err := newAuth(a.cfg.Instance.Name, a.cfg.Peers, frame.WithOnPanic(a.onPanic), frame.WithMemory(a.linkMemory(time.Now())))
	if err != nil {
		return err
	}
	a.links = newLinks(auth, a.listeners.peers.Addr())
	a.fleet = newFleet(a)
	a.zones = zones.New(a.selfMember(), a.logService, a.fleet, a.cfg.Log.Retention.D(), func(err error) {
		a.log.Warn("epochs log unreachable", "error", err)
	})
	a.tokens = tokens.New(a.zones, a.store, a.links, a.metrics, append(a.tokenOptions(), tokens.WithErrorHook(a.onPanic))...)
	a.crashes = newCrashNews(a)
	balancer := relay.NewBalancer(a.fleet, a.cfg.Instance.Zone, a.incarnation, a.balancerOptions()...)
	a.target = relay.NewTarget(a.incarnation, a.store, a.calls, balancer, a.metrics, a.announceNow, a.targetOptions()...)
	a.caller = relay.NewCaller(balancer, a.links, a.metrics, relay.WithAttemptLog(a.log, a.logLimiter), relay.WithCrashRecords(a.crashes.Registry))
	a.claims, err = claims.New(a.zones, a.store, a.caller, a.fleet, a.logService, a.metrics, func(err error) {
		a.log.Warn("claims log unreachable", "error", err)
	})
	if err != nil {
		return err
	}
	a.peers = newPeerServer(a, auth)
	a.entry = entry.New(a.store, a.entryDependencies(), a.metrics, a.cfg.Limits, a.entryOptions()...)
	a.local = local.New(a.store, a.calls, a.target, a.caller, a.claims, a.metrics, a.cfg.Limits.HeaderBytes, local.WithLogger(a.log), local.WithPool(a.memory))
	a.ops = opsapi.New(a)
	return nil
}

// selfMember returns this node process as a member of its zone.
func (a *Agent) selfMember() epoch.Member {
	return epoch.Member{Name: a.cfg.Instance.Name, Incarnation: a.incarnation, Address: a.advertisedAddr(), Zone: a.cfg.Instance.Zone}
}

// start starts all background tasks of the node. With the default protocols, the
// supervisor tree is:
//
//	node
//	├── listeners: callers, idle callers, local, operations, peers, links
//	├── config: read, follow, pull, catch up, snapshot
//	├── members: gossip
//	├── epochs: follow, renew, propose
//	├── tokens: watch, sweep, collect
//	├── claims: flush, follow, watch
//	├── target: poll
//	├── evacuation: watch (with a platform's protocols)
//	├── crashes: spread, sync
//	├── log: note, load, memory
//	└── settings: follow
func (a *Agent) start() {
	a.tree = super.New(context.Background(), a.cfg.Instance.Name, super.WithErrorHook(a.onTaskError))
	a.store.OnNews(a.news.signal)
	a.watchEvacuations()
	a.store.OnChange(a.checkWait)
	a.zones.OnNews(a.news.signal)
	ls := a.tree.NewSubtree("listeners")
	ls.Start("callers", serveHTTP(a.entry, a.callersListener()))
	ls.Start("idle callers", a.entry.CloseIdle)
	ls.Start("local", serveHTTP(a.local, a.listeners.local))
	ls.Start("operations", serveHTTP(conns.LimitControl(a.ops), conns.Bound(a.listeners.ops, conns.MaxControlConns, a.log)))
	ls.Start("peers", a.peers.serve(a.listeners.peers))
	ls.Start("links", a.links.closeIdle)
	cs := a.tree.NewSubtree("config")
	cs.Start("follow", a.followSources)
	cs.Start("pull", a.pullConfig)
	cs.Start("catch up", a.catchUp)
	if a.platform == nil {
		a.startDefault(cs)
	} else {
		a.startPlatform(cs)
	}
	a.tree.NewSubtree("members").Start("gossip", a.fleet.gossip)
	es := a.tree.NewSubtree("epochs")
	es.Start("follow", a.zones.Follow(a.readsEpochs))
	es.Start("renew", a.zones.RenewLease)
	es.Start("propose", a.zones.Propose)
	ts := a.tree.NewSubtree("tokens")
	ts.Start("watch", a.tokens.SyncShares)
	ts.Start("sweep", a.tokens.MaintainPools)
	ts.Start("collect", a.tokens.CollectCapacity)
	a.tree.NewSubtree("target").Start("poll", a.target.PollQueue)
	if a.platform != nil {
		a.tree.NewSubtree("evacuation").Start("watch", a.target.WatchSuspension)
	}
	rs := a.tree.NewSubtree("crashes")
	rs.Start("spread", a.crashes.spread)
	rs.Start("sync", a.crashes.sync)
	logs := a.tree.NewSubtree("log")
	logs.Start("note", a.logChanges)
	logs.Start("load", a.logLoad)
	logs.Start("memory", a.logMemory)
	if a.settingsSource != nil {
		a.tree.NewSubtree("settings").Start("follow", a.followSettings)
	}
}

// onTaskError logs the error that ended a background task.
func (a *Agent) onTaskError(task string, err error) {
	a.log.Error("background task failed", "duty", task, "error", err)
}

// onPanic logs the panic of a goroutine.
func (a *Agent) onPanic(err error) {
	a.log.Error("a goroutine panicked", "error", err)
}

// startDefault starts the background tasks that only the default protocols need.
func (a *Agent) startDefault(cs *super.Tree) {
	cs.Start("read", a.readConfig(func(ctx context.Context, wait time.Duration) error {
		return a.store.ReadLog(ctx, a.logService, wait)
	}))
	cs.Start("snapshot", a.appendSnapshots)
	ks := a.tree.NewSubtree("claims")
	ks.Start("flush", a.claims.RunAppender)
	ks.Start("follow", a.claims.RunIndexer)
	ks.Start("watch", a.claims.RunMaintenance)
}

// callersListener returns the listener for callers with its connection limit, and
// with TLS if a certificate is configured.
func (a *Agent) callersListener() net.Listener {
	ln := a.entry.Wrap(limitConns(a.listeners.callers, a.cfg.Limits.ConnectionsPerCaller))
	if a.callersTLS == nil {
		return ln
	}
	return tls.NewListener(ln, a.callersTLS)
}

// loadCallersTLS reads the certificate for callers, if there is one.
func (a *Agent) loadCallersTLS() error {
	files := a.cfg.CallersTLS
	if !files.Configured() {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return errs.Wrap(err)
	}
	a.callersTLS = &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"h2", "http/1.1"},
	}
	return nil
}

// Addrs returns the addresses on which the agent listens.
func (a *Agent) Addrs() Addrs {
	return Addrs{
		Callers:    a.listeners.callers.Addr().String(),
		Local:      a.listeners.local.Addr().String(),
		Peers:      a.listeners.peers.Addr().String(),
		Operations: a.listeners.ops.Addr().String(),
	}
}

// Ready returns a channel that is closed once the node has a configuration.
func (a *Agent) Ready() <-chan struct{} {
	return a.store.Ready()
}

// Shutdown stops the node gracefully. On a platform, it first lingers. Then it
// drains the upstream, waits for the requests in flight, announces to the other
// nodes that it leaves and stops. If ctx ends first, it aborts the remaining
// requests and returns the error of ctx.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	a.news.signal() // ends the requests of followers
	defer a.endRequestsBefore(ctx, time.Now())()
	a.tokens.Release(ctx)
	a.linger(ctx)
	err := errs.Combine(
		a.target.Drain(ctx),
		a.entry.Shutdown(ctx),
		a.local.Shutdown(ctx),
		a.claims.Drain(ctx),
	)
	a.fleet.leave(ctx)
	linksCtx, cancel := context.WithTimeout(ctx, linkShutdownTimeout)
	defer cancel()
	a.peers.shutdown(linksCtx)
	a.close()
	return err
}

const (
	// answerTime is the time before the end of a shutdown at which the requests that are still
	// running are ended, so that their callers get an answer.
	answerTime = 200 * time.Millisecond
	// answerTimeDivisor limits answerTime to a small part of the shutdown.
	answerTimeDivisor = 20
)

// endRequestsBefore makes the node refuse the requests that can't end before ctx does, and ends
// those that are still running shortly before that. The returned function cancels the latter.
func (a *Agent) endRequestsBefore(ctx context.Context, now time.Time) (cancel func()) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	end := deadline.Add(-min(answerTime, deadline.Sub(now)/answerTimeDivisor))
	a.target.EndBy(now, end)
	a.entry.EndBy(now, end)
	a.local.EndBy(now, end)
	timer := time.AfterFunc(end.Sub(now), func() {
		a.log.Warn("the requests that are still running are ended", "timeout", deadline.Sub(now))
		a.entry.EndRequests()
		a.local.EndCalls()
		a.target.EndCalls()
	})
	return func() { timer.Stop() }
}

// Kill stops the node at once, as a crash would.
func (a *Agent) Kill() {
	a.stopping.Store(true)
	a.close()
}

func (a *Agent) close() {
	_ = a.entry.HTTP().Close()
	_ = a.local.HTTP().Close()
	_ = a.ops.Close()
	a.listeners.close()
	a.peers.close()
	a.links.close()
	a.tree.Stop()
	a.target.Close()
	if a.logHTTP != nil {
		a.logHTTP.CloseIdleConnections()
	}
}
