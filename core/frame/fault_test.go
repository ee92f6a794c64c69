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
)

// valve is a connection that swallows all bytes while it is shut, as a device
// does that lost its state.
type valve struct {
	net.Conn
	shut *atomic.Bool
}

func (v valve) Write(p []byte) (int, error) {
	if v.shut.Load() {
		return len(p), nil
	}
	return v.Conn.Write(p)
}

// Close doesn't reach the far side while the valve is shut.
func (v valve) Close() error {
	if v.shut.Load() {
		return v.Conn.SetDeadline(time.Unix(1, 0))
	}
	return v.Conn.Close()
}

// rawPeer performs the handshake as a client and leaves the frames to the test.
func rawPeer(t testing.TB, h Handler, opts ...Option) (net.Conn, *Session) {
	t.Helper()
	a, b := tcpPair(t)
	o, err := newOptions(named("raw"))
	assert.NilError(t, err)
	shaken := make(chan error, 1)
	go func() {
		_, _, err := handshake(bg, a, &o, true)
		shaken <- err
	}()
	s, err := Server(bg, b, h, named("b", opts...)...)
	assert.NilError(t, err)
	assert.NilError(t, <-shaken)
	t.Cleanup(func() {
		closeAll(s)
		a.Close()
	})
	return a, s
}

func put(t testing.TB, w io.Writer, frames ...Frame) {
	t.Helper()
	for _, f := range frames {
		assert.NilError(t, WriteFrame(w, f))
	}
}

// await reads frames up to one of type typ.
func await(t testing.TB, r io.Reader, typ Type) Frame {
	t.Helper()
	for {
		f, err := ReadFrame(r)
		assert.NilError(t, err)
		if f.Type == typ {
			return f
		}
	}
}

func code(c Code) []byte { return binary.BigEndian.AppendUint32(nil, uint32(c)) }

func window(n, own uint32) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, n), own)
}

func open(id uint32) Frame { return Frame{Type: TypeOpen, Stream: id, Payload: []byte{1}} }

func assertSilent(t testing.TB, err error) {
	t.Helper()
	var se *SessionError
	assert.Assert(t, errors.As(err, &se), "%v", err)
	assert.Assert(t, se.Unreachable)
}

// A connection that loses all frames must end after exactly the silence limit,
// and a stream in flight with it; a session with pings only must stay.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shut atomic.Bool
		a, b := net.Pipe()
		cs, ss := pair(t, valve{a, &shut}, valve{b, &shut}, func(st *Stream) { <-st.Context().Done() })
		st, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
		time.Sleep(DefaultProgressTimeout/2 - time.Second/2)
		assert.NilError(t, cs.Err())
		assert.NilError(t, ss.Err())
		shut.Store(true)
		began := time.Now()
		_, err = st.Read(make([]byte, 1))
		assertSilent(t, err)
		assertSilent(t, context.Cause(st.Context()))
		quiet := time.Since(began) + time.Second/2 // the last pong came half a second before
		assert.Equal(t, quiet, DefaultKeepaliveTimeout)
		<-ss.Done()
		assertSilent(t, ss.Err())
	})
}

// A process that was paused must not take its own pause for silence, and a
// watcher that is only a little late must not extend the limit.
func TestPauseIsNoSilence(t *testing.T) {
	s := bareSession(nil)
	s.forgivePause(10*time.Second, 9*time.Second)
	assert.Equal(t, s.heard.Load(), int64(0))
	s.forgivePause(10*time.Second, 8*time.Second)
	assert.Equal(t, s.heard.Load(), int64(10*time.Second))
}

// Pings must not hide a stream that is stuck, and an active one must stay.
func TestProgressTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		cs, _ := pair(t, a, b, func(st *Stream) {
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

// I7: no way to lose the end of a body may read as io.EOF.
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
			read := make(chan struct{})
			cs, _ := pair(t, a, b, func(st *Stream) {
				_, _ = st.Write([]byte("half"))
				<-read
				c.cut(st)
			})
			st, err := cs.Open(bg, 1, nil)
			assert.NilError(t, err)
			_, err = io.ReadFull(st, make([]byte, 4))
			assert.NilError(t, err)
			close(read)
			_, err = st.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
			assert.Assert(t, st.Trailer() == nil)
			<-st.Context().Done()
		})
	}
}

// A complete answer must stay readable when the server doesn't need the rest of
// the request, or the connection ends right after it.
func TestCompleteAnswerSurvives(t *testing.T) {
	a, b := tcpPair(t)
	cs, ss := pair(t, a, b, func(st *Stream) {
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
	cs, ss := pair(t, a, b, func(st *Stream) {
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

// Late frames of a finished stream must reach no other stream and give their
// bytes back to the session window.
func TestLateFrames(t *testing.T) {
	got := make(chan string, 2)
	raw, s := rawPeer(t, func(st *Stream) {
		p, err := io.ReadAll(st)
		if err != nil {
			p = []byte("reset")
		}
		got <- string(p)
		_ = st.CloseWrite(nil)
	}, WithWindows(4<<10, 8<<10))
	put(t, raw, open(1), Frame{TypeData, 1, []byte("early")}, Frame{TypeReset, 1, code(CodeUser)})
	assert.Equal(t, <-got, "reset")
	put(t, raw, open(3))
	for range 100 { // 100 KiB, far more than the session window
		put(t, raw, Frame{TypeData, 1, make([]byte, 1024)})
		if f := await(t, raw, TypeWindow); f.Stream != 0 {
			t.Fatalf("window for stream %d", f.Stream)
		}
	}
	put(t, raw, Frame{TypeEnd, 1, nil}, Frame{TypeWindow, 1, window(9, 9)}, Frame{TypeReset, 1, code(0)},
		Frame{TypeData, 3, []byte("mine")}, Frame{TypeEnd, 3, nil})
	assert.Equal(t, <-got, "mine")
	assert.NilError(t, s.Err())
}

// Unread bytes of a reset stream must go back to the session window, or each
// reset would make it smaller for good.
func TestResetReturnsCredit(t *testing.T) {
	raw, s := rawPeer(t, func(st *Stream) { <-st.Context().Done() }, WithWindows(4<<10, 8<<10))
	for i := range uint32(20) {
		id := 2*i + 1
		put(t, raw, open(id), Frame{TypeData, id, make([]byte, 4<<10)}, Frame{TypeReset, id, code(CodeUser)})
		f := await(t, raw, TypeWindow)
		assert.Equal(t, f.Stream, uint32(0))
		assert.DeepEqual(t, f.Payload, window(4<<10, 0))
	}
	assert.NilError(t, s.Err())
}

// Streams whose readers stopped, more than the session window holds, must not
// block another one.
func TestStalledReaders(t *testing.T) {
	a, b := tcpPair(t)
	cs, _ := pair(t, a, b, func(st *Stream) {
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
	waitFor(t, cs, func() bool { return cs.credit == 0 && len(cs.starved) > 0 })
	for range 10 {
		assert.NilError(t, exchange(cs, []byte("head"), make([]byte, 100<<10)))
	}
}

// waitFor yields until cond holds under the lock of the session.
func waitFor(t testing.TB, s *Session, cond func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
		s.mu.Lock()
		ok := cond()
		s.mu.Unlock()
		if ok {
			return
		}
		assert.Assert(t, time.Now().Before(limit), "condition not reached")
	}
}

// Pings, windows and resets must not wait behind queued data, and the data of a
// stream must still follow its open frame.
func TestControlOvertakesBulk(t *testing.T) {
	var sent bytes.Buffer
	s := bareSession(nil)
	s.conn = sink{buf: &sent}
	for range bulkRing {
		s.bulk.TryPush(newOutFrame(TypeData, 2, 0, make([]byte, dataBytes)))
	}
	s.control.TryPush(newOutFrame(TypeOpen, 2, 1, nil))
	s.notes = notes{ping: true, pong: true, credit: 1, resets: []resetNote{{1, CodeStalled}}}
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

// sink is a connection that keeps what is written.
type sink struct {
	net.Conn
	buf *bytes.Buffer
}

func (c sink) Write(p []byte) (int, error) { return c.buf.Write(p) }

func (sink) Close() error { return nil }

// Opens above the limit must be refused without a handler, and a peer that
// opens on and on without reading must not make the session grow.
func TestOpenFlood(t *testing.T) {
	var served atomic.Int64
	raw, s := rawPeer(t, func(st *Stream) {
		served.Add(1)
		<-st.Context().Done()
	}, WithMaxStreams(8))
	for i := range uint32(9) {
		put(t, raw, open(2*i+1))
	}
	f := await(t, raw, TypeReset)
	assert.Equal(t, f.Stream, uint32(17))
	assert.DeepEqual(t, f.Payload, code(CodeRefused))
	assert.Equal(t, s.InFlight(), 8)
	var err error
	for i := uint32(19); err == nil; i += 2 { // nothing is read any more
		err = WriteFrame(raw, open(i))
	}
	<-s.Done()
	assert.ErrorContains(t, s.Err(), "faster than they can be refused")
	assert.Equal(t, served.Load(), int64(8))
}

// The opener must keep to the peer's limit by itself.
func TestOwnStreamLimit(t *testing.T) {
	a, b := tcpPair(t)
	cs, _ := pair(t, a, b, func(st *Stream) { <-st.Context().Done() }, WithMaxStreams(2))
	for range 2 {
		_, err := cs.Open(bg, 1, nil)
		assert.NilError(t, err)
	}
	_, err := cs.Open(bg, 1, nil)
	assertReset(t, err, CodeRefused, false)
}

// Each violation must end the session with a WireError and without a panic.
func TestViolations(t *testing.T) {
	big := bytes.Repeat([]byte{1}, 16<<10)
	for _, c := range []struct {
		name   string
		frames []Frame
		text   string
	}{
		{"hello", []Frame{{TypeHello, 0, nil}}, "hello"},
		{"open twice", []Frame{open(1), open(1)}, "out of order"},
		{"open backwards", []Frame{open(5), open(3)}, "out of order"},
		{"open of own number", []Frame{open(2)}, "out of order"},
		{"open of zero", []Frame{open(0)}, "out of order"},
		{"open without kind", []Frame{{TypeOpen, 1, nil}}, "kind"},
		{"never opened", []Frame{open(1), {TypeData, 3, big[:1]}}, "never opened"},
		{"never opened here", []Frame{{TypeData, 2, big[:1]}}, "never opened"},
		{"head by opener", []Frame{open(1), {TypeHead, 1, nil}}, "out of order"},
		{"large trailer", []Frame{open(1), {TypeEnd, 1, make([]byte, MaxHeadBytes+1)}}, "too large"},
		{"data after end", []Frame{open(1), {TypeEnd, 1, nil}, {TypeData, 1, big[:1]}}, "after the end"},
		{"end after end", []Frame{open(1), {TypeEnd, 1, nil}, {TypeEnd, 1, nil}}, "after the end"},
		{"empty data", []Frame{open(1), {TypeData, 1, nil}}, "empty"},
		{"data without stream", []Frame{{TypeData, 0, big[:1]}}, "without a stream"},
		{"stream window", []Frame{open(1), {TypeData, 1, big}, {TypeData, 1, big[:1]}}, "window of stream"},
		{"session window", []Frame{
			open(1), open(3), open(5),
			{TypeData, 1, big},
			{TypeData, 3, big},
			{TypeData, 5, big[:1]},
		}, "session window"},
		{"allowance", []Frame{open(1), {TypeReservedData, 1, big[:allowance]}, {TypeReservedData, 1, big[:1]}}, "window of stream"},
		{"credit", []Frame{open(1), {TypeWindow, 1, window(1, 0)}}, "exceeded"},
		{"own credit", []Frame{open(1), {TypeWindow, 1, window(1, 2)}}, "malformed"},
		{"session credit", []Frame{{TypeWindow, 0, window(1, 0)}}, "exceeded"},
		{"zero credit", []Frame{open(1), {TypeWindow, 1, window(0, 0)}}, "malformed"},
		{"short window", []Frame{{TypeWindow, 0, code(1)}}, "malformed"},
		{"short reset", []Frame{open(1), {TypeReset, 1, nil}}, "malformed"},
		{"short ping", []Frame{{TypePing, 0, nil}}, "malformed"},
		{"ping on a stream", []Frame{{TypePing, 1, big[:8]}}, "malformed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, s := rawPeer(t, func(st *Stream) { <-st.Context().Done() }, WithWindows(16<<10, 32<<10))
			put(t, raw, c.frames...)
			<-s.Done()
			var we *WireError
			assert.Assert(t, errors.As(s.Err(), &we), "%v", s.Err())
			assert.ErrorContains(t, we, c.text)
		})
	}
}

// A length above the limit must be refused before its payload is allocated.
func TestOversizedFrame(t *testing.T) {
	for _, n := range []uint32{0, 4, MaxPayloadBytes + 6, 1 << 31, 1<<32 - 1} {
		raw, s := rawPeer(t, nil)
		_, err := raw.Write(append(binary.BigEndian.AppendUint32(nil, n), 4, 0, 0, 0, 1))
		assert.NilError(t, err)
		<-s.Done()
		assert.ErrorContains(t, s.Err(), "out of range")
	}
}
