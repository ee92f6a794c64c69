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

func wire(frames ...Frame) []byte {
	var b bytes.Buffer
	for _, f := range frames {
		_ = WriteFrame(&b, f)
	}
	return b.Bytes()
}

// Any bytes must give frames that are written back unchanged, or an error, and
// never a panic or a payload beyond the limit.
func FuzzReadFrame(f *testing.F) {
	f.Add(wire(open(1), Frame{TypeData, 1, []byte("body")}, Frame{TypeEnd, 1, []byte("trailer")}))
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
			assert.Assert(t, bytes.Equal(wire(fr), p[at:len(p)-r.Len()]))
		}
	})
}

// bareSession is a server session without goroutines: the fuzz test calls
// receive itself and sees its state after each frame.
func bareSession(h Handler) *Session {
	o, _ := newOptions(named("b", WithHandler(h), WithWindows(16<<10, 32<<10), WithMaxStreams(8)))
	peer := hello{Name: "fuzz", StreamWindow: 16 << 10, SessionWindow: 32 << 10, MaxStreams: 8}
	return makeSession(sink{buf: new(bytes.Buffer)}, o, peer, false)
}

// Any sequence of frames must end in a *WireError or leave a state within all
// limits: no panic, no more streams, unread bytes or pending resets than allowed.
func FuzzSession(f *testing.F) {
	body := []byte("body")
	f.Add(wire(open(1), Frame{TypeData, 1, body}, Frame{TypeEnd, 1, nil}, Frame{TypeReset, 1, code(1)}))
	f.Add(wire(open(1), open(3), Frame{TypeReservedData, 3, body}, Frame{TypeWindow, 3, window(1, 1)}))
	f.Add(wire(Frame{TypePing, 0, make([]byte, 8)}, Frame{TypeReset, 0, code(CodeRefused)},
		Frame{TypeWindow, 0, window(1, 0)}))
	f.Add(wire(Frame{TypeHead, 2, body}, Frame{TypeData, 2, body}, Frame{TypeEnd, 2, body}))
	f.Add(wire(open(1), open(3), open(5), open(7), open(9), open(11), open(13), open(15),
		open(17), Frame{TypeData, 17, body}))
	f.Fuzz(func(t *testing.T, p []byte) {
		s := bareSession(func(st *Stream) { <-st.ctx.Done() })
		defer s.fail(errors.New("end of input"))
		own, err := s.register(bg, 1) // number 2, so that answers reach a stream
		assert.NilError(t, err)
		own.queued = true
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
	assert.Assert(t, len(s.notes.resets) <= s.opt.MaxStreams+1)
	assert.Assert(t, s.unread >= 0 && s.unread <= s.opt.SessionWindow)
	assert.Assert(t, s.credit >= 0 && s.credit <= s.peer.SessionWindow)
	shared := 0
	for id, st := range s.streams {
		assert.Assert(t, st.id == id && !st.finished)
		assert.Assert(t, st.in.n <= s.opt.StreamWindow && st.shared <= st.in.n)
		assert.Assert(t, st.room >= 0 && st.roomOwn >= 0)
		assert.Assert(t, st.credit <= s.peer.StreamWindow && st.own <= allowance)
		shared += st.shared
	}
	assert.Assert(t, s.unread >= shared+s.consumed) // a finished stream may have unread bytes
}

// Any bytes on a running session must neither panic nor keep its goroutines
// from ending once the connection is closed.
func FuzzConnection(f *testing.F) {
	f.Add(wire(open(1), Frame{TypeData, 1, []byte("body")}, Frame{TypeEnd, 1, nil}))
	f.Add(wire(open(1), Frame{TypeEnd, 1, nil}, Frame{TypeEnd, 1, nil}))
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
			t.Fatal("session didn't end")
		}
		assert.NilError(t, s.Close())
	})
}
