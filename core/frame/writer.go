package frame

import (
	"bufio"
	"encoding/binary"
)

const writeBufferBytes = 8 << 10 // small for the same reason as readBufferBytes

// outFrame is an outgoing frame. The payload is in block, or in payload if it
// exceeds the size of a large block.
type outFrame struct {
	typ     Type
	stream  uint32
	n       int // bytes used in block
	block   *block
	payload []byte
}

// newOutFrame returns a frame with a copy of p. For an open frame, kind
// precedes p in the payload.
func newOutFrame(t Type, stream uint32, kind uint8, p []byte) outFrame {
	f := outFrame{typ: t, stream: stream, n: len(p)}
	offset := 0
	if t == TypeOpen {
		f.n, offset = f.n+1, 1
	}
	if f.n == 0 {
		return f
	}
	var b []byte
	if f.n <= largeBlockBytes {
		f.block = getBlock(f.n)
		b = f.block.b
	} else {
		f.payload = make([]byte, f.n)
		b = f.payload
	}
	b[0] = kind
	copy(b[offset:], p)
	return f
}

// newCodeFrame returns a frame whose payload is the 4-byte number v.
func newCodeFrame(t Type, stream uint32, v uint32) outFrame {
	f := outFrame{typ: t, stream: stream, n: codeBytes, block: getBlock(codeBytes)}
	binary.BigEndian.PutUint32(f.block.b, v)
	return f
}

// newWindowFrame returns a window frame that reports n consumed bytes, of which
// reserved bytes were reserved data.
func newWindowFrame(stream uint32, n, reserved int) outFrame {
	f := outFrame{typ: TypeWindow, stream: stream, n: windowBytes, block: getBlock(windowBytes)}
	binary.BigEndian.PutUint32(f.block.b, uint32(n))
	binary.BigEndian.PutUint32(f.block.b[codeBytes:], uint32(reserved))
	return f
}

func (f *outFrame) bytes() []byte {
	if f.block != nil {
		return f.block.b[:f.n]
	}
	return f.payload
}

// pendingFrames holds frames that must be requested without blocking, in
// particular by the reader and watchLoop. If these blocked on a full queue, two
// sessions whose readers wait for their writers would deadlock. Repeated
// requests are merged, and receiveOpen limits the number of resets, so the size
// is bounded.
type pendingFrames struct {
	ping         bool
	pong         bool
	echo         [pingBytes]byte // payload of the pong
	windowUpdate int             // consumed bytes to report in a window frame of the session
	goAway       bool            // announce that this side accepts no new streams
	goAwayAck    bool            // confirm the peer's go-away: this side opens no more streams
	resets       []pendingReset  // for refused and stalled streams; if there are more than MaxStreams, receiveOpen ends the session instead of adding one
}

type pendingReset struct {
	stream uint32
	code   Code
}

// wakeWriter makes the writer send the pending frames. s.mu is held.
func (s *Session) wakeWriter() {
	s.hasPending.Store(true)
	s.wake.TryPush(struct{}{})
}

// writeLoop writes frames until the session ends: pending frames first, then
// control frames, then bulk frames. It flushes when all queues are empty.
func (s *Session) writeLoop() error {
	w := bufio.NewWriterSize(s.conn, writeBufferBytes)
	for {
		if err := s.writePriority(w); err != nil {
			return err
		}
		var f outFrame
		select {
		case f = <-s.bulk.C():
		default:
			if err := w.Flush(); err != nil {
				return err
			}
			s.markFlushed()
			select {
			case <-s.wake.C():
				continue
			case f = <-s.control.C():
				if err := writeQueued(w, f); err != nil {
					return err
				}
				continue
			case f = <-s.bulk.C():
			case <-s.done:
				return nil
			}
		}
		// The open or head frame of the same stream may have been queued after
		// the control queue was last found empty. It must be written before f.
		if err := s.writePriority(w); err != nil {
			return err
		}
		if err := writeQueued(w, f); err != nil {
			return err
		}
	}
}

// writePriority writes the pending frames and all queued control frames.
func (s *Session) writePriority(w *bufio.Writer) error {
	for s.hasPending.Swap(false) {
		s.mu.Lock()
		pending := s.pending
		s.pending = pendingFrames{}
		s.mu.Unlock()
		if err := pending.writeBeforeControl(w); err != nil {
			return err
		}
		if err := s.writeControl(w); err != nil {
			return err
		}
		if err := pending.writeAfterControl(w); err != nil {
			return err
		}
	}
	return s.writeControl(w)
}

// writeControl writes all queued control frames.
func (s *Session) writeControl(w *bufio.Writer) error {
	for {
		select {
		case f := <-s.control.C():
			if err := writeQueued(w, f); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// markFlushed notifies Shutdown that all queues were empty and everything is
// flushed.
func (s *Session) markFlushed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushed != nil && !s.hasPending.Load() {
		close(s.flushed)
		s.flushed = nil
	}
}

func writeQueued(w *bufio.Writer, f outFrame) error {
	err := writeFrame(w, f.typ, f.stream, f.bytes())
	if f.block != nil {
		f.block.put()
	}
	return err
}

func writeFrame(w *bufio.Writer, t Type, stream uint32, p []byte) error {
	// A local array would escape to the heap for each frame, so the header is
	// built in the writer's buffer.
	if _, err := w.Write(appendHeader(w.AvailableBuffer(), t, stream, len(p))); err != nil {
		return err
	}
	_, err := w.Write(p)
	return err
}

// writeBeforeControl writes the pending frames that may overtake any other
// frame.
func (pending *pendingFrames) writeBeforeControl(w *bufio.Writer) error {
	if pending.ping {
		if err := writeFrame(w, TypePing, 0, make([]byte, pingBytes)); err != nil {
			return err
		}
	}
	if pending.pong {
		if err := writeFrame(w, TypePong, 0, pending.echo[:]); err != nil {
			return err
		}
	}
	if pending.windowUpdate > 0 {
		var b [windowBytes]byte
		binary.BigEndian.PutUint32(b[:], uint32(pending.windowUpdate))
		if err := writeFrame(w, TypeWindow, 0, b[:]); err != nil {
			return err
		}
	}
	if pending.goAway {
		return writeCode(w, TypeReset, 0, uint32(CodeRefused))
	}
	return nil
}

// writeAfterControl writes the pending frames that must not overtake an open
// frame that was queued earlier.
func (pending *pendingFrames) writeAfterControl(w *bufio.Writer) error {
	for _, r := range pending.resets {
		if err := writeCode(w, TypeReset, r.stream, uint32(r.code)); err != nil {
			return err
		}
	}
	if pending.goAwayAck {
		return writeCode(w, TypeReset, 0, uint32(CodeDone))
	}
	return nil
}

func writeCode(w *bufio.Writer, t Type, stream, v uint32) error {
	var b [codeBytes]byte
	binary.BigEndian.PutUint32(b[:], v)
	return writeFrame(w, t, stream, b[:])
}
