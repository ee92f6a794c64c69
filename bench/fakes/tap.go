package fakes

import (
	"bytes"
	"net"
	"sync"
)

// tapBytes is how much of the traffic the tap keeps for searching.
const tapBytes = 8 << 20

// tap is a listener that keeps a copy of the bytes that arrive.
type tap struct {
	net.Listener

	mu  sync.Mutex
	got [][]byte
	n   int
}

// Accept implements net.Listener.
func (t *tap) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, nil)
	return &tapConn{Conn: c, tap: t, i: len(t.got) - 1}, nil
}

func (t *tap) keep(i int, p []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n+len(p) > tapBytes {
		return
	}
	t.n += len(p)
	t.got[i] = append(t.got[i], p...)
}

func (t *tap) saw(s []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.got {
		if bytes.Contains(b, s) {
			return true
		}
	}
	return false
}

type tapConn struct {
	net.Conn
	tap *tap
	i   int
}

// Read implements net.Conn.
func (c *tapConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tap.keep(c.i, p[:n])
	return n, err
}
