package frame

import (
	"bufio"
	"encoding/binary"
)

const writeBuffer = 8 << 10 // bytes collected before a write to the connection; see readBuffer

// outFrame is a frame on its way to the writer. The payload is in block, or in
// payload if it is larger than a block.
type outFrame struct {
	typ     Type
	stream  uint32
	n       int // bytes used of block
	block   *block
	payload []byte
}

// newOutFrame copies a payload. The payload of an open frame begins with kind.
func newOutFrame(t Type, stream uint32, kind uint8, p []byte) outFrame {
	f := outFrame{typ: t, stream: stream, n: len(p)}
	at := 0
	if t == TypeOpen {
		f.n, at = f.n+1, 1
	}
	if f.n == 0 {
		return f
	}
	var b []byte
	if f.n <= largeBlock {
		f.block = getBlock(f.n)
		b = f.block.b
	} else {
		f.payload = make([]byte, f.n)
		b = f.payload
	}
	b[0] = kind
	copy(b[at:], p)
	return f
}

// newCodeFrame returns a frame whose payload is one number.
func newCodeFrame(t Type, stream uint32, v uint32) outFrame {
	f := outFrame{typ: t, stream: stream, n: codeBytes, block: getBlock(codeBytes)}
	binary.BigEndian.PutUint32(f.block.b, v)
	return f
}

// newWindowFrame returns consumed bytes of a stream to the peer.
func newWindowFrame(stream uint32, n, own int) outFrame {
	f := outFrame{typ: TypeWindow, stream: stream, n: windowBytes, block: getBlock(windowBytes)}
	binary.BigEndian.PutUint32(f.block.b, uint32(n))
	binary.BigEndian.PutUint32(f.block.b[codeBytes:], uint32(own))
	return f
}

func (f *outFrame) bytes() []byte {
	if f.block != nil {
		return f.block.b[:f.n]
	}
	return f.payload
}

// notes are frames that the reader or the watcher wants to send. Neither of
// them may wait for room in a ring: two sessions whose readers wait for their
// writers would block each other. The notes have bounded size.
type notes struct {
	ping    bool
	pong    bool
	echo    [pingBytes]byte
	credit  int
	goAway  bool        // no new streams are accepted
	goneAck bool        // no more streams will be opened, as the peer accepts none
	resets  []resetNote // at most one for each stream, checked by the reader
}

type resetNote struct {
	stream uint32
	code   Code
}

// wakeWriter makes the writer look at the notes. s.mu is held.
func (s *Session) wakeWriter() {
	s.noted.Store(true)
	s.kick.TryPush(struct{}{})
}

// writeLoop writes frames until the session ends: notes first, then control
// frames, then bulk. It flushes when all queues are empty.
func (s *Session) writeLoop() error {
	w := bufio.NewWriterSize(s.conn, writeBuffer)
	for {
		if err := s.writeUrgent(w); err != nil {
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
			case <-s.kick.C():
				continue
			case f = <-s.control.C():
				if err := writeOut(w, f); err != nil {
					return err
				}
				continue
			case f = <-s.bulk.C():
			case <-s.done:
				return nil
			}
		}
		// The open or head frame that precedes f may have been queued after the
		// control ring was last seen empty.
		if err := s.writeUrgent(w); err != nil {
			return err
		}
		if err := writeOut(w, f); err != nil {
			return err
		}
	}
}

// writeUrgent writes the notes and all queued control frames.
func (s *Session) writeUrgent(w *bufio.Writer) error {
	for s.noted.Swap(false) {
		s.mu.Lock()
		n := s.notes
		s.notes = notes{}
		s.mu.Unlock()
		if err := n.writeFirst(w); err != nil {
			return err
		}
		if err := s.writeControl(w); err != nil {
			return err
		}
		if err := n.writeLast(w); err != nil {
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
			if err := writeOut(w, f); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

// markFlushed tells Shutdown that all queues were empty and are flushed.
func (s *Session) markFlushed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushed != nil && !s.noted.Load() {
		close(s.flushed)
		s.flushed = nil
	}
}

func writeOut(w *bufio.Writer, f outFrame) error {
	err := writeParts(w, f.typ, f.stream, f.bytes())
	if f.block != nil {
		f.block.put()
	}
	return err
}

func writeParts(w *bufio.Writer, t Type, stream uint32, p []byte) error {
	// An array of its own would be allocated for each frame.
	if _, err := w.Write(appendHeader(w.AvailableBuffer(), t, stream, len(p))); err != nil {
		return err
	}
	_, err := w.Write(p)
	return err
}

// writeFirst writes the notes that may overtake every other frame.
func (n *notes) writeFirst(w *bufio.Writer) error {
	if n.ping {
		if err := writeParts(w, TypePing, 0, make([]byte, pingBytes)); err != nil {
			return err
		}
	}
	if n.pong {
		if err := writeParts(w, TypePong, 0, n.echo[:]); err != nil {
			return err
		}
	}
	if n.credit > 0 {
		var b [windowBytes]byte
		binary.BigEndian.PutUint32(b[:], uint32(n.credit))
		if err := writeParts(w, TypeWindow, 0, b[:]); err != nil {
			return err
		}
	}
	if n.goAway {
		return writeCode(w, TypeReset, 0, uint32(CodeRefused))
	}
	return nil
}

// writeLast writes the notes that must not overtake an open frame that was
// queued before.
func (n *notes) writeLast(w *bufio.Writer) error {
	for _, r := range n.resets {
		if err := writeCode(w, TypeReset, r.stream, uint32(r.code)); err != nil {
			return err
		}
	}
	if n.goneAck {
		return writeCode(w, TypeReset, 0, uint32(CodeDone))
	}
	return nil
}

func writeCode(w *bufio.Writer, t Type, stream, v uint32) error {
	var b [codeBytes]byte
	binary.BigEndian.PutUint32(b[:], v)
	return writeParts(w, t, stream, b[:])
}
