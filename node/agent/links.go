package agent

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/setup"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
)

const (
	// linkIdleTimeout is how long an unused link stays open. An open link costs
	// two pings per second, and gossip contacts two other peers per second. With
	// a timeout of one minute, a node in a fleet of the planned size would hold
	// 240 links open for gossip alone, 120 in each direction.
	linkIdleTimeout = 5 * time.Second
	// linkSweepInterval is the time between two checks for idle links.
	linkSweepInterval = time.Second
)

// auth holds the options with which a node authenticates its links to peers.
type auth struct {
	client, server []frame.Option
}

func newAuth(name string, cfg setup.Peers, opts ...frame.Option) (*auth, error) {
	base := append([]frame.Option{frame.WithName(name)}, opts...)
	if !cfg.TLS.Configured() {
		base = append(base, frame.WithSecret([]byte(cfg.Secret)))
		return &auth{client: base, server: base}, nil
	}
	client, server, err := frame.TLSConfigs(cfg.TLS.Cert, cfg.TLS.Key, cfg.TLS.CA)
	if err != nil {
		return nil, err
	}
	return &auth{client: withTLS(base, client), server: withTLS(base, server)}, nil
}

func withTLS(base []frame.Option, cfg *tls.Config) []frame.Option {
	return append(base[:len(base):len(base)], frame.WithTLS(cfg))
}

// links holds a pool of links for each peer address. A link is a connection between
// two nodes with an authenticated session. links is safe for concurrent use.
type links struct {
	auth      *auth
	localAddr net.Addr // local address to dial from; nil for any

	mu     sync.Mutex
	pools  map[string]*linkPool
	closed bool
}

// linkPool is the pool of sessions to one address and the time of its last use.
type linkPool struct {
	*frame.Pool
	used time.Time
}

func newLinks(a *auth, listener net.Addr) *links {
	l := &links{auth: a, pools: map[string]*linkPool{}}
	if tcp, ok := listener.(*net.TCPAddr); ok && !tcp.IP.IsUnspecified() {
		l.localAddr = &net.TCPAddr{IP: tcp.IP}
	}
	return l
}

// Session returns a usable session to an address. It opens one if there is none.
func (l *links) Session(ctx context.Context, addr string) (*frame.Session, error) {
	p, err := l.pool(addr, time.Now())
	if err != nil {
		return nil, err
	}
	return p.Session(ctx)
}

func (l *links) pool(addr string, now time.Time) (*linkPool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if p, ok := l.pools[addr]; ok {
		p.used = now
		return p, nil
	}
	pool, err := frame.NewPool(frame.WithDial(l.dialer(addr)), frame.WithSession(l.auth.client...))
	if err != nil {
		return nil, err
	}
	p := &linkPool{Pool: pool, used: now}
	l.pools[addr] = p
	return p, nil
}

// dialer returns a function that dials a peer. It dials from the IP address at
// which this node listens for peers, so that the source address identifies the
// node in the network.
func (l *links) dialer(addr string) frame.DialFunc {
	d := net.Dialer{LocalAddr: l.localAddr}
	return func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// closeIdle is the background task that closes links that were unused for
// linkIdleTimeout.
func (l *links) closeIdle(ctx context.Context) error {
	return super.Every(ctx, linkSweepInterval, func(now time.Time) {
		for _, p := range l.removeIdle(now) {
			_ = p.Close()
		}
	})
}

// removeIdle removes the links that were unused for linkIdleTimeout and returns
// them.
func (l *links) removeIdle(now time.Time) []*linkPool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*linkPool
	for addr, p := range l.pools {
		if now.Sub(p.used) > linkIdleTimeout && p.InFlight() == 0 {
			out = append(out, p)
			delete(l.pools, addr)
		}
	}
	return out
}

// close closes all sessions. No new ones can be opened afterwards.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	pools := l.pools
	l.pools = map[string]*linkPool{}
	l.mu.Unlock()
	for _, p := range pools {
		_ = p.Close()
	}
}

// callPeer sends a control request to the node at an address and returns its reply.
func callPeer[Req, Resp any](ctx context.Context, l *links, addr string, kind uint8, req Req) (Resp, error) {
	session, err := l.Session(ctx, addr)
	if err != nil {
		var none Resp
		return none, err
	}
	return frame.Call[Req, Resp](ctx, session, kind, req)
}

// Borrow implements tokens.Peers.
func (l *links) Borrow(ctx context.Context, addr string, req quota.BorrowRequest) (quota.BorrowReply, error) {
	return callPeer[quota.BorrowRequest, quota.BorrowReply](ctx, l, addr, relay.KindBorrow, req)
}

// LendCapacity implements tokens.Peers.
func (l *links) LendCapacity(ctx context.Context, addr string, req quota.CapacityRequest) (quota.CapacityReply, error) {
	return callPeer[quota.CapacityRequest, quota.CapacityReply](ctx, l, addr, relay.KindCapacity, req)
}
