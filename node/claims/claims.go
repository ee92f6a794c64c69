package claims

import (
	"context"
	"sync"
	"time"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/metric"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// Peers finds the process of an instance.
type Peers interface {
	// FindProcess returns the incarnation and the peer address of an instance that
	// is alive or suspect.
	FindProcess(instance string) (incarnation uint64, addr string, ok bool)
	// Size returns the number of alive nodes of the fleet.
	Size() int
}

// Coordinator is the at-most-once execution of one node. It is safe for concurrent
// use.
type Coordinator struct {
	zones   *zones.Zones
	store   *store.Store
	caller  *relay.Caller
	peers   Peers
	log     logsvc.Log
	metrics *metric.Set
	onErr   func(error)

	issuer *claim.Issuer
	table  *claim.Table
	queue  *claim.Queue
	index  *claim.Index

	mu      sync.Mutex
	retired map[uint64]time.Time // by epoch: when all earlier ones were first seen retired
	work    super.Drainer
}

// indexBytes bounds the outcomes of other nodes in memory.
const indexBytes = claim.DefaultIndexBytes

// New returns the claims of a node without any key.
func New(z *zones.Zones, st *store.Store, c *relay.Caller, peers Peers, log logsvc.Log, m *metric.Set, onErr func(error)) (*Coordinator, error) {
	self, now := z.Self(), time.Now()
	issuer, err := claim.NewIssuer(self.Name, self.Incarnation, now)
	if err != nil {
		return nil, err
	}
	index := claim.NewIndex(indexBytes)
	queue := claim.NewQueue(self.Name, self.Incarnation)
	return &Coordinator{
		zones: z, store: st, caller: c, peers: peers, log: log, metrics: m, onErr: onErr,
		issuer: issuer, queue: queue, index: index,
		table:   claim.NewTable(issuer, now, claim.WithIndex(index), claim.WithQueue(queue)),
		retired: map[uint64]time.Time{},
	}, nil
}

// Issue returns new keys for a customer.
func (c *Coordinator) Issue(customer string, n int, now time.Time) ([]string, *refuse.Error) {
	keys, e := c.issuer.Issue(now, customer, n)
	if e != nil {
		return nil, e
	}
	out := make([]string, len(keys))
	for i, k := range keys {
		out[i] = k.String()
	}
	return out, nil
}

// Do runs a request with an idempotency key, here or at the node that owns the
// key. It returns the response or a refusal with the attempts that were not
// used.
func (c *Coordinator) Do(ctx context.Context, text string, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	key, err := claim.Parse(text)
	if err != nil {
		return nil, req.Call.Attempts, refuse.New(refuse.IdempotencyKeyInvalid, "%v", err)
	}
	where := c.locate(key)
	switch {
	case where.here:
		return c.local(ctx, key, req)
	case where.addr == "":
		return c.answer(c.table.Resolve(time.Now(), claimRequest(key, req)), req)
	}
	resp, left, sent, e := c.caller.Forward(ctx, req, text, where.addr)
	if e != nil && !sent {
		e = claim.WithUnknownExecution(e)
	}
	return resp, left, e
}

// place is where a key may be run.
type place struct {
	here bool
	addr string // peer address of the owner; empty if no node may run the key
}

func (c *Coordinator) locate(key claim.Key) place {
	if key.Kind == claim.KindIssued {
		return c.locateIssued(key)
	}
	m, ok := c.owner(key)
	switch {
	case !ok:
		return place{here: true} // the table refuses it
	case m.Same(c.zones.Self()):
		return place{here: true}
	default:
		return place{addr: m.Address}
	}
}

func (c *Coordinator) locateIssued(key claim.Key) place {
	if c.issuer.IsOwn(key) {
		return place{here: true}
	}
	incarnation, addr, ok := c.peers.FindProcess(key.Instance)
	if !ok || incarnation != key.Incarnation {
		return place{}
	}
	return place{addr: addr}
}

// owner returns the owner of a caller's key.
func (c *Coordinator) owner(key claim.Key) (m epoch.Member, ok bool) {
	c.zones.WithView(func(v zones.View) { m, ok = v.State.ClaimOwner(key.String(), c.zoneNames()...) })
	return m, ok
}

func (c *Coordinator) zoneNames() []string {
	cur := c.store.Current()
	if cur == nil {
		return nil
	}
	var names []string
	for _, z := range cur.View.Fleet.Zones {
		names = append(names, z.Name)
	}
	return names
}

// Serve handles a claim stream of another node.
func (c *Coordinator) Serve(s *frame.Stream) {
	req, text, err := relay.ReadClaim(s, time.Now())
	if err != nil {
		s.Reset(frame.CodeInvalid)
		return
	}
	resp, left, e := c.serve(s.Context(), text, req)
	if e != nil {
		relay.WriteRefusal(s, e, left)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	relay.WriteResponse(s, resp)
}

func (c *Coordinator) serve(ctx context.Context, text string, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	key, err := claim.Parse(text)
	if err != nil {
		return nil, req.Call.Attempts, refuse.New(refuse.IdempotencyKeyInvalid, "%v", err)
	}
	cur := c.store.Current()
	if cur == nil {
		return nil, req.Call.Attempts, claim.WithUnknownExecution(refuse.New(refuse.NotReady, "the owner of the key has no configuration yet"))
	}
	if req.Call.KeyID != "" && !cur.View.ValidKey(req.Call.KeyID) {
		return nil, req.Call.Attempts, claim.WithUnknownExecution(refuse.New(refuse.KeyRevoked, "the key was revoked"))
	}
	return c.local(ctx, key, req)
}

// local decides about a request at this node and runs it if it may.
func (c *Coordinator) local(ctx context.Context, key claim.Key, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	cr := claimRequest(key, req)
	for {
		now := time.Now()
		d := c.table.Claim(now, c.ownership(key, now), cr)
		switch d.Verdict {
		case claim.Run:
			c.metrics.Add(metric.Claims, 1)
			return c.run(ctx, key, req, d.Ticket)
		case claim.Join:
			var again bool
			if d, again = join(ctx, d.Waiter, req); again {
				continue
			}
		}
		return c.answer(d, req)
	}
}

// join waits for the request that is running. It reports whether the key may be
// claimed again because that request surely was not dispatched.
func join(ctx context.Context, w *claim.Waiter, req *relay.Request) (claim.Decision, bool) {
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	select {
	case <-w.Done():
		d := w.Result()
		return d, d.Verdict == claim.Refuse && d.Refusal.Executed == refuse.NotExecuted && ctx.Err() == nil
	case <-ctx.Done():
		e := refuse.New(refuse.OutcomeUnknown, "the first request with this key is still running").WithExecuted(refuse.ExecutionUnknown)
		return claim.Decision{Verdict: claim.Refuse, Refusal: e}, false
	}
}

// answer turns a decision without a run into a response or a refusal.
func (c *Coordinator) answer(d claim.Decision, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	if d.Verdict == claim.Replay {
		return stored(d.Response, req.Call.Attempts), 0, nil
	}
	if d.Refusal.Reason == refuse.OutcomeUnknown {
		c.metrics.Add(metric.ClaimsUnknown, 1)
	}
	return nil, req.Call.Attempts, d.Refusal
}

func claimRequest(key claim.Key, req *relay.Request) *claim.Request {
	return &claim.Request{
		Key:         key,
		Route:       req.Route,
		Fingerprint: claim.Fingerprint{Method: req.Method, Path: req.URI, Length: req.ContentLength, Digest: req.Body.Digest()},
		Call:        req.Call,
	}
}
