package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/report"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/node/agent"
	"dogwoodsill.org/node/entry"
	"dogwoodsill.org/node/tokens"
)

// Secret is the fleet secret that all deployments of this package use.
const Secret = "a secret for tests and demos only"

// Running is a deployment started by Start.
type Running struct {
	Site      Site
	Log       *fakes.Log
	LogWires  map[string]*fakes.Wire // by zone: network between the zone and the log service
	Client    *logsvc.Client
	Nodes     []*Node
	Keys      map[string]string // current API key by customer
	KeyIDs    map[string]string // identifier of the current API key by customer
	AllKeys   []string          // every API key issued so far, revoked ones included
	revisions map[config.ObjectID]uint64
}

// Node is a node with its upstream and the network in front of its peer
// listener.
type Node struct {
	*agent.Agent
	Settings setup.Node
	Service  string
	Upstream *fakes.Upstream
	Wire     *fakes.Wire
}

// ObjectDigest returns the configuration digest of the node's status. It covers all
// revisions in effect at the node.
func (n *Node) ObjectDigest() string {
	return n.Status().ConfigDigest
}

// Option is an option of Start.
type Option func(*startConfig)

type startConfig struct {
	logger hclog.Logger
}

// WithLogger sets the logger of all nodes.
func WithLogger(l hclog.Logger) Option {
	return func(c *startConfig) { c.logger = l }
}

// Start starts a deployment and waits until it is ready. ctx bounds only the
// start, not the life of the deployment.
func Start(ctx context.Context, s Site, opts ...Option) (*Running, error) {
	cfg := startConfig{logger: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(&cfg)
	}
	log, err := fakes.StartLog("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Running{
		Site: s, Log: log, LogWires: map[string]*fakes.Wire{}, Client: logsvc.NewClient(log.URL(), &http.Client{Timeout: 10 * time.Second}),
		Keys: map[string]string{}, KeyIDs: map[string]string{}, revisions: map[config.ObjectID]uint64{},
	}
	if err := r.start(ctx, cfg); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

func (r *Running) start(ctx context.Context, cfg startConfig) error {
	for _, zone := range r.Site.Zones {
		w, err := fakes.StartWire("127.0.0.1:0")
		if err != nil {
			return err
		}
		w.SetTarget(strings.TrimPrefix(r.Log.URL(), "http://"))
		r.LogWires[zone] = w
	}
	if err := r.publishAll(ctx); err != nil {
		return fmt.Errorf("publishing the configuration: %w", err)
	}
	n := 0
	for _, svc := range r.Site.Services {
		for i := range svc.Targets {
			zone := r.Site.Zones[n%len(r.Site.Zones)]
			n++
			name := fmt.Sprintf("%s-%s-%d", zone, svc.Name, i)
			if err := r.StartNode(name, zone, svc, cfg.logger); err != nil {
				return err
			}
		}
	}
	if err := r.awaitReady(ctx); err != nil {
		return r.unready(err)
	}
	return nil
}

// StartNode starts a node with an upstream of the service and adds it to the
// deployment.
func (r *Running) StartNode(name, zone string, svc Service, logger hclog.Logger) error {
	wire, err := fakes.StartWire(r.zoneIP(zone) + ":0")
	if err != nil {
		return err
	}
	cfg := r.Settings(name, zone)
	cfg.Listen.AdvertisePeers = wire.Addr()
	a, err := agent.New(cfg, agent.WithLogger(logger.Named(name)))
	if err != nil {
		return errors.Join(err, wire.Close())
	}
	wire.SetTarget(a.Addrs().Peers)
	n := &Node{Agent: a, Settings: cfg, Service: svc.Name, Wire: wire}
	r.Nodes = append(r.Nodes, n)
	n.Upstream, err = fakes.StartUpstream(svc.Name, a.Addrs().Local,
		fakes.WithSlots(svc.Slots, 4*svc.Slots), fakes.WithServiceTime(svc.Time), fakes.WithCalls(svc.Calls...))
	return err
}

// Restart kills a node, if it still runs, and starts a new one as the same
// instance on the same addresses. The upstream keeps running and announces itself
// to the new node.
func (r *Running) Restart(i int, logger hclog.Logger) (*Node, error) {
	old := r.Nodes[i]
	old.Kill()
	cfg := old.Settings
	cfg.Listen.Local = old.Addrs().Local
	cfg.Listen.Callers = old.Addrs().Callers
	cfg.Listen.Peers = old.Addrs().Peers
	a, err := agent.New(cfg, agent.WithLogger(logger.Named(cfg.Instance.Name)))
	if err != nil {
		return nil, err
	}
	n := *old
	n.Agent = a
	r.Nodes[i] = &n
	return &n, n.Upstream.Announce()
}

// Settings returns the settings for a new node. Its seeds are the first three
// nodes at most.
func (r *Running) Settings(name, zone string) setup.Node {
	cfg := setup.Default()
	cfg.Instance = setup.Instance{Name: name, Zone: zone}
	const loopback = "127.0.0.1:0"
	cfg.Listen = setup.Listen{Callers: loopback, Local: loopback, Peers: r.zoneIP(zone) + ":0", Operations: loopback}
	cfg.Log.URL = "http://" + r.LogWires[zone].Addr()
	cfg.Peers.Secret = Secret
	for _, n := range r.Nodes[:min(3, len(r.Nodes))] {
		cfg.Peers.Seeds = append(cfg.Peers.Seeds, n.Wire.Addr())
	}
	return cfg
}

// zoneIP returns the loopback address of the nodes of a zone. Each zone has its
// own address, so that a fakes.Wire can identify the zone of a connection.
func (r *Running) zoneIP(zone string) string {
	return fmt.Sprintf("127.0.%d.1", 1+slices.Index(r.Site.Zones, zone))
}

// CutZone partitions a zone from the other zones until HealZones is called.
func (r *Running) CutZone(zone string) {
	own := netip.MustParseAddr(r.zoneIP(zone))
	for _, n := range r.Nodes {
		inside := n.Settings.Instance.Zone == zone
		n.Wire.Cut(func(from netip.Addr) bool { return (from == own) != inside })
	}
}

// HealZones ends all partitions between zones.
func (r *Running) HealZones() {
	for _, n := range r.Nodes {
		n.Wire.Cut(func(netip.Addr) bool { return false })
	}
}

// awaitReady waits until every node has a configuration and knows the targets of
// all nodes, every share has a holder, and as many nodes as possible hold a
// lease.
func (r *Running) awaitReady(ctx context.Context) error {
	for _, n := range r.Nodes {
		select {
		case <-n.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return r.Await(ctx, func() bool {
		shares, leases := 0, 0
		for _, n := range r.Nodes {
			s := n.Status()
			if knownTargets(s) < len(r.Nodes) {
				return false
			}
			shares += s.Shares
			if s.Lease {
				leases++
			}
		}
		return shares == r.shares() && leases >= r.maxLeases()
	})
}

// maxLeases returns the maximum number of nodes that hold a lease: in each zone,
// all nodes up to the maximum number of members.
func (r *Running) maxLeases() int {
	byZone := map[string]int{}
	for _, n := range r.Nodes {
		byZone[n.Settings.Instance.Zone]++
	}
	total := 0
	for _, n := range byZone {
		total += min(n, epoch.MaxMembers)
	}
	return total
}

// shares returns the total number of shares of all customers and open routes.
func (r *Running) shares() int {
	n := 0
	for name, c := range r.Site.Customers {
		n += len(quota.SplitCustomer(name, c, r.fleet()))
	}
	for name, route := range r.Site.Routes {
		if route.Open {
			c := model.Customer{Rate: route.OpenRate, Burst: route.OpenBurst}
			n += len(quota.SplitCustomer(tokens.OpenRouteAccount(name), c, r.fleet()))
		}
	}
	return n
}

// knownTargets returns the number of targets in the member list of a node.
func knownTargets(s report.Status) int {
	known := 0
	for _, m := range s.Members {
		if m.Service != "" {
			known++
		}
	}
	return known
}

// pollInterval is the interval at which Await evaluates its condition.
const pollInterval = 20 * time.Millisecond

// Await polls cond until it returns true. It returns the error of ctx if that is
// done first.
func (r *Running) Await(ctx context.Context, cond func() bool) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// InForce waits until every node has applied all configuration changes published
// so far.
func (r *Running) InForce(ctx context.Context) error {
	b, err := r.Client.Read(ctx, logsvc.StreamConfig, 0, 1, 0)
	if err != nil {
		return err
	}
	return r.Await(ctx, func() bool {
		for _, n := range r.Nodes {
			if n.Status().ConfigOffset < b.End {
				return false
			}
		}
		return true
	})
}

// Stop kills all nodes without draining them and stops the upstreams, the wires
// and the log service.
func (r *Running) Stop() {
	for _, n := range r.Nodes {
		if n.Upstream != nil {
			_ = n.Upstream.Close()
		}
		n.Kill()
		_ = n.Wire.Close()
	}
	for _, w := range r.LogWires {
		_ = w.Close()
	}
	_ = r.Log.Close()
}

// CutLog cuts a zone off from the log service if cut is true, and reconnects it
// otherwise.
func (r *Running) CutLog(zone string, cut bool) {
	r.LogWires[zone].Cut(func(netip.Addr) bool { return cut })
}

// fleet returns a fleet configuration in which all zones have the same weight.
func (r *Running) fleet() model.Fleet {
	return model.Fleet{Zones: model.EqualZoneWeights(r.Site.Zones)}
}

func (r *Running) publishAll(ctx context.Context) error {
	s := r.Site
	if err := r.Publish(ctx, model.KindFleet, config.FleetName, r.fleet()); err != nil {
		return err
	}
	for name, c := range s.Customers {
		if err := r.Publish(ctx, model.KindCustomer, name, c); err != nil {
			return err
		}
		if err := r.IssueKey(ctx, name); err != nil {
			return err
		}
	}
	for _, svc := range s.Services {
		if err := r.Publish(ctx, model.KindService, svc.Name, model.Service{Labels: svc.Labels}); err != nil {
			return err
		}
	}
	for name, route := range s.Routes {
		if err := r.Publish(ctx, model.KindRoute, name, route); err != nil {
			return err
		}
	}
	for name, imp := range s.Importance {
		if err := r.Publish(ctx, model.KindImportance, name, imp); err != nil {
			return err
		}
	}
	return nil
}

// IssueKey publishes a new API key for a customer and makes it the current one.
// Earlier keys stay valid.
func (r *Running) IssueKey(ctx context.Context, customer string) error {
	key := keys.New()
	id := uuid.NewString()
	r.Keys[customer], r.KeyIDs[customer] = key, id
	r.AllKeys = append(r.AllKeys, key)
	return r.Publish(ctx, model.KindKey, id, model.Key{Customer: customer, Digest: keys.Digest(key)})
}

// RevokeKey revokes the current API key of a customer.
func (r *Running) RevokeKey(ctx context.Context, customer string) error {
	k := model.Key{Customer: customer, Digest: keys.Digest(r.Keys[customer]), Revoked: true}
	return r.Publish(ctx, model.KindKey, r.KeyIDs[customer], k)
}

// Publish appends a change of an object to the configuration stream. It takes the
// base revision from its own record, so nothing else may change the object.
func (r *Running) Publish(ctx context.Context, kind model.Kind, name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	id := config.ObjectID{Kind: kind, Name: name}
	rec, err := json.Marshal(config.Record{Change: &config.Change{
		ID: uuid.NewString(), Kind: kind, Name: name, Base: r.revisions[id], Body: data,
	}})
	if err != nil {
		return err
	}
	off, err := r.Client.Append(ctx, logsvc.StreamConfig, rec)
	if err != nil {
		return err
	}
	r.revisions[id] = off + 1
	return nil
}

// IssueIdempotencyKeys requests count idempotency keys for a customer from a node.
// If the node rejects the customer's API key, all returned keys are empty.
func (r *Running) IssueIdempotencyKeys(ctx context.Context, client *http.Client, n *Node, customer string, count int) ([]string, error) {
	url := fmt.Sprintf("http://%s%s?count=%d", n.Addrs().Callers, entry.KeysPath, count)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(keys.HeaderAPIKey, r.Keys[customer])
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusUnauthorized {
		return make([]string, count), nil // the customer's API key was revoked
	}
	var issued entry.IssuedKeys
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil {
		return nil, err
	}
	if len(issued.Keys) != count {
		return nil, fmt.Errorf("issued %d of %d idempotency keys, status %d", len(issued.Keys), count, resp.StatusCode)
	}
	return issued.Keys, nil
}

// MethodPath returns the method of a route and its path up to the first wildcard.
func MethodPath(r model.Route) (method, path string) {
	method, path, _ = strings.Cut(r.Pattern, " ")
	path, _, _ = strings.Cut(path, "{")
	return method, path
}
