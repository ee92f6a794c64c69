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

// Peers gives access to the membership of the fleet.
type Peers interface {
	// FindProcess returns the incarnation and the peer address of an instance
	// that is alive or suspect.
	FindProcess(instance string) (incarnation uint64, addr string, ok bool)
	// Size returns the number of alive and suspect nodes of the fleet.
	Size() int
}

// Coordinator runs requests with an idempotency key for one node. It is safe
// for concurrent use.
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

	mu             sync.Mutex
	earlierRetired map[uint64]time.Time // by epoch: when all earlier epochs were first seen retired
	drainer        super.Drainer
}

// maxIndexBytes bounds the memory for outcomes of other nodes.
const maxIndexBytes = claim.DefaultIndexBytes

// New returns a coordinator that holds no claims. Errors of background tasks
// are passed to onErr.
func New(z *zones.Zones, st *store.Store, c *relay.Caller, peers Peers, log logsvc.Log, m *metric.Set, onErr func(error)) (*Coordinator, error) {
	self, now := z.Self(), time.Now()
	issuer, err := claim.NewIssuer(self.Name, self.Incarnation, now)
	if err != nil {
		return nil, err
	}
	index := claim.NewIndex(maxIndexBytes)
	queue := claim.NewQueue(self.Name, self.Incarnation)
	return &Coordinator{
		zones: z, store: st, caller: c, peers: peers, log: log, metrics: m, onErr: onErr,
		issuer: issuer, queue: queue, index: index,
		table:          claim.NewTable(issuer, now, claim.WithIndex(index), claim.WithQueue(queue)),
		earlierRetired: map[uint64]time.Time{},
	}, nil
}

// Issue returns n new keys for a customer.
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

// Do runs a request with the idempotency key text, at this node or at the node
// that owns the key. It returns the response, or a refusal and the number of
// unused attempts.
func (c *Coordinator) Do(ctx context.Context, text string, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	key, err := claim.Parse(text)
	if err != nil {
		return nil, req.Call.Attempts, refuse.New(refuse.IdempotencyKeyInvalid, "%v", err)
	}
	where := c.locate(key)
	switch {
	case where.local:
		return c.runLocal(ctx, key, req)
	case where.addr == "":
		return c.respond(c.table.Resolve(time.Now(), claimRequest(key, req)), req)
	}
	resp, left, sent, e := c.caller.Forward(ctx, req, text, where.addr)
	if e != nil && !sent {
		e = claim.WithUnknownExecution(e)
	}
	return resp, left, e
}

// location says which node may run a key.
type location struct {
	local bool   // this node
	addr  string // peer address of the owner; empty if no node may run the key
}

// locate returns the location of the owner of a key.
func (c *Coordinator) locate(key claim.Key) location {
	if key.Kind == claim.KindIssued {
		return c.locateIssued(key)
	}
	m, ok := c.owner(key)
	switch {
	case !ok:
		return location{local: true} // no owner is known; the table refuses the key
	case m.Same(c.zones.Self()):
		return location{local: true}
	default:
		return location{addr: m.Address}
	}
}

func (c *Coordinator) locateIssued(key claim.Key) location {
	if c.issuer.IsOwn(key) {
		return location{local: true}
	}
	incarnation, addr, ok := c.peers.FindProcess(key.Instance)
	if !ok || incarnation != key.Incarnation {
		return location{}
	}
	return location{addr: addr}
}

// owner returns the owner of a caller's key, and false if none is known.
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

// Serve handles a request with an idempotency key that another node forwarded
// on a stream.
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
	return c.runLocal(ctx, key, req)
}

// runLocal claims the key at this node and runs the request if the claim
// permits it.
func (c *Coordinator) runLocal(ctx context.Context, key claim.Key, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	cr := claimRequest(key, req)
	for {
		now := time.Now()
		d := c.table.Claim(now, c.ownership(key, now), cr)
		switch d.Verdict {
		case claim.Run:
			c.metrics.Add(metric.Claims, 1)
			return c.run(ctx, key, req, d.Ticket)
		case claim.Join:
			var claimAgain bool
			if d, claimAgain = join(ctx, d.Waiter, req); claimAgain {
				continue
			}
		}
		return c.respond(d, req)
	}
}

// join waits for the execution that is in progress. It returns true if the key
// may be claimed again because the request was certainly not dispatched.
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

// respond converts a decision other than Run into a response or a refusal.
func (c *Coordinator) respond(d claim.Decision, req *relay.Request) (*relay.Response, int, *refuse.Error) {
	if d.Verdict == claim.Replay {
		return replayed(d.Response, req.Call.Attempts), 0, nil
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
