package fakes

import (
	"bytes"
	"net"
	"sync"
)

// maxTapBytes is the maximum number of bytes that a record holds.
const maxTapBytes = 8 << 20

// tap is a listener that records the bytes received on its connections.
type tap struct {
	net.Listener
	record *record
}

// record holds the bytes received on the connections of one or more listeners.
type record struct {
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
	return &tapConn{Conn: c, record: t.record, i: t.record.addConn()}, nil
}

// addConn adds a connection and returns its index.
func (r *record) addConn() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, nil)
	return len(r.received) - 1
}

// add appends received bytes to the record of connection i. Bytes beyond
// maxTapBytes are not recorded.
func (r *record) add(i int, p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n+len(p) > maxTapBytes {
		return
	}
	r.n += len(p)
	r.received[i] = append(r.received[i], p...)
}

// contains reports whether the bytes received on any connection contain s.
func (r *record) contains(s []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.received {
		if bytes.Contains(b, s) {
			return true
		}
	}
	return false
}

// tapConn is a connection whose received bytes are recorded.
type tapConn struct {
	net.Conn
	record *record
	i      int
}

// Read implements net.Conn.
func (c *tapConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.record.add(c.i, p[:n])
	return n, err
}
