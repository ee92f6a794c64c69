package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"dogwoodsill.org/core/boot"
	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/lines"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/core/super"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
)

// maxHandshakes limits the connections that have not authenticated yet. Each ends after
// frame.DefaultHandshakeTimeout; a peer that is refused dials again.
const maxHandshakes = 512

// peerServer accepts links from other nodes and dispatches their streams.
type peerServer struct {
	agent *Agent
	auth  *auth

	handshakes chan struct{} // holds an element for each handshake in progress
	refusals   *lines.Limiter

	mu       sync.Mutex
	sessions map[*frame.Session]struct{}
	closed   bool
}

func newPeerServer(a *Agent, au *auth) *peerServer {
	return &peerServer{agent: a, auth: au, handshakes: make(chan struct{}, maxHandshakes), refusals: lines.NewLimiter(1), sessions: map[*frame.Session]struct{}{}}
}

// serve returns the background task that accepts links on a listener.
func (p *peerServer) serve(ln net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil || p.agent.stopping.Load() {
					return nil
				}
				return err
			}
			select {
			case p.handshakes <- struct{}{}:
				super.Go("link", p.agent.onPanic, func() { p.serveLink(ctx, conn) })
			default:
				p.refuse(conn, time.Now())
			}
		}
	}
}

// refuse closes a new connection since too many are in their handshakes.
func (p *peerServer) refuse(conn net.Conn, now time.Time) {
	_ = conn.Close()
	if p.refusals.Allow(now) {
		p.agent.log.Warn("too many peer handshakes at once", "remote", conn.RemoteAddr(), "limit", maxHandshakes)
	}
}

// handshake performs the handshake on a new connection.
func (p *peerServer) handshake(ctx context.Context, conn net.Conn) (*frame.Session, error) {
	defer func() { <-p.handshakes }()
	return frame.Server(ctx, conn, p.handle, p.auth.server...)
}

// serveLink performs the handshake on a new connection and serves the link until it
// ends.
func (p *peerServer) serveLink(ctx context.Context, conn net.Conn) {
	s, err := p.handshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		p.agent.log.Warn("peer handshake failed", "remote", conn.RemoteAddr(), "error", err)
		return
	}
	if !p.add(s) {
		_ = s.Close()
		return
	}
	<-s.Done()
	p.remove(s)
}

func (p *peerServer) add(s *frame.Session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.sessions[s] = struct{}{}
	return true
}

func (p *peerServer) remove(s *frame.Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

func (p *peerServer) close() {
	for _, s := range p.stop() {
		_ = s.Close()
	}
}

// shutdown refuses new streams and waits until the running ones have ended, so that a call
// that a peer sends at this moment is refused and not cut off.
func (p *peerServer) shutdown(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range p.stop() {
		wg.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				p.agent.log.Debug("link ended with open streams", "peer", s.Peer(), "error", err)
			}
		})
	}
	wg.Wait()
}

// stop accepts no more links and returns the open ones.
func (p *peerServer) stop() []*frame.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	var open []*frame.Session
	for s := range p.sessions {
		open = append(open, s)
	}
	return open
}

// handle handles a stream from another node according to its kind.
func (p *peerServer) handle(s *frame.Stream) {
	a := p.agent
	var err error
	switch s.Kind() {
	case relay.KindCall:
		a.target.Serve(s)
	case relay.KindClaim:
		a.claims.Serve(s)
	case relay.KindGossip:
		err = frame.ServeCall(s, a.fleet.handlePacket)
	case relay.KindProbe:
		err = frame.ServeCall(s, a.fleet.probe)
	case relay.KindConfirm:
		err = frame.ServeCall(s, func(_ context.Context, req epoch.ConfirmRequest) (epoch.ConfirmReply, error) {
			return a.zones.Confirm(req), nil
		})
	case relay.KindBorrow:
		err = frame.ServeCall(s, func(_ context.Context, req quota.BorrowRequest) (quota.BorrowReply, error) {
			return a.tokens.Borrow(req), nil
		})
	case relay.KindCapacity:
		err = frame.ServeCall(s, func(_ context.Context, req quota.CapacityRequest) (quota.CapacityReply, error) {
			return a.tokens.LendCapacity(req), nil
		})
	case relay.KindCrashes:
		err = frame.ServeCall(s, a.crashes.serve)
	case relay.KindFollow:
		err = frame.ServeCall(s, a.serveFollow)
	case relay.KindRecords:
		err = frame.ServeCall(s, func(_ context.Context, req store.RecordsRequest) (store.RecordsReply, error) {
			return a.store.Records(req, boot.Now()), nil
		})
	default:
		s.Reset(frame.CodeRefused)
	}
	if err != nil {
		a.log.Debug("control request failed", "peer", s.Peer(), "kind", s.Kind(), "error", err)
	}
}
