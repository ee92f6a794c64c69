package frame

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// The loss of a session must end all its streams and unblock pending reads and
// writes.
func TestSessionLost(t *testing.T) {
	a, b := tcpPair(t)
	ended := make(chan error, 8)
	cs, ss := newSessionPair(t, a, b, func(st *Stream) {
		<-st.Context().Done()
		ended <- context.Cause(st.Context())
	})
	failed := make(chan error, 24)
	for range 8 {
		st, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		go func() { _, err := st.Write(make([]byte, 1<<20)); failed <- err }()
		go func() { _, err := st.Read(make([]byte, 1)); failed <- err }()
		go func() { _, err := st.RecvHead(bg); failed <- err }()
	}
	waitFor(t, ss, func() bool { return len(ss.streams) == 8 })
	assert.NilError(t, a.Close())
	for range 24 {
		assert.Assert(t, errors.As(<-failed, new(*SessionError)))
	}
	for range 8 {
		assert.Assert(t, errors.As(<-ended, new(*SessionError)))
	}
	_, err := cs.Open(bg, 1, nil)
	assert.Assert(t, errors.As(err, new(*SessionError)))
}

// Shutdown must wait for running streams and refuse new ones on both sides.
func TestShutdown(t *testing.T) {
	a, b := tcpPair(t)
	release := make(chan struct{})
	cs, ss := newSessionPair(t, a, b, func(st *Stream) {
		<-release
		echo(st)
	})
	inFlight := make(chan error, 1)
	go func() { inFlight <- exchange(cs, []byte("head"), make([]byte, 1<<20)) }()
	waitFor(t, ss, func() bool { return len(ss.streams) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- ss.Shutdown(bg) }()
	waitFor(t, cs, func() bool { return cs.peerDraining })
	_, err := cs.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
	_, err = ss.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
	close(release)
	assert.NilError(t, <-inFlight)
	assert.NilError(t, <-stopped)
	<-cs.Done()
}

// Each stream that is opened concurrently with a shutdown must either complete
// or be refused.
func TestShutdownCrossing(t *testing.T) {
	for range 50 {
		a, b := tcpPair(t)
		cs, ss, cerr, serr := connectBoth(a, b, echo, named("a"), named("b"))
		assert.NilError(t, errors.Join(cerr, serr))
		results := make(chan error, 32)
		for range cap(results) {
			go func() {
				st, err := cs.Open(bg, 7, nil)
				if err == nil {
					err = exchangeOn(st, nil, []byte("body"))
				} else {
					err = nil // nothing was sent
				}
				results <- err
			}()
		}
		assert.NilError(t, ss.Shutdown(bg))
		for range cap(results) {
			if err := <-results; err != nil {
				assertReset(t, err, CodeRefused, true)
			}
		}
		closeAll(cs)
	}
}

// The peer may close the connection once it receives the confirmation of the
// shutdown, so the confirmation must not overtake an open frame that is not
// queued yet.
func TestGoAwayWaitsForOpen(t *testing.T) {
	s := newTestSession(nil)
	defer s.fail(errors.New("test ends"))
	st, err := s.register(bg, 1)
	assert.NilError(t, err)
	assert.NilError(t, s.receive(Frame{TypeReset, 0, codePayload(CodeRefused)}))
	assert.Assert(t, !s.pending.goAwayAck)
	assert.NilError(t, st.finishOpen(bg, true))
	assert.Assert(t, s.pending.goAwayAck)
}
