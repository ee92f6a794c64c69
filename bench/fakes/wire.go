package fakes

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// Wire is a TCP proxy that simulates the network in front of a listener, such as
// the peer listener of a node. It can drop all bytes of open connections without
// closing them, as a network device does that lost its connection state, and it
// can partition clients by their IP address. It is safe for concurrent use.
type Wire struct {
	ln net.Listener

	mu     sync.Mutex
	target string
	conns  map[*wireConn]struct{}
	cut    func(from netip.Addr) bool
	closed bool

	bytes atomic.Int64
}

// wireConn is a proxied connection: near leads to the client, far to the target.
type wireConn struct {
	near, far net.Conn
	from      netip.Addr

	mu     sync.Mutex
	silent bool
}

// StartWire starts a wire that listens on an address. SetTarget must be called
// before connections can be forwarded.
func StartWire(addr string) (*Wire, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	w := &Wire{ln: ln, conns: map[*wireConn]struct{}{}, cut: func(netip.Addr) bool { return false }}
	go w.accept()
	return w, nil
}

// Addr returns the address at which the wire listens.
func (w *Wire) Addr() string {
	return w.ln.Addr().String()
}

// Bytes returns the number of bytes received in both directions.
func (w *Wire) Bytes() int64 {
	return w.bytes.Load()
}

// SetTarget sets the address to which new connections are forwarded.
func (w *Wire) SetTarget(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.target = addr
}

// Silence drops all further bytes on the connections that are currently open,
// without closing them. New connections work normally.
func (w *Wire) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		c.silence()
	}
}

// Cut drops the bytes of open connections from addresses that match and refuses
// new connections from them. Each call replaces the previous match; connections
// that were cut stay silent even if the new match does not select them.
func (w *Wire) Cut(match func(from netip.Addr) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = match
	for c := range w.conns {
		if match(c.from) {
			c.silence()
		}
	}
}

// Close stops the wire and closes its connections.
func (w *Wire) Close() error {
	err := w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for c := range w.conns {
		c.close()
	}
	return err
}

func (w *Wire) accept() {
	for {
		conn, err := w.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go w.serve(conn)
		}
	}
}

func (w *Wire) serve(near net.Conn) {
	c := &wireConn{near: near, from: remoteAddr(near)}
	w.mu.Lock()
	target, refused := w.target, w.closed || w.cut(c.from)
	w.mu.Unlock()
	if refused {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close()
		return
	}
	c.far = far
	w.mu.Lock()
	w.conns[c] = struct{}{}
	w.mu.Unlock()
	c.run(&w.bytes)
	w.mu.Lock()
	delete(w.conns, c)
	w.mu.Unlock()
}

func remoteAddr(c net.Conn) netip.Addr {
	ap, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr()
}

// run copies bytes in both directions until the connection ends. A silent
// connection stays open until both sides have closed it.
func (c *wireConn) run(count *atomic.Int64) {
	var wg sync.WaitGroup
	wg.Go(func() { c.copy(c.far, c.near, count) })
	wg.Go(func() { c.copy(c.near, c.far, count) })
	wg.Wait()
	c.close()
}

// copy copies bytes in one direction and adds their number to count.
func (c *wireConn) copy(to, from net.Conn, count *atomic.Int64) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		count.Add(int64(n))
		if n > 0 && !c.isSilent() {
			_, werr := to.Write(buf[:n])
			err = errors.Join(err, werr)
		}
		if err != nil {
			if !c.isSilent() || !errors.Is(err, io.EOF) {
				c.close()
			}
			return
		}
	}
}

func (c *wireConn) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *wireConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *wireConn) close() {
	_ = c.near.Close()
	_ = c.far.Close()
}
