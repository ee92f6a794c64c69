package agent

import (
	"context"
	"math"
	"time"

	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/entry"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/tokens"
)

// Platform connects a node to a platform with protocols of its own. Every field is
// needed. Idempotency keys are not offered there, so that no claims are kept.
type Platform struct {
	Log              logsvc.Log
	ConfigSource     store.Source
	Directory        Directory
	CallerProtocol   entry.Protocol
	UpstreamProtocol relay.Protocol
}

// Directory is where the nodes of a fleet find each other.
type Directory interface {
	// Register makes the peer address of an instance known. It replaces an earlier
	// one of the same instance.
	Register(ctx context.Context, instance, addr string) error
	// Peers returns the addresses of all registered instances.
	Peers(ctx context.Context) ([]string, error)
}

// WithPlatform runs the node on a platform with protocols of its own.
func WithPlatform(h Platform) Option {
	return func(a *Agent) { a.host, a.platform = &h, h.Log }
}

const (
	// directoryFirst is the time to the second look at the directory, which grows by
	// directoryGrowth from look to look up to directoryMax. Nodes that start together see each other
	// within the first few looks, and gossip knows all later ones.
	directoryFirst  = 500 * time.Millisecond
	directoryGrowth = 4
	directoryMax    = 30 * time.Second
	directoryTime   = 2 * time.Second // for one exchange

	// refuseBefore is the time before the end of lingering from which calls to the
	// local upstream are refused, which stays up while its node restarts. Other nodes
	// learn of it by gossip within that time.
	refuseBefore = 300 * time.Millisecond

	// lingerPart is the part of a shutdown, one in lingerPart, that lingering may
	// take at most. The rest is for the calls in flight.
	lingerPart = 2

	// retryPart is the part of the fleet's bound on retries that nodes use at each
	// level of a chain. Calls made by repeated calls count too, so that three levels
	// of repeats together stay within the bound.
	retryPart = 0.35
)

// startHosted starts the duties of a platform with protocols of its own.
func (a *Agent) startHosted(cs *super.Tree) {
	cs.Start("watch", a.store.Watch(a.host.ConfigSource, a.readPlan().Wait(), a.readsLog, func(err error) {
		a.log.Warn("configuration store unreachable", "error", err)
	}))
	a.tree.Sub("directory").Start("meet", a.meet)
}

// meet is the duty that registers the node and looks for others.
func (a *Agent) meet(ctx context.Context) error {
	registered, wait := false, directoryFirst
	for ctx.Err() == nil {
		if !registered {
			registered = a.register(ctx)
		}
		if a.look(ctx) && registered {
			wait = min(directoryGrowth*wait, directoryMax)
		}
		super.Pause(ctx, wait)
	}
	return nil
}

func (a *Agent) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTime)
	defer cancel()
	err := a.host.Directory.Register(ctx, a.cfg.Instance.Name, a.advertised())
	if err != nil {
		a.log.Warn("node not registered", "error", err)
	}
	return err == nil
}

func (a *Agent) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, directoryTime)
	defer cancel()
	peers, err := a.host.Directory.Peers(ctx)
	if err != nil {
		a.log.Warn("directory of nodes unreachable", "error", err)
		return false
	}
	a.registered.Store(int64(len(peers)))
	a.fleet.join(peers)
	return true
}

// linger serves on while the platform learns that the node is about to end.
func (a *Agent) linger(ctx context.Context) {
	if a.host == nil {
		return
	}
	a.entry.HTTP().SetKeepAlivesEnabled(false)
	times := a.ShutdownTimes()
	super.Pause(ctx, min(times.Linger.D(), times.Timeout.D()/lingerPart)-refuseBefore)
	a.target.RefuseNewCalls()
	super.Pause(ctx, refuseBefore)
}

// retries returns the limits of this node's retries to one service: its part of
// what the fleet may do, or the defaults where the platform sets no bound.
func (a *Agent) retries() (ratio float64, minimum int) {
	b := a.live.Load().Bounds
	if b.RetryRatio == 0 {
		return retry.DefaultRatio, retry.DefaultMinRetries
	}
	n := max(1, a.fleet.Size())
	return b.RetryRatio * retryPart, max(1, int(math.Round(b.RetrySlack*retryPart/float64(n))))
}

func (a *Agent) limiting() []tokens.Option {
	if a.host == nil {
		return nil
	}
	return []tokens.Option{tokens.WithGracePeriod(time.Now(), a.nodes)}
}

// nodes returns the number of nodes that the directory or gossip knows, whichever
// is more; 0 before the directory was read.
func (a *Agent) nodes() int {
	n := int(a.registered.Load())
	if n == 0 {
		return 0
	}
	return max(n, a.fleet.Size())
}

func (a *Agent) balancing() []relay.BalancerOption {
	if a.host == nil {
		return nil
	}
	return []relay.BalancerOption{relay.WithRetryLimits(a.retries)}
}

func (a *Agent) targeting() []relay.TargetOption {
	if a.host == nil {
		return nil
	}
	return []relay.TargetOption{relay.WithProtocol(a.host.UpstreamProtocol)}
}

func (a *Agent) entering() []entry.Option {
	opts := []entry.Option{entry.WithLogger(a.log, a.lines)}
	if a.host == nil {
		return opts
	}
	return append(opts, entry.WithProtocol(a.host.CallerProtocol), entry.WithOrigin(a.cfg.Upstream.Service), entry.WithParents(a.calls))
}

// entryParts returns what the entry passes admitted requests to.
func (a *Agent) entryParts() entry.Dependencies {
	p := entry.Dependencies{Sender: a.caller, Ranker: a.caller, Limiter: a.tokens, Counter: a.burned}
	if a.host == nil {
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

// Serving reports whether the node has a configuration and isn't about to end.
func (a *Agent) Serving() bool {
	return a.store.Current() != nil && !a.stopping.Load()
}
