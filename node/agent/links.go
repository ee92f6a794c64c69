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
	// linkIdle is how long an unused link is kept. A kept link costs two pings a
	// second, and gossip meets two other peers a second: with a minute a node of
	// the target size would keep 240 links for gossip alone.
	linkIdle      = 5 * time.Second
	linkSweepEach = time.Second
)

// auth holds what a node needs to prove its identity to peers.
type auth struct {
	client, server []frame.Option
}

func newAuth(name string, cfg setup.Peers) (*auth, error) {
	base := []frame.Option{frame.WithName(name)}
	if !cfg.TLS.Set() {
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

// links holds the sessions to peers by address. It is safe for concurrent use.
type links struct {
	auth *auth
	from net.Addr // local address of dials; nil for any

	mu     sync.Mutex
	pools  map[string]*link
	closed bool
}

// link is the pool of sessions to one address.
type link struct {
	*frame.Pool
	used time.Time
}

func newLinks(a *auth, listener net.Addr) *links {
	l := &links{auth: a, pools: map[string]*link{}}
	if tcp, ok := listener.(*net.TCPAddr); ok && !tcp.IP.IsUnspecified() {
		l.from = &net.TCPAddr{IP: tcp.IP}
	}
	return l
}

// Session returns a usable session to an address. It dials if there is none.
func (l *links) Session(ctx context.Context, addr string) (*frame.Session, error) {
	p, err := l.link(addr, time.Now())
	if err != nil {
		return nil, err
	}
	return p.Session(ctx)
}

func (l *links) link(addr string, now time.Time) (*link, error) {
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
	p := &link{Pool: pool, used: now}
	l.pools[addr] = p
	return p, nil
}

// dialer returns a function that dials a peer from the IP address at which this
// node listens for peers, so that the network can tell nodes apart.
func (l *links) dialer(addr string) frame.Dial {
	d := net.Dialer{LocalAddr: l.from}
	return func(ctx context.Context) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", addr)
	}
}

// sweep is the duty that closes links that were not used for a while.
func (l *links) sweep(ctx context.Context) error {
	return super.Every(ctx, linkSweepEach, func(now time.Time) {
		for _, p := range l.idle(now) {
			_ = p.Close()
		}
	})
}

// idle removes the links that were not used for a while and returns them.
func (l *links) idle(now time.Time) []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*link
	for addr, p := range l.pools {
		if now.Sub(p.used) > linkIdle && p.InFlight() == 0 {
			out = append(out, p)
			delete(l.pools, addr)
		}
	}
	return out
}

// close ends all sessions.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	pools := l.pools
	l.pools = map[string]*link{}
	l.mu.Unlock()
	for _, p := range pools {
		_ = p.Close()
	}
}

// call performs a control exchange with the node at an address.
func call[Req, Resp any](ctx context.Context, l *links, addr string, kind uint8, req Req) (Resp, error) {
	session, err := l.Session(ctx, addr)
	if err != nil {
		var none Resp
		return none, err
	}
	return frame.Call[Req, Resp](ctx, session, kind, req)
}

// Borrow implements tokens.Peers.
func (l *links) Borrow(ctx context.Context, addr string, req quota.BorrowRequest) (quota.BorrowReply, error) {
	return call[quota.BorrowRequest, quota.BorrowReply](ctx, l, addr, relay.KindBorrow, req)
}
