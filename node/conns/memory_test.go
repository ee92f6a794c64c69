package conns

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGivingWayAnswersArrivedRequest guards against a request that is cut without an answer because
// its connection, idle before, gives way between the arrival of the request and its handling.
func TestGivingWayAnswersArrivedRequest(t *testing.T) {
	c, caller := acceptedConn(t)
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 100))
	assert.NilError(t, err)
	c.giveWay()
	c.beginRequest(false)
	time.Sleep(3 * arrivedTimeout)
	_, err = io.WriteString(c, "refused")
	assert.NilError(t, err)
	got := make([]byte, 7)
	_, err = io.ReadFull(caller, got)
	assert.NilError(t, err)
}

// TestGivingWayEndsIncompleteHead guards against a head that doesn't go on and stays open on a
// connection that gives way.
func TestGivingWayEndsIncompleteHead(t *testing.T) {
	c, caller := acceptedConn(t)
	_, err := io.WriteString(caller, "GET / HT")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 100))
	assert.NilError(t, err)
	c.giveWay()
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = caller.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
