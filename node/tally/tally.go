// Package tally counts what a server reads and writes on its connections, for tests.
package tally

import (
	"bytes"
	"net"
	"sync/atomic"
)

// Counts holds the counts of all connections of some listeners. The zero value is ready to
// use. It is safe for concurrent use.
type Counts struct {
	Conns            atomic.Int64 // connections accepted
	Heads, Responses atomic.Int64 // complete heads of requests read, responses written
}

// Listen returns a listener whose connections are counted.
func (c *Counts) Listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, counts: c}
}

type listener struct {
	net.Listener
	counts *Counts
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counts.Conns.Add(1)
	return &conn{Conn: c, counts: l.counts}, nil
}

type conn struct {
	net.Conn
	counts *Counts
}

// Read implements net.Conn. It counts the heads that arrive in one piece.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.Heads.Add(int64(bytes.Count(p[:n], []byte("\r\n\r\n"))))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil {
		c.counts.Responses.Add(int64(bytes.Count(p, []byte("HTTP/1.1 "))))
	}
	return n, err
}
