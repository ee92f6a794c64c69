package frame

import (
	"bufio"
	"context"
	"encoding/binary"
)

// readBufferBytes is the size of the read buffer of a session. Larger payloads
// bypass it. Each session has its own buffer and a node has sessions with
// hundreds of peers; with 64 KiB for each buffer they would exceed the node's
// memory limit.
const readBufferBytes = 8 << 10

// readLoop reads frames until the session ends. It never blocks on the reader
// of a stream, on a full queue or on the writer.
func (s *Session) readLoop() error {
	fr := frameReader{r: bufio.NewReaderSize(s.conn, readBufferBytes), limit: MaxPayloadBytes}
	for {
		f, err := fr.next()
		if err != nil {
			return err
		}
		s.lastReceived.Store(int64(s.sinceStart()))
		if err := s.receive(f); err != nil {
			return err
		}
	}
}

// receive handles one frame. It doesn't retain the payload.
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
		if err := s.countReceived(len(f.Payload)); err != nil {
			return err
		}
	}
	st := s.streams[f.Stream]
	if st == nil {
		return s.receiveLate(f)
	}
	st.lastProgress = s.sinceStart()
	return st.receive(f)
}

func (s *Session) receivePing(f Frame) error {
	if f.Stream != 0 || len(f.Payload) != pingBytes {
		return wireErrorf("malformed ping or pong")
	}
	if f.Type == TypePing {
		s.pending.pong = true
		copy(s.pending.echo[:], f.Payload)
		s.wakeWriter()
	}
	return nil
}

// receiveSession handles frames on stream 0, which apply to the session.
func (s *Session) receiveSession(f Frame) error {
	switch f.Type {
	case TypeWindow:
		n, reserved, err := parseWindow(f.Payload)
		if err != nil {
			return err
		}
		if reserved != 0 || s.sendWindow+n > s.peer.SessionWindow {
			return wireErrorf("session window exceeded")
		}
		s.sendWindow += n
		for _, st := range s.blocked {
			st.blocked = false
			st.writable.Broadcast()
		}
		s.blocked = s.blocked[:0]
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

// parseWindow decodes a window frame. It returns the number of bytes that the
// peer consumed and how many of them were reserved data.
func parseWindow(p []byte) (n, reserved int, err error) {
	if len(p) == windowBytes {
		n = int(binary.BigEndian.Uint32(p))
		reserved = int(binary.BigEndian.Uint32(p[codeBytes:]))
	}
	if n == 0 || reserved > n {
		return 0, 0, wireErrorf("malformed window")
	}
	return n, reserved, nil
}

// receiveGoAway handles both steps of a shutdown. CodeDone confirms the go-away
// of this side: the peer opens no more streams. Any other code, normally
// CodeRefused, is the peer's go-away: it accepts no new streams. This side
// confirms it once no open frame is waiting to be queued for the writer.
func (s *Session) receiveGoAway(c Code) {
	if c == CodeDone {
		s.goAwayAcked = true
		s.checkDrained()
		return
	}
	s.peerDraining = true
	s.confirmGoAway()
}

func (s *Session) confirmGoAway() {
	if s.peerDraining && !s.opening {
		s.pending.goAwayAck = true
		s.wakeWriter()
	}
}

// countReceived counts received body bytes against the session window.
func (s *Session) countReceived(n int) error {
	s.unreported += n
	if s.unreported > s.opt.SessionWindow {
		return wireErrorf("peer exceeds the session window")
	}
	return nil
}

// countConsumed records n bytes as no longer buffered, and requests a window
// frame once an eighth of the session window has accumulated. Up to an eighth
// of the window is thus withheld from the peer, so streams whose readers have
// stopped can occupy the other seven eighths before they delay other streams.
func (s *Session) countConsumed(n int) {
	s.consumed += n
	if s.consumed < s.opt.SessionWindow/8 || s.err != nil {
		return
	}
	s.pending.windowUpdate += s.consumed
	s.unreported -= s.consumed
	s.consumed = 0
	s.wakeWriter()
}

// receiveLate discards a frame of a finished stream. It returns an error if the
// stream was never opened.
func (s *Session) receiveLate(f Frame) error {
	last, local := s.lastPeer, s.isLocal(f.Stream)
	if local {
		last = s.lastLocal
	}
	if last == ^uint32(0) || f.Stream > last {
		return wireErrorf("frame of type %d for stream %d, which was never opened", f.Type, f.Stream)
	}
	if f.Type == TypeData {
		s.countConsumed(len(f.Payload))
	}
	return nil
}

// isLocal reports whether the number belongs to a stream that this side opens.
func (s *Session) isLocal(stream uint32) bool {
	return (stream%2 == 1) == s.client
}

func (s *Session) receiveOpen(f Frame) error {
	if f.Stream == 0 || s.isLocal(f.Stream) || (s.lastPeer != ^uint32(0) && f.Stream <= s.lastPeer) {
		return wireErrorf("open of stream %d is out of order", f.Stream)
	}
	if len(f.Payload) == 0 {
		return wireErrorf("open without a kind")
	}
	s.lastPeer = f.Stream
	if s.draining || s.opt.Handler == nil || len(s.streams)-s.localStreams >= s.opt.MaxStreams {
		if len(s.pending.resets) > s.opt.MaxStreams {
			return wireErrorf("peer opens streams faster than they can be refused")
		}
		s.pending.resets = append(s.pending.resets, pendingReset{f.Stream, CodeRefused})
		s.wakeWriter()
		return nil
	}
	st := newStream(context.Background(), s, f.Stream, f.Payload[0], false)
	st.head = append([]byte(nil), f.Payload[1:]...)
	st.active = true
	s.streams[st.id] = st
	go st.serve(s.opt.Handler)
	return nil
}
