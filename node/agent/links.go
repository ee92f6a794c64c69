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
	"dogwoodsill.org/node/relay"
)

// dialTimeout bounds the time to open a link to a peer, handshake included.
const dialTimeout = 2 * time.Second

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
	server, client, err := frame.TLSConfigs(cfg.TLS.CA, cfg.TLS.Cert, cfg.TLS.Key)
	if err != nil {
		return nil, err
	}
	return &auth{client: withTLS(base, client), server: withTLS(base, server)}, nil
}

func withTLS(base []frame.Option, cfg *tls.Config) []frame.Option {
	return append(base[:len(base):len(base)], frame.WithTLS(cfg))
}

// links holds one session to each peer address. It is safe for concurrent use.
type links struct {
	auth *auth

	mu     sync.Mutex
	peers  map[string]*link
	closed bool
}

// link is the session to one address. Its mutex is held while dialling, so
// that concurrent callers share one dial.
type link struct {
	mu      chan struct{}
	session *frame.Session
}

func newLinks(a *auth) *links {
	return &links{auth: a, peers: map[string]*link{}}
}

// Session returns a usable session to an address. It dials if there is none.
func (l *links) Session(ctx context.Context, addr string) (*frame.Session, error) {
	p := l.peer(addr)
	select {
	case p.mu <- struct{}{}:
		defer func() { <-p.mu }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.session != nil && p.session.Usable() {
		return p.session, nil
	}
	s, err := l.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.session = s
	if l.isClosed() {
		_ = s.Close()
		return nil, net.ErrClosed
	}
	return s, nil
}

func (l *links) peer(addr string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[addr]
	if !ok {
		p = &link{mu: make(chan struct{}, 1)}
		l.peers[addr] = p
	}
	return p
}

func (l *links) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *links) dial(ctx context.Context, addr string) (*frame.Session, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	s, err := frame.Client(ctx, conn, l.auth.client...)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// close ends all sessions.
func (l *links) close() {
	l.mu.Lock()
	l.closed = true
	peers := l.peers
	l.peers = map[string]*link{}
	l.mu.Unlock()
	for _, p := range peers {
		p.mu <- struct{}{}
		if p.session != nil {
			_ = p.session.Close()
		}
		<-p.mu
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
