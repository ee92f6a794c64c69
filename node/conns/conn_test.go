package conns

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// acceptedConn returns a connection that was accepted by a listener of this package, and the one
// of its caller.
func acceptedConn(t *testing.T) (accepted *conn, caller net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	ln := &listener{Listener: inner, draining: new(atomic.Int64), log: hclog.NewNullLogger()}
	caller, err = net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	c, err := ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*conn), caller
}

// TestEndOfReadingLosesNoArrivedData guards against dropping a request that had arrived, but had
// not been read, when the reading of its idle connection was ended.
func TestEndOfReadingLosesNoArrivedData(t *testing.T) {
	const first, rest = "GET / HT", "TP/1.1\r\n\r\n"
	c, caller := acceptedConn(t)
	_, err := io.WriteString(caller, first)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // the data arrives
	c.becomeIdle()
	c.beginRead() // and gets no time on a CPU
	c.endReading(time.Time{})
	got := make([]byte, len(first))
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), first)
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(caller, rest) })
	got = make([]byte, len(rest))
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err, "the reading must go on")
	assert.Equal(t, string(got), rest)
}

// TestEndOfReadingEndsQuietConn guards against an idle connection that stays open although its
// reading was ended.
func TestEndOfReadingEndsQuietConn(t *testing.T) {
	c, _ := acceptedConn(t)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case err := <-read:
			assert.ErrorIs(t, err, io.EOF)
			return
		case <-tick.C:
			c.endReading(time.Time{}) // has no effect before the read
		}
	}
}
