package strict

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection of an HTTP/1.1 client that checks the heads of responses, and whether a
// response ends with a reset of the connection. Its methods may be called at the same time, as
// those of net.Conn.
type Conn struct {
	net.Conn

	mu        sync.Mutex // guards the next two
	head      headScanner
	malformed error // a *MalformedError that all further reads return

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

// CheckResult returns the result of a round trip with a *MalformedError in place of another error
// if a head was malformed, as net/http also parses the start of a line that is cut there. The body
// of a response ends with a *MalformedError if its trailer is malformed. Without a connection, c is
// nil.
func (c *Conn) CheckResult(resp *http.Response, err error) (*http.Response, error) {
	if err == nil {
		checkTrailer(resp)
		return resp, nil
	}
	if c != nil {
		if malformed := c.readError(); malformed != nil {
			err = malformed
		}
	}
	return nil, err
}

// readError returns the error that has ended the reading, or nil.
func (c *Conn) readError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// Read implements net.Conn. It returns a *MalformedError after the first wrong byte of a head, and
// io.EOF only if the peer has closed the connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.readError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if checked, ok := c.check(p[:n]); !ok {
		// The reader first gets the bytes, as net/http takes an error of the first read from a
		// kept connection for one that was closed while it was idle.
		return checked, nil
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfData()
	}
	return n, err
}

// check returns the number of bytes up to the first wrong one and false, or all and true.
func (c *Conn) check(p []byte) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, malformed := c.head.scan(p)
	if malformed != nil {
		c.malformed = malformed
	}
	return n, malformed == nil
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
