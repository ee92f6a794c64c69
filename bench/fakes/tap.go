package fakes

import (
	"bytes"
	"net"
	"sync"
)

// maxTapBytes is the maximum number of bytes that a tap records.
const maxTapBytes = 8 << 20

// tap is a listener that records the bytes received on its connections.
type tap struct {
	net.Listener

	mu       sync.Mutex
	received [][]byte
	n        int
}

// Accept implements net.Listener.
func (t *tap) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, nil)
	return &tapConn{Conn: c, tap: t, i: len(t.received) - 1}, nil
}

// record appends received bytes to the record of connection i. Bytes beyond
// maxTapBytes are not recorded.
func (t *tap) record(i int, p []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n+len(p) > maxTapBytes {
		return
	}
	t.n += len(p)
	t.received[i] = append(t.received[i], p...)
}

// contains reports whether the bytes received on any connection contain s.
func (t *tap) contains(s []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.received {
		if bytes.Contains(b, s) {
			return true
		}
	}
	return false
}

// tapConn is a connection whose received bytes are recorded.
type tapConn struct {
	net.Conn
	tap *tap
	i   int
}

// Read implements net.Conn.
func (c *tapConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.tap.record(c.i, p[:n])
	return n, err
}
