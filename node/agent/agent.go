package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"dogwoodsill.org/core/chain"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/claims"
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
	platform    logsvc.Log
	metrics     *metric.Set
	burned      *burned
	tree        *super.Tree

	store  *store.Store
	zones  *zones.Zones
	tokens *tokens.Limiter
	claims *claims.Coordinator
	calls  *chain.Table
	target *relay.Target
	caller *relay.Caller
	fleet  *fleet
	links  *links
	peers  *peerServer

	entry *entry.Server
	local *local.Server
	ops   *http.Server
	lns   listeners

	callersTLS *tls.Config  // nil for plain text
	host       *Platform    // nil on a platform that speaks the project's own protocols
	registered atomic.Int64 // instances in the directory of the host

	lines     *lines.Limiter             // of log lines about single requests
	unwritten func() int64               // log lines that the output had no room for; may be nil
	settings  SettingsSource             // nil if they hold for the process
	live      atomic.Pointer[setup.Node] // cfg with the changes that a running node takes over

	stopping atomic.Bool
}

// Option configures an agent.
type Option func(*Agent)

// WithLogger sets the logger. The default discards everything.
func WithLogger(l hclog.Logger) Option {
	return func(a *Agent) { a.log = l }
}

// WithDroppedLogLines sets the source of the number of log lines for which the output
// of the logger had no room.
func WithDroppedLogLines(f func() int64) Option {
	return func(a *Agent) { a.unwritten = f }
}

// WithLog sets the client of the log service in place of the one that the
// settings name.
func WithLog(l logsvc.Log) Option {
	return func(a *Agent) { a.platform = l }
}

// Addrs holds the addresses on which an agent listens.
type Addrs struct {
	Callers, Local, Peers, Operations string
}

type listeners struct {
	callers, local, peers, ops net.Listener
}

// New starts a node. It returns an error if an address can't be listened on.
func New(cfg setup.Node, opts ...Option) (*Agent, error) {
	a := &Agent{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		log:         hclog.NewNullLogger(),
		metrics:     metric.New(),
		store:       store.New(),
		calls:       chain.NewTable(),
		burned:      newBurned(),
		lines:       lines.NewLimiter(cfg.Logging.LinesPerSecond),
	}
	a.live.Store(&cfg)
	for _, opt := range opts {
		opt(a)
	}
	if err := a.loadCallersTLS(); err != nil {
		return nil, err
	}
	if err := a.listen(); err != nil {
		a.lns.close()
		return nil, err
	}
	if a.platform == nil {
		a.platform = logsvc.NewClient(cfg.Log.URL, newLogHTTP(cfg.Log.Timeout.D()))
	}
	if err := a.assemble(); err != nil {
		a.lns.close()
		return nil, err
	}
	a.start()
	return a, nil
}

// newLogHTTP returns the HTTP client for the log service. The time-out covers
// the wait for the header of the answer beyond a long poll.
func newLogHTTP(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout + max(config.MaxReadWait, zones.LongPollTimeout)}
}

func (a *Agent) listen() error {
	for _, l := range []struct {
		addr string
		ln   *net.Listener
	}{
		{a.cfg.Listen.Callers, &a.lns.callers},
		{a.cfg.Listen.Local, &a.lns.local},
		{a.cfg.Listen.Peers, &a.lns.peers},
		{a.cfg.Listen.Operations, &a.lns.ops},
	} {
		ln, err := net.Listen("tcp", l.addr)
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
	auth, err := newAuth(a.cfg.Instance.Name, a.cfg.Peers)
	if err != nil {
		return err
	}
	a.links = newLinks(auth, a.lns.peers.Addr())
	a.fleet = newFleet(a)
	a.zones = zones.New(a.self(), a.platform, a.fleet, a.cfg.Log.Retention.D(), func(err error) {
		a.log.Warn("epochs log unreachable", "error", err)
	})
	a.tokens = tokens.New(a.zones, a.store, a.links, a.metrics, a.limiting()...)
	balancer := relay.NewBalancer(a.fleet, a.cfg.Instance.Zone, a.incarnation, a.balancing()...)
	a.target = relay.NewTarget(a.incarnation, a.store, a.calls, balancer, a.metrics, a.announce, a.targeting()...)
	a.caller = relay.NewCaller(balancer, a.links, a.metrics, relay.WithAttemptLog(a.log, a.lines))
	a.claims, err = claims.New(a.zones, a.store, a.caller, a.fleet, a.platform, a.metrics, func(err error) {
		a.log.Warn("claims log unreachable", "error", err)
	})
	if err != nil {
		return err
	}
	a.peers = newPeerServer(a, auth)
	a.entry = entry.New(a.store, a.entryParts(), a.metrics, a.cfg.Limits, a.entering()...)
	a.local = local.New(a.store, a.calls, a.target, a.caller, a.claims, a.metrics, a.cfg.Limits.HeaderBytes)
	a.ops = opsapi.New(a.Status, a.BurnCounts, a.Metrics)
	return nil
}

// self returns the member that this process is.
func (a *Agent) self() epoch.Member {
	return epoch.Member{Name: a.cfg.Instance.Name, Incarnation: a.incarnation, Address: a.advertised(), Zone: a.cfg.Instance.Zone}
}

// start runs every duty of the node. The tree is:
//
//	node
//	├── listeners: callers, idle callers, local, operations, peers, links
//	├── config: follow, pull, catch up, snapshot
//	├── members: gossip
//	├── epochs: follow, renew, propose
//	├── tokens: watch, sweep
//	├── claims: flush, follow, watch
//	├── target: poll
//	├── log: note, load
//	└── settings: follow
func (a *Agent) start() {
	a.tree = super.New(context.Background(), a.cfg.Instance.Name, super.WithErrorHook(func(duty string, err error) {
		a.log.Error("duty failed", "duty", duty, "error", err)
	}))
	ls := a.tree.Sub("listeners")
	ls.Start("callers", serveHTTP(a.entry.HTTP(), a.callersListener()))
	ls.Start("idle callers", a.entry.CloseIdle)
	ls.Start("local", serveHTTP(a.local.HTTP(), a.lns.local))
	ls.Start("operations", serveHTTP(a.ops, a.lns.ops))
	ls.Start("peers", a.peers.serve(a.lns.peers))
	ls.Start("links", a.links.sweep)
	cs := a.tree.Sub("config")
	cs.Start("pull", a.pullConfig)
	cs.Start("catch up", a.catchUp)
	if a.host == nil {
		a.startOwn(cs)
	} else {
		a.startHosted(cs)
	}
	a.tree.Sub("members").Start("gossip", a.fleet.gossip)
	es := a.tree.Sub("epochs")
	es.Start("follow", a.zones.Follow)
	es.Start("renew", a.zones.RenewLease)
	es.Start("propose", a.zones.Propose)
	ts := a.tree.Sub("tokens")
	ts.Start("watch", a.tokens.SyncShares)
	ts.Start("sweep", a.tokens.MaintainPools)
	a.tree.Sub("target").Start("poll", a.target.PollQueue)
	logs := a.tree.Sub("log")
	logs.Start("note", a.note)
	logs.Start("load", a.logLoad)
	if a.settings != nil {
		a.tree.Sub("settings").Start("follow", a.followSettings)
	}
}

// startOwn starts the duties of a platform that speaks the project's own
// protocols.
func (a *Agent) startOwn(cs *super.Tree) {
	cs.Start("follow", a.store.Follow(a.platform, func() time.Duration { return a.readPlan().Wait() }, a.readsLog, func(err error) {
		a.log.Warn("configuration log unreachable", "error", err)
	}))
	cs.Start("snapshot", a.snapshotConfig)
	ks := a.tree.Sub("claims")
	ks.Start("flush", a.claims.RunAppender)
	ks.Start("follow", a.claims.RunIndexer)
	ks.Start("watch", a.claims.RunMaintenance)
}

// callersListener returns the listener of callers with its connection limit, and
// with TLS if a certificate is configured.
func (a *Agent) callersListener() net.Listener {
	ln := limitConns(a.lns.callers, a.cfg.Limits.ConnectionsPerCaller)
	if a.callersTLS == nil {
		return ln
	}
	return tls.NewListener(ln, a.callersTLS)
}

// loadCallersTLS reads the certificate for callers, if there is one.
func (a *Agent) loadCallersTLS() error {
	files := a.cfg.CallersTLS
	if !files.Set() {
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
		Callers:    a.lns.callers.Addr().String(),
		Local:      a.lns.local.Addr().String(),
		Peers:      a.lns.peers.Addr().String(),
		Operations: a.lns.ops.Addr().String(),
	}
}

// Ready is closed once the node has a configuration.
func (a *Agent) Ready() <-chan struct{} {
	return a.store.Ready()
}

// Shutdown drains the upstream, finishes what is in flight, tells the fleet and
// ends. When ctx ends first, what is left is cut off and its error returned.
func (a *Agent) Shutdown(ctx context.Context) error {
	a.stopping.Store(true)
	a.linger(ctx)
	err := errs.Combine(
		a.target.Drain(ctx),
		a.entry.HTTP().Shutdown(ctx),
		a.local.HTTP().Shutdown(ctx),
		a.claims.Drain(ctx),
	)
	a.fleet.leave(ctx)
	a.close()
	return err
}

// Kill ends the node at once, as a crash would.
func (a *Agent) Kill() {
	a.stopping.Store(true)
	a.close()
}

func (a *Agent) close() {
	_ = a.entry.HTTP().Close()
	_ = a.local.HTTP().Close()
	_ = a.ops.Close()
	a.lns.close()
	a.peers.close()
	a.links.close()
	a.tree.Stop()
	a.target.Close()
}
