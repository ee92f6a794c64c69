package frame

import (
	"bufio"
	"context"
	"encoding/binary"
)

// readBuffer is the number of bytes read from the connection at once; larger
// payloads are read without the buffer. A node has sessions with hundreds of
// peers, and 64 KiB for each buffer would exceed its memory.
const readBuffer = 8 << 10

// readLoop reads frames until the session ends. It never waits for a stream's
// reader, for room in a ring or for the writer.
func (s *Session) readLoop() error {
	fr := frameReader{r: bufio.NewReaderSize(s.conn, readBuffer), limit: MaxPayloadBytes}
	for {
		f, err := fr.next()
		if err != nil {
			return err
		}
		s.heard.Store(int64(s.sinceStart()))
		if err := s.receive(f); err != nil {
			return err
		}
	}
}

// receive handles one frame. The payload is only valid during the call.
func (s *Session) receive(f Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	switch f.Type {
	case TypePing, TypePong:
		return s.receivePing(f)
	case TypeOpen:
		return s.receiveOpen(f)
	case TypeHello:
		return wireErrorf("hello after the handshake")
	}
	if f.Stream == 0 {
		return s.receiveSession(f)
	}
	if f.Type == TypeData {
		if err := s.charge(len(f.Payload)); err != nil {
			return err
		}
	}
	st := s.streams[f.Stream]
	if st == nil {
		return s.receiveLate(f)
	}
	st.moved = s.sinceStart()
	return st.receive(f)
}

func (s *Session) receivePing(f Frame) error {
	if f.Stream != 0 || len(f.Payload) != pingBytes {
		return wireErrorf("malformed ping or pong")
	}
	if f.Type == TypePing {
		s.notes.pong = true
		copy(s.notes.echo[:], f.Payload)
		s.wakeWriter()
	}
	return nil
}

// receiveSession handles frames that concern the whole session.
func (s *Session) receiveSession(f Frame) error {
	switch f.Type {
	case TypeWindow:
		n, own, err := parseWindow(f.Payload)
		if err != nil {
			return err
		}
		if own != 0 || s.credit+n > s.peer.SessionWindow {
			return wireErrorf("session window exceeded")
		}
		s.credit += n
		for _, st := range s.starved {
			st.starving = false
			st.writable.Broadcast()
		}
		s.starved = s.starved[:0]
		return nil
	case TypeReset:
		c, err := parseCode(f.Payload)
		if err != nil {
			return err
		}
		s.receiveGoAway(c)
		return nil
	}
	return wireErrorf("frame of type %d without a stream", f.Type)
}

func parseCode(p []byte) (Code, error) {
	if len(p) != codeBytes {
		return 0, wireErrorf("malformed reset")
	}
	return Code(binary.BigEndian.Uint32(p)), nil
}

// parseWindow returns the number of returned bytes and how many of them were
// own data.
func parseWindow(p []byte) (n, own int, err error) {
	if len(p) == windowBytes {
		n = int(binary.BigEndian.Uint32(p))
		own = int(binary.BigEndian.Uint32(p[codeBytes:]))
	}
	if n == 0 || own > n {
		return 0, 0, wireErrorf("malformed window")
	}
	return n, own, nil
}

// receiveGoAway handles both steps of a shutdown: the peer accepts no new
// streams (CodeRefused), which is confirmed when no open frame is on its way to
// the writer; or the peer confirms that (CodeDone).
func (s *Session) receiveGoAway(c Code) {
	if c == CodeDone {
		s.peerQuiet = true
		s.checkQuiet()
		return
	}
	s.peerDrains = true
	s.confirmGoAway()
}

func (s *Session) confirmGoAway() {
	if s.peerDrains && !s.opening {
		s.notes.goneAck = true
		s.wakeWriter()
	}
}

// charge counts received body bytes against the session window.
func (s *Session) charge(n int) error {
	s.unread += n
	if s.unread > s.opt.SessionWindow {
		return wireErrorf("peer exceeds the session window")
	}
	return nil
}

// release returns bytes to the session window that are no longer buffered. It
// waits for an eighth of the window, so that streams whose readers stopped can
// hold the rest before they delay other streams.
func (s *Session) release(n int) {
	s.consumed += n
	if s.consumed < s.opt.SessionWindow/8 || s.err != nil {
		return
	}
	s.notes.credit += s.consumed
	s.unread -= s.consumed
	s.consumed = 0
	s.wakeWriter()
}

// receiveLate drops a frame of a finished stream. A number that was never
// opened is an error.
func (s *Session) receiveLate(f Frame) error {
	last, own := s.lastPeer, s.isOwn(f.Stream)
	if own {
		last = s.lastOwn
	}
	if last == ^uint32(0) || f.Stream > last {
		return wireErrorf("frame of type %d for stream %d, which was never opened", f.Type, f.Stream)
	}
	if f.Type == TypeData {
		s.release(len(f.Payload))
	}
	return nil
}

// isOwn reports whether the number belongs to a stream that this side opens.
func (s *Session) isOwn(stream uint32) bool {
	return (stream%2 == 1) == s.client
}

func (s *Session) receiveOpen(f Frame) error {
	if f.Stream == 0 || s.isOwn(f.Stream) || (s.lastPeer != ^uint32(0) && f.Stream <= s.lastPeer) {
		return wireErrorf("open of stream %d is out of order", f.Stream)
	}
	if len(f.Payload) == 0 {
		return wireErrorf("open without a kind")
	}
	s.lastPeer = f.Stream
	if s.draining || s.opt.Handler == nil || len(s.streams)-s.opened >= s.opt.MaxStreams {
		if len(s.notes.resets) > s.opt.MaxStreams {
			return wireErrorf("peer opens streams faster than they can be refused")
		}
		s.notes.resets = append(s.notes.resets, resetNote{f.Stream, CodeRefused})
		s.wakeWriter()
		return nil
	}
	st := newStream(context.Background(), s, f.Stream, f.Payload[0], false)
	st.head = append([]byte(nil), f.Payload[1:]...)
	st.queued = true
	s.streams[st.id] = st
	go st.serve(s.opt.Handler)
	return nil
}
