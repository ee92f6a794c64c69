package frame

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func encodeFrames(frames ...Frame) []byte {
	var b bytes.Buffer
	for _, f := range frames {
		_ = WriteFrame(&b, f)
	}
	return b.Bytes()
}

// Any input must decode to frames that encode to the same bytes, or return an
// error. It must never cause a panic or a payload above the limit.
func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrames(openFrame(1), Frame{TypeData, 1, []byte("body")}, Frame{TypeEnd, 1, []byte("trailer")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 4, 0, 0, 0, 1})
	f.Add([]byte{0, 0, 0, 6, 1, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, p []byte) {
		r := bytes.NewReader(p)
		for {
			at := len(p) - r.Len()
			fr, err := ReadFrame(r)
			if err != nil {
				var we *WireError
				assert.Assert(t, errors.As(err, &we) || err == io.EOF || err == io.ErrUnexpectedEOF, "%v", err)
				return
			}
			assert.Assert(t, len(fr.Payload) <= MaxPayloadBytes)
			assert.Assert(t, bytes.Equal(encodeFrames(fr), p[at:len(p)-r.Len()]))
		}
	})
}

// newTestSession returns a server session without goroutines. The test calls
// receive itself and can check the state after each frame.
func newTestSession(h Handler) *Session {
	o, _ := newOptions(named("b", WithHandler(h), WithWindows(16<<10, 32<<10), WithMaxStreams(8)))
	peer := hello{Name: "fuzz", StreamWindow: 16 << 10, SessionWindow: 32 << 10, MaxStreams: 8}
	return makeSession(bufferConn{buf: new(bytes.Buffer)}, o, peer, false)
}

// Any sequence of frames must end with a *WireError or keep the state within
// all limits: no panic, and no more streams, unread bytes or pending resets
// than allowed.
func FuzzSession(f *testing.F) {
	body := []byte("body")
	f.Add(encodeFrames(openFrame(1), Frame{TypeData, 1, body}, Frame{TypeEnd, 1, nil}, Frame{TypeReset, 1, codePayload(1)}))
	f.Add(encodeFrames(openFrame(1), openFrame(3), Frame{TypeReservedData, 3, body}, Frame{TypeWindow, 3, windowPayload(1, 1)}))
	f.Add(encodeFrames(Frame{TypePing, 0, make([]byte, 8)}, Frame{TypeReset, 0, codePayload(CodeRefused)},
		Frame{TypeWindow, 0, windowPayload(1, 0)}))
	f.Add(encodeFrames(Frame{TypeHead, 2, body}, Frame{TypeData, 2, body}, Frame{TypeEnd, 2, body}))
	f.Add(encodeFrames(openFrame(1), openFrame(3), openFrame(5), openFrame(7), openFrame(9), openFrame(11), openFrame(13), openFrame(15),
		openFrame(17), Frame{TypeData, 17, body}))
	f.Fuzz(func(t *testing.T, p []byte) {
		s := newTestSession(func(st *Stream) { <-st.ctx.Done() })
		defer s.fail(errors.New("end of input"))
		local, err := s.register(bg, 1) // stream 2, so that response frames have a valid stream
		assert.NilError(t, err)
		local.active = true
		s.opening = false
		for r := bytes.NewReader(p); ; {
			fr, err := ReadFrame(r)
			if err != nil {
				return
			}
			if err := s.receive(fr); err != nil {
				assert.Assert(t, errors.As(err, new(*WireError)), "%v", err)
				return
			}
			checkState(t, s)
		}
	})
}

func checkState(t *testing.T, s *Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, len(s.streams) <= s.opt.MaxStreams+1)
	assert.Assert(t, len(s.pending.resets) <= s.opt.MaxStreams+1)
	assert.Assert(t, s.unreported >= 0 && s.unreported <= s.opt.SessionWindow)
	assert.Assert(t, s.sendWindow >= 0 && s.sendWindow <= s.peer.SessionWindow)
	inSession := 0
	for id, st := range s.streams {
		assert.Assert(t, st.id == id && !st.finished)
		assert.Assert(t, st.unread.size <= s.opt.StreamWindow && st.unreadInSession <= st.unread.size)
		assert.Assert(t, st.recvWindow >= 0 && st.recvReserve >= 0)
		assert.Assert(t, st.sendWindow <= s.peer.StreamWindow && st.sendReserve <= streamReserve)
		inSession += st.unreadInSession
	}
	assert.Assert(t, s.unreported >= inSession+s.consumed) // a finished stream may have unread bytes
}

// Any input on a running session must not cause a panic, and the session's
// goroutines must end once the connection is closed.
func FuzzConnection(f *testing.F) {
	f.Add(encodeFrames(openFrame(1), Frame{TypeData, 1, []byte("body")}, Frame{TypeEnd, 1, nil}))
	f.Add(encodeFrames(openFrame(1), Frame{TypeEnd, 1, nil}, Frame{TypeEnd, 1, nil}))
	f.Fuzz(func(t *testing.T, p []byte) {
		a, b := net.Pipe()
		o, _ := newOptions(named("raw"))
		go func() {
			if _, _, err := handshake(bg, a, &o, true); err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, a) }()
			_, _ = a.Write(p)
			_ = a.Close()
		}()
		s, err := Server(bg, b, echo, named("b")...)
		assert.NilError(t, err)
		select {
		case <-s.Done():
		case <-time.After(10 * time.Second):
			t.Fatal("the session did not end within 10 s")
		}
		assert.NilError(t, s.Close())
	})
}
