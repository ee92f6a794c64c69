package frame

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// All streams of a lost session must end, those waiting included.
func TestSessionLost(t *testing.T) {
	a, b := tcpPair(t)
	ended := make(chan error, 8)
	cs, ss := pair(t, a, b, func(st *Stream) {
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

// Shutdown must wait for running streams, refuse crossing ones and lose neither.
func TestShutdown(t *testing.T) {
	a, b := tcpPair(t)
	release := make(chan struct{})
	cs, ss := pair(t, a, b, func(st *Stream) {
		<-release
		echo(st)
	})
	running := make(chan error, 1)
	go func() { running <- exchange(cs, []byte("head"), make([]byte, 1<<20)) }()
	waitFor(t, ss, func() bool { return len(ss.streams) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- ss.Shutdown(bg) }()
	waitFor(t, cs, func() bool { return cs.peerDrains })
	_, err := cs.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
	_, err = ss.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
	close(release)
	assert.NilError(t, <-running)
	assert.NilError(t, <-stopped)
	<-cs.Done()
}

// Opens that cross the shutdown must each get an answer or a refusal.
func TestShutdownCrossing(t *testing.T) {
	for range 50 {
		a, b := tcpPair(t)
		cs, ss, cerr, serr := both(a, b, echo, named("a"), named("b"))
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

// The peer may close once it has the confirmation, so the confirmation must not
// overtake an open frame that is still on its way to the writer.
func TestGoAwayWaitsForOpen(t *testing.T) {
	s := bareSession(nil)
	defer s.fail(errors.New("test ends"))
	st, err := s.register(bg, 1)
	assert.NilError(t, err)
	assert.NilError(t, s.receive(Frame{TypeReset, 0, code(CodeRefused)}))
	assert.Assert(t, !s.notes.goneAck)
	assert.NilError(t, st.opened(bg, true))
	assert.Assert(t, s.notes.goneAck)
}
