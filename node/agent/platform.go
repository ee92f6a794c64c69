package agent

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/entry"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/tokens"
)

// Platform connects a node to a platform with its own protocols, in place of the
// default protocols. All fields are required. Idempotency keys are not supported
// there, so the node holds no claims.
type Platform struct {
	Log              logsvc.Log
	ConfigSource     store.Source
	Directory        Directory
	CallerProtocol   entry.Protocol
	UpstreamProtocol relay.Protocol
}

// Directory is the service through which the nodes of a fleet discover each other.
type Directory interface {
	// Register registers the peer address of an instance. It replaces an earlier
	// address of the same instance. It returns the era of the log in which the
	// address was stored, see logsvc.Batch.
	Register(ctx context.Context, instance, addr string) (era uint64, err error)
	// Peers returns the addresses of all registered instances.
	Peers(ctx context.Context) ([]string, error)
}

// WithPlatform runs the node on a platform with its own protocols.
func WithPlatform(p Platform) Option {
	return func(a *Agent) { a.platform, a.logService = &p, p.Log }
}

const (
	// directoryMinWait is the delay before the registration or a read of the directory is
	// tried again, and before the first check whether this node knows the others. It
	// grows by the factor directoryGrowth up to directoryMaxWait.
	directoryMinWait = 500 * time.Millisecond
	directoryGrowth  = 4
	directoryMaxWait = 30 * time.Second
	directoryTimeout = 2 * time.Second // timeout of one request

	// firstConfigWait is how long a node that starts waits for a peer after it has read the
	// configuration. A peer responds within a few gossip intervals, if there is any.
	firstConfigWait     = time.Second
	firstConfigInterval = 20 * time.Millisecond // between two checks

	eraCheckInterval = 250 * time.Millisecond // between two checks of the era of the log
	// In a new era the nodes of a fleet register again one registrationInterval apart on
	// average, over minRegistrationSpread at least, since the store bounds its writes.
	registrationInterval  = 10 * time.Millisecond
	minRegistrationSpread = time.Second

	// When a node shuts down on a platform, it first lingers: it continues to
	// serve until the platform has noticed. refuseLead before the end of that
	// time it starts to refuse calls to its local upstream, so that other nodes
	// learn by gossip to choose other targets. The upstream itself keeps running
	// while its node restarts.
	refuseLead = 300 * time.Millisecond

	// lingerDivisor limits lingering: a node lingers for at most 1/lingerDivisor
	// of the shutdown timeout. The rest is for the calls in flight.
	lingerDivisor = 2

	// retryFraction is the fraction of the fleet's retry limit that nodes use at
	// each level of a call chain. Child calls of a retried call count as well, so
	// the fraction is about one third: the retries at three levels together then
	// come to about the limit.
	retryFraction = 0.35
)

// startPlatform starts the background tasks that only a platform with its own
// protocols needs.
func (a *Agent) startPlatform(cs *super.Tree) {
	a.store.HoldFirst()
	cs.Start("first", a.releaseFirstConfig)
	cs.Start("read", a.readConfig(func(ctx context.Context, wait time.Duration) error {
		return a.store.ReadSource(ctx, a.platform.ConfigSource, wait)
	}))
	a.tree.NewSubtree("directory").Start("meet", a.discover)
}

// releaseFirstConfig is the background task that lets the first configuration take effect when
// a peer knows no newer one. A store that has come back from a copy may hold an older one
// than the fleet, with keys that were revoked since.
func (a *Agent) releaseFirstConfig(ctx context.Context) error {
	var read time.Time // when the configuration was read, or the zero time
	for ctx.Err() == nil && a.store.Current() == nil {
		now := time.Now()
		if read.IsZero() && a.store.Offset() > 0 {
			read = now
		}
		alone := a.registeredNodes.Load() == 1
		if !read.IsZero() && (alone || a.fleet.knowsNewestConfig() || now.Sub(read) >= firstConfigWait) {
			a.store.ReleaseFirst(boot.Now())
			return nil
		}
		super.Pause(ctx, firstConfigInterval)
	}
	return nil
}

// discover is the background task that registers the node in the directory and reads the
// addresses of other nodes from it. Of two nodes, the one that reads later than it
// registered finds the other, so one read after the registration suffices; gossip
// reports all others. The directory is read again while gossip knows less than half of
// the nodes that were registered. A directory that comes back from a copy may lack the
// registration, so the node repeats it.
func (a *Agent) discover(ctx context.Context) error {
	registered, complete, wait := false, false, directoryMinWait
	var era uint64 // of the registration
	for ctx.Err() == nil {
		before := registered && era >= a.zones.Era()
		registered = before
		if !registered {
			era, registered = a.register(ctx)
		}
		if !complete || a.fleet.Size() < a.knownNodes()/2 {
			complete = a.readDirectory(ctx) && registered
		}
		if before {
			wait = min(directoryGrowth*wait, directoryMaxWait)
		}
		if !registered {
			super.Pause(ctx, wait)
			continue
		}
		a.pauseInEra(ctx, wait, era)
	}
	return nil
}

// pauseInEra pauses for the given time, or until the era of the log is a later one. Nodes that
// learn of that at the same time then continue at different times.
func (a *Agent) pauseInEra(ctx context.Context, d time.Duration, era uint64) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if a.zones.Era() > era {
			spread := time.Duration(a.knownNodes()) * registrationInterval
			super.Pause(ctx, rand.N(max(minRegistrationSpread, spread)))
			return
		}
		if !super.Pause(ctx, min(eraCheckInterval, time.Until(end))) {
			return
		}
	}
}

func (a *Agent) register(ctx context.Context) (era uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	era, err := a.platform.Directory.Register(ctx, a.cfg.Instance.Name, a.advertisedAddr())
	if err != nil {
		a.log.Warn("registering the node failed", "error", err)
	}
	return era, err == nil
}

func (a *Agent) readDirectory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	peers, err := a.platform.Directory.Peers(ctx)
	if err != nil {
		a.log.Warn("node directory unreachable", "error", err)
		return false
	}
	peers = slices.DeleteFunc(peers, func(addr string) bool {
		odd := !member.Dialable(addr)
		if odd {
			a.log.Warn("directory entry passed over: not an address", "entry", fmt.Sprintf("%.100q", addr))
		}
		return odd
	})
	a.registeredNodes.Store(int64(len(peers)))
	a.fleet.setSeeds(peers)
	return true
}

// linger continues to serve while the platform learns that the node is about to
// shut down.
func (a *Agent) linger(ctx context.Context) {
	if a.platform == nil {
		return
	}
	a.entry.StopKeepAlives()
	times := a.ShutdownTimes()
	super.Pause(ctx, min(times.Linger.D(), times.Timeout.D()/lingerDivisor)-refuseLead)
	a.target.RefuseNewCalls()
	super.Pause(ctx, refuseLead)
}

// retryLimits returns the limits of this node's retries for one service: its
// fraction of the fleet's limits, or the defaults if the settings have no limits.
func (a *Agent) retryLimits() (ratio float64, minimum int) {
	bounds := a.effective.Load().Bounds
	if bounds.RetryRatio == 0 {
		return retry.DefaultRatio, retry.DefaultMinRetries
	}
	n := max(1, a.fleet.Size())
	return bounds.RetryRatio * retryFraction, max(1, int(math.Round(bounds.RetrySlack*retryFraction/float64(n))))
}

func (a *Agent) tokenOptions() []tokens.Option {
	if a.platform == nil {
		return nil
	}
	return []tokens.Option{tokens.WithGracePeriod(time.Now(), a.knownNodes)}
}

// knownNodes returns the number of nodes in the directory or in the gossip state,
// whichever is larger, or 0 before the directory was read.
func (a *Agent) knownNodes() int {
	n := int(a.registeredNodes.Load())
	if n == 0 {
		return 0
	}
	return max(n, a.fleet.Size())
}

func (a *Agent) balancerOptions() []relay.BalancerOption {
	if a.platform == nil {
		return nil
	}
	return []relay.BalancerOption{relay.WithRetryLimits(a.retryLimits), relay.WithColdLimit(a.limitsCold)}
}

// limitsCold reports whether calls to cold upstreams of a service are limited.
func (a *Agent) limitsCold(service string) bool {
	cur := a.store.Current()
	return cur != nil && cur.View.Services[service].ColdPerSecond > 0
}

func (a *Agent) targetOptions() []relay.TargetOption {
	opts := []relay.TargetOption{relay.WithCrashes(a.crashes.Registry, a.cfg.Instance.Name, a.log)}
	opts = append(opts, relay.WithLearnedCapacity(func() bool { return a.effective.Load().Limits.LearnCapacity != setup.LearnOff }))
	if a.platform == nil {
		return opts
	}
	opts = append(opts, relay.WithProtocol(a.platform.UpstreamProtocol), relay.WithZone(a.cfg.Instance.Zone))
	if a.cfg.Bounds.EvacuateWithin > 0 {
		opts = append(opts, relay.WithZoneConfirmation())
	}
	return opts
}

func (a *Agent) entryOptions() []entry.Option {
	opts := []entry.Option{entry.WithLogger(a.log, a.logLimiter, a.abortLogLimiter), entry.WithPool(a.memory)}
	if a.platform == nil {
		return opts
	}
	return append(opts, entry.WithProtocol(a.platform.CallerProtocol), entry.WithOrigin(a.cfg.Upstream.Service), entry.WithParents(a.calls))
}

// entryDependencies returns the components that the entry uses to serve requests.
// The entry is the part of a node that accepts the requests of callers.
func (a *Agent) entryDependencies() entry.Dependencies {
	p := entry.Dependencies{Sender: a.caller, Ranker: a.caller, Limiter: a.tokens, Counter: a.burnCounts}
	if a.platform == nil {
		p.Claimer = a.claims
	}
	return p
}

// Announce sets the local upstream.
func (a *Agent) Announce(u relay.Upstream, now time.Time) {
	a.target.Announce(u, now)
}

// Withdraw removes the local upstream.
func (a *Agent) Withdraw() {
	a.target.Withdraw()
}

// Restore sets the local upstream after a withdrawal that was about an earlier process.
func (a *Agent) Restore(u relay.Upstream, now time.Time) {
	a.target.Restore(u, now)
}

// Dispatched returns the number of calls that were sent to the local upstream.
func (a *Agent) Dispatched() uint64 {
	return a.target.Dispatched()
}

// ReportCold applies what the upstream answered to a health check; see relay.Target.
func (a *Agent) ReportCold(id string, remaining time.Duration, sent, now time.Time) {
	a.target.ReportCold(id, remaining, sent, now)
}

// Serving reports whether the node has a configuration and is not shutting down.
func (a *Agent) Serving() bool {
	return a.store.Current() != nil && !a.stopping.Load()
}
