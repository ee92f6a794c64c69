package conns

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/budget"
	"dogwoodsill.org/core/metric"
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

// TestHTTP2WithoutRoom guards against an HTTP/2 connection that found no room at its first request
// and is then served without being counted.
func TestHTTP2WithoutRoom(t *testing.T) {
	now := time.Now()
	pool := budget.New(128<<10, 0)
	other, _ := pool.Open(0, func() {}, now)
	c, _ := acceptedConn(t)
	assert.Assert(t, c.openAccount(pool, now))
	assert.Assert(t, other.Take(100<<10, now))
	tracker := newTracker(metric.New())
	tracker.withConn(t.Context(), c)
	assert.Assert(t, !tracker.begin(c, true, false))
	assert.Assert(t, !tracker.begin(c, true, false), "served without room")
	other.Close()
	assert.Assert(t, tracker.begin(c, true, false))
	assert.Equal(t, pool.Stats().Bytes, int64(connBytes+http2Bytes))
}
