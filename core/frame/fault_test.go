package frame

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// lossyConn discards all written bytes while drop is set, like a network device
// that lost its connection state.
type lossyConn struct {
	net.Conn
	drop *atomic.Bool
}

func (c lossyConn) Write(p []byte) (int, error) {
	if c.drop.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close doesn't reach the peer while drop is set.
func (c lossyConn) Close() error {
	if c.drop.Load() {
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// newRawPeer performs the handshake as a client and returns its connection, on
// which the test reads and writes frames itself, and the server's session.
func newRawPeer(t testing.TB, h Handler, opts ...Option) (net.Conn, *Session) {
	t.Helper()
	a, b := tcpPair(t)
	o, err := newOptions(named("raw"))
	assert.NilError(t, err)
	handshakeDone := make(chan error, 1)
	go func() {
		_, _, err := handshake(bg, a, &o, true)
		handshakeDone <- err
	}()
	s, err := Server(bg, b, h, named("b", opts...)...)
	assert.NilError(t, err)
	assert.NilError(t, <-handshakeDone)
	t.Cleanup(func() {
		closeAll(s)
		a.Close()
	})
	return a, s
}

func writeFrames(t testing.TB, w io.Writer, frames ...Frame) {
	t.Helper()
	for _, f := range frames {
		assert.NilError(t, WriteFrame(w, f))
	}
}

// readUntil reads frames up to the first one of type typ and returns it.
func readUntil(t testing.TB, r io.Reader, typ Type) Frame {
	t.Helper()
	for {
		f, err := ReadFrame(r)
		assert.NilError(t, err)
		if f.Type == typ {
			return f
		}
	}
}

func codePayload(c Code) []byte { return binary.BigEndian.AppendUint32(nil, uint32(c)) }

func windowPayload(n, reserved uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, n), reserved)
}

func openFrame(id uint32) Frame { return Frame{Type: TypeOpen, Stream: id, Payload: []byte{1}} }

func assertUnreachable(t testing.TB, err error) {
	t.Helper()
	var se *SessionError
	assert.Assert(t, errors.As(err, &se), "%v", err)
	assert.Assert(t, se.Unreachable)
}

// A connection that loses all frames must end, along with its streams, exactly
// after the keepalive timeout. An idle session with pings must stay open.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var drop atomic.Bool
		a, b := net.Pipe()
		cs, ss := newSessionPair(t, lossyConn{a, &drop}, lossyConn{b, &drop}, func(st *Stream) { <-st.Context().Done() })
		st, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		time.Sleep(DefaultProgressTimeout/2 - time.Second/2)
		assert.NilError(t, cs.Err())
		assert.NilError(t, ss.Err())
		drop.Store(true)
		began := time.Now()
		_, err = st.Read(make([]byte, 1))
		assertUnreachable(t, err)
		assertUnreachable(t, context.Cause(st.Context()))
		idle := time.Since(began) + time.Second/2 // the last pong arrived half a second earlier
		assert.Equal(t, idle, DefaultKeepaliveTimeout)
		<-ss.Done()
		assertUnreachable(t, ss.Err())
	})
}

// Guards against reporting the peer as unreachable after a pause of the local
// process. A delay of watchLoop of up to one ping interval must not extend the
// keepalive timeout.
func TestPauseIsNoSilence(t *testing.T) {
	s := newTestSession(nil)
	s.adjustForPause(10*time.Second, 9*time.Second)
	assert.Equal(t, s.lastReceived.Load(), int64(0))
	s.adjustForPause(10*time.Second, 8*time.Second)
	assert.Equal(t, s.lastReceived.Load(), int64(10*time.Second))
}

// Pings must not prevent the reset of a stalled stream, and a stream with
// progress must not be reset.
func TestProgressTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		cs, _ := newSessionPair(t, a, b, func(st *Stream) {
			if st.Kind() == 1 {
				<-st.Context().Done()
				return
			}
			for range 10 {
				time.Sleep(8 * time.Second)
				_, _ = st.Write([]byte("x"))
			}
			_ = st.CloseWrite(nil)
		}, WithProgressTimeout(10*time.Second))
		active, err := cs.Open(bg, 2, nil)
		assert.NilError(t, err)
		stuck, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		patient, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		patient.SetProgressTimeout(0)
		began := time.Now()
		_, err = stuck.Read(make([]byte, 1))
		var re *ResetError
		assert.Assert(t, errors.As(err, &re) && re.Code == CodeStalled, "%v", err)
		assert.Equal(t, time.Since(began), 10*time.Second)
		p, err := io.ReadAll(active)
		assert.NilError(t, err)
		assert.Equal(t, len(p), 10)
		assert.NilError(t, cs.Err())
	})
}

// Guards invariant I7: a truncated body must never end with io.EOF, however it
// was truncated.
func TestTruncatedBody(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(st *Stream)
	}{
		{"connection closed", func(st *Stream) { _ = st.s.conn.Close() }},
		{"session closed", func(st *Stream) { go st.s.Close() }},
		{"reset", func(st *Stream) { st.Reset(CodeUser) }},
		{"handler returned", func(*Stream) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := tcpPair(t)
			bodyRead := make(chan struct{})
			cs, _ := newSessionPair(t, a, b, func(st *Stream) {
				_, _ = st.Write([]byte("half"))
				<-bodyRead
				c.cut(st)
			})
			st, err := cs.Open(bg, 1, nil)
			assert.NilError(t, err)
			_, err = io.ReadFull(st, make([]byte, 4))
			assert.NilError(t, err)
			close(bodyRead)
			_, err = st.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
			assert.Assert(t, st.Trailer() == nil)
			<-st.Context().Done()
		})
	}
}

// A complete response must stay readable if the server resets the rest of the
// request, or if the connection ends right after the response.
func TestCompleteAnswerSurvives(t *testing.T) {
	a, b := tcpPair(t)
	cs, ss := newSessionPair(t, a, b, func(st *Stream) {
		_, _ = st.Write([]byte("answer"))
		_ = st.CloseWrite([]byte("trailer"))
	})
	st, err := cs.Open(bg, 1, nil)
	assert.NilError(t, err)
	for err == nil { // until the reset arrives
		_, err = st.Write(make([]byte, 1000))
	}
	assertReset(t, err, CodeDone, true)
	assert.NilError(t, ss.Close())
	<-cs.Done()
	p, err := io.ReadAll(st)
	assert.NilError(t, err)
	assert.Equal(t, string(p), "answer")
	assert.Equal(t, string(st.Trailer()), "trailer")
}

func TestCancelResets(t *testing.T) {
	a, b := tcpPair(t)
	seen := make(chan error, 1)
	cs, ss := newSessionPair(t, a, b, func(st *Stream) {
		_, err := io.ReadAll(st)
		seen <- err
	})
	ctx, cancel := context.WithCancel(bg)
	st, err := cs.Open(ctx, 1, nil)
	assert.NilError(t, err)
	_, err = st.Write([]byte("half"))
	assert.NilError(t, err)
	cancel()
	_, err = st.Read(make([]byte, 1))
	assertReset(t, err, CodeCanceled, false)
	assertReset(t, <-seen, CodeCanceled, true)
	assert.Equal(t, cs.InFlight(), 0)
	assert.NilError(t, ss.Err())
}

// Late frames of a finished stream must not reach another stream, and their
// bytes must be returned to the session window.
func TestLateFrames(t *testing.T) {
	got := make(chan string, 2)
	raw, s := newRawPeer(t, func(st *Stream) {
		p, err := io.ReadAll(st)
		if err != nil {
			p = []byte("reset")
		}
		got <- string(p)
		_ = st.CloseWrite(nil)
	}, WithWindows(4<<10, 8<<10))
	writeFrames(t, raw, openFrame(1), Frame{TypeData, 1, []byte("early")}, Frame{TypeReset, 1, codePayload(CodeUser)})
	assert.Equal(t, <-got, "reset")
	writeFrames(t, raw, openFrame(3))
	for range 100 { // 100 KiB, far more than the session window
		writeFrames(t, raw, Frame{TypeData, 1, make([]byte, 1024)})
		if f := readUntil(t, raw, TypeWindow); f.Stream != 0 {
			t.Fatalf("window for stream %d", f.Stream)
		}
	}
	writeFrames(t, raw, Frame{TypeEnd, 1, nil}, Frame{TypeWindow, 1, windowPayload(9, 9)}, Frame{TypeReset, 1, codePayload(0)},
		Frame{TypeData, 3, []byte("mine")}, Frame{TypeEnd, 3, nil})
	assert.Equal(t, <-got, "mine")
	assert.NilError(t, s.Err())
}

// The unread bytes of a reset stream must be returned to the session window.
// Otherwise each reset would shrink the window permanently.
func TestResetReturnsCredit(t *testing.T) {
	raw, s := newRawPeer(t, func(st *Stream) { <-st.Context().Done() }, WithWindows(4<<10, 8<<10))
	for i := range uint32(20) {
		id := 2*i + 1
		writeFrames(t, raw, openFrame(id), Frame{TypeData, id, make([]byte, 4<<10)}, Frame{TypeReset, id, codePayload(CodeUser)})
		f := readUntil(t, raw, TypeWindow)
		assert.Equal(t, f.Stream, uint32(0))
		assert.DeepEqual(t, f.Payload, windowPayload(4<<10, 0))
	}
	assert.NilError(t, s.Err())
}

// Streams whose readers have stopped must not block another stream, even if
// they exhaust the session window.
func TestStalledReaders(t *testing.T) {
	a, b := tcpPair(t)
	cs, _ := newSessionPair(t, a, b, func(st *Stream) {
		if st.Kind() == 7 {
			echo(st)
			return
		}
		_ = st.SendHead(nil)
		<-st.Context().Done()
	}, WithWindows(16<<10, 64<<10))
	for range 10 {
		st, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		go func() { _, _ = st.Write(make([]byte, 1<<20)) }()
	}
	waitFor(t, cs, func() bool { return cs.sendWindow == 0 && len(cs.blocked) > 0 })
	for range 10 {
		assert.NilError(t, exchange(cs, []byte("head"), make([]byte, 100<<10)))
	}
}

// waitFor polls until cond, which is called with s.mu held, returns true.
func waitFor(t testing.TB, s *Session, cond func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		s.mu.Lock()
		ok := cond()
		s.mu.Unlock()
		if ok {
			return
		}
		assert.Assert(t, time.Now().Before(limit), "condition not reached within 10 s")
	}
}

// Pings, window frames and resets must not wait behind queued data, and the
// data of a stream must still follow its open frame.
func TestControlOvertakesBulk(t *testing.T) {
	var sent bytes.Buffer
	s := newTestSession(nil)
	s.conn = bufferConn{buf: &sent}
	for range bulkQueueFrames {
		s.bulk.TryPush(newOutFrame(TypeData, 2, 0, make([]byte, maxDataBytes)))
	}
	s.control.TryPush(newOutFrame(TypeOpen, 2, 1, nil))
	s.pending = pendingFrames{ping: true, pong: true, windowUpdate: 1, resets: []pendingReset{{1, CodeStalled}}}
	flushed := make(chan struct{})
	s.flushed = flushed
	s.wakeWriter()
	ended := make(chan error)
	go func() { ended <- s.writeLoop() }()
	<-flushed
	s.fail(errors.New("test ends"))
	<-ended
	for _, typ := range []Type{TypePing, TypePong, TypeWindow, TypeOpen, TypeReset, TypeData} {
		f, err := ReadFrame(&sent)
		assert.NilError(t, err)
		assert.Equal(t, f.Type, typ)
	}
}

// bufferConn is a connection that records written bytes in buf.
type bufferConn struct {
	net.Conn
	buf *bytes.Buffer
}

func (c bufferConn) Write(p []byte) (int, error) { return c.buf.Write(p) }

func (bufferConn) Close() error { return nil }

// Opens above the stream limit must be refused without calling the handler. A
// peer that keeps opening streams without reading must not make the session's
// memory grow.
func TestOpenFlood(t *testing.T) {
	var served atomic.Int64
	raw, s := newRawPeer(t, func(st *Stream) {
		served.Add(1)
		<-st.Context().Done()
	}, WithMaxStreams(8))
	for i := range uint32(9) {
		writeFrames(t, raw, openFrame(2*i+1))
	}
	f := readUntil(t, raw, TypeReset)
	assert.Equal(t, f.Stream, uint32(17))
	assert.DeepEqual(t, f.Payload, codePayload(CodeRefused))
	assert.Equal(t, s.InFlight(), 8)
	var err error
	for i := uint32(19); err == nil; i += 2 { // the test no longer reads
		err = WriteFrame(raw, openFrame(i))
	}
	<-s.Done()
	assert.ErrorContains(t, s.Err(), "faster than they can be refused")
	// The handlers run in goroutines that may start after the end of the session.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := served.Load(); n < 8 {
			return poll.Continue("%d streams served", n)
		}
		return poll.Success()
	})
	assert.Equal(t, served.Load(), int64(8))
}

// Open must refuse streams above the peer's limit without sending them.
func TestOwnStreamLimit(t *testing.T) {
	a, b := tcpPair(t)
	cs, _ := newSessionPair(t, a, b, func(st *Stream) { <-st.Context().Done() }, WithMaxStreams(2))
	for range 2 {
		_, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
	}
	_, err := cs.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
}

// Each protocol violation must end the session with a WireError and without a
// panic.
func TestViolations(t *testing.T) {
	big := bytes.Repeat([]byte{1}, 16<<10)
	for _, c := range []struct {
		name   string
		frames []Frame
		text   string
	}{
		{"hello", []Frame{{TypeHello, 0, nil}}, "hello"},
		{"open twice", []Frame{openFrame(1), openFrame(1)}, "out of order"},
		{"open backwards", []Frame{openFrame(5), openFrame(3)}, "out of order"},
		{"open of own number", []Frame{openFrame(2)}, "out of order"},
		{"open of zero", []Frame{openFrame(0)}, "out of order"},
		{"open without kind", []Frame{{TypeOpen, 1, nil}}, "kind"},
		{"never opened", []Frame{openFrame(1), {TypeData, 3, big[:1]}}, "never opened"},
		{"never opened here", []Frame{{TypeData, 2, big[:1]}}, "never opened"},
		{"head by opener", []Frame{openFrame(1), {TypeHead, 1, nil}}, "out of order"},
		{"large trailer", []Frame{openFrame(1), {TypeEnd, 1, make([]byte, MaxHeadBytes+1)}}, "too large"},
		{"data after end", []Frame{openFrame(1), {TypeEnd, 1, nil}, {TypeData, 1, big[:1]}}, "after the end"},
		{"end after end", []Frame{openFrame(1), {TypeEnd, 1, nil}, {TypeEnd, 1, nil}}, "after the end"},
		{"empty data", []Frame{openFrame(1), {TypeData, 1, nil}}, "empty"},
		{"data without stream", []Frame{{TypeData, 0, big[:1]}}, "without a stream"},
		{"stream window", []Frame{openFrame(1), {TypeData, 1, big}, {TypeData, 1, big[:1]}}, "window of stream"},
		{"session window", []Frame{
			openFrame(1), openFrame(3), openFrame(5),
			{TypeData, 1, big},
			{TypeData, 3, big},
			{TypeData, 5, big[:1]},
		}, "session window"},
		{"allowance", []Frame{openFrame(1), {TypeReservedData, 1, big[:streamReserve]}, {TypeReservedData, 1, big[:1]}}, "window of stream"},
		{"credit", []Frame{openFrame(1), {TypeWindow, 1, windowPayload(1, 0)}}, "exceeded"},
		{"own credit", []Frame{openFrame(1), {TypeWindow, 1, windowPayload(1, 2)}}, "malformed"},
		{"session credit", []Frame{{TypeWindow, 0, windowPayload(1, 0)}}, "exceeded"},
		{"zero credit", []Frame{openFrame(1), {TypeWindow, 1, windowPayload(0, 0)}}, "malformed"},
		{"short window", []Frame{{TypeWindow, 0, codePayload(1)}}, "malformed"},
		{"short reset", []Frame{openFrame(1), {TypeReset, 1, nil}}, "malformed"},
		{"short ping", []Frame{{TypePing, 0, nil}}, "malformed"},
		{"ping on a stream", []Frame{{TypePing, 1, big[:8]}}, "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, s := newRawPeer(t, func(st *Stream) { <-st.Context().Done() }, WithWindows(16<<10, 32<<10))
			writeFrames(t, raw, c.frames...)
			<-s.Done()
			var we *WireError
			assert.Assert(t, errors.As(s.Err(), &we), "%v", s.Err())
			assert.ErrorContains(t, we, c.text)
		})
	}
}

// A length above the limit must be rejected before the payload is allocated.
func TestOversizedFrame(t *testing.T) {
	for _, n := range []uint32{0, 4, MaxPayloadBytes + 6, 1 << 31, 1<<32 - 1} {
		raw, s := newRawPeer(t, nil)
		_, err := raw.Write(append(binary.BigEndian.AppendUint32(nil, n), 4, 0, 0, 0, 1))
		assert.NilError(t, err)
		<-s.Done()
		assert.ErrorContains(t, s.Err(), "out of range")
	}
}
