package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection of an HTTP/1.1 client that checks the heads of responses, and whether a
// response ends with a reset of the connection. Its methods may be called at the same time, as
// those of net.Conn.
type Conn struct {
	net.Conn
	malformed error // returned by all further reads; used by the reader only

	mu   sync.Mutex // guards head
	head headScanner

	writeMu sync.Mutex // held during a write
	reset   error      // of a write on a connection that the peer has reset
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

// Read implements net.Conn. It returns a *MalformedError after the first wrong byte of a head, and
// io.EOF only if the peer has closed the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.malformed
	}
	n, err := c.Conn.Read(p)
	if checked, malformed := c.check(p[:n]); malformed != nil {
		// The reader first gets the bytes, as net/http takes an error of the first read from a
		// kept connection for one that was closed while it was idle.
		c.malformed = malformed
		return checked, nil
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfData()
	}
	return n, err
}

func (c *Conn) check(p []byte) (int, *MalformedError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.scan(p)
}

// endOfData returns the error of a read at the end of the data. The kernel reports a reset only
// once: if a write gets it, a read ends as on a connection that was closed in order.
func (c *Conn) endOfData() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // a write that waits would hold up the response
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.reset != nil {
		return c.reset
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) { // a reset after the end of the data is EPIPE
		c.reset = err
	}
	return n, err
}
