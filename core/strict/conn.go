package strict

import (
	"net"
	"sync"
)

// Conn is a connection of an HTTP/1.1 client that checks the heads of responses. Its methods
// may be called at the same time, as those of net.Conn.
type Conn struct {
	net.Conn
	malformed error // returned by all further reads; used by the reader only

	mu   sync.Mutex
	head headScanner
}

// NewConn returns a Conn that checks nothing before the first call of ExpectResponse.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// ExpectResponse announces that a request follows, so that the next bytes to be read are the head
// of its response. It must be called before the request is written.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expectHead()
}

// Read implements net.Conn. It returns a *MalformedError after the first wrong byte of a head.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if checked, malformed := c.head.scan(p[:n]); malformed != nil {
		// The reader first gets the bytes, as net/http takes an error of the first read from a
		// kept connection for one that was closed while it was idle.
		c.malformed = malformed
		return checked, nil
	}
	return n, err
}
