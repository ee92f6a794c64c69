package frame

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Type is the type of a frame.
type Type uint8

// Types of frames. A window frame on stream 0 concerns the session.
const (
	TypeHello        Type = iota + 1 // handshake step, before any other frame
	TypeOpen                         // first payload byte is the stream kind, the rest the head
	TypeHead                         // head of the answer
	TypeData                         // part of the body, counted against the windows of the stream and the session
	TypeReservedData                 // the same, counted against the stream's own allowance instead of the session
	TypeEnd                          // end of the body; the payload is the trailer
	TypeReset                        // 4-byte code; on stream 0 the sender accepts no new streams
	TypeWindow                       // 4-byte number of bytes consumed, 4-byte number of own data among them
	TypePing                         // 8 bytes that the pong repeats
	TypePong
)

// Limits of the wire format, in bytes.
const (
	headerBytes     = 9
	MaxHeadBytes    = 64 << 10         // largest head or trailer
	MaxPayloadBytes = MaxHeadBytes + 1 // an open frame carries the kind before the head
	dataBytes       = 32 << 10         // largest payload of a data frame that we send
	pingBytes       = 8
	codeBytes       = 4
	windowBytes     = 8
)

// allowance is the number of unread bytes of each stream that need no room in
// the window of the session. Without it, streams whose readers stopped could
// use up that window, and handlers of both sides that wait to write before they
// read on would wait for each other forever.
const allowance = 4 << 10

// WireError is a violation of the wire format. It ends the session.
type WireError struct {
	Detail string
}

// Error implements error.
func (e *WireError) Error() string {
	return "frame format: " + e.Detail
}

func wireErrorf(format string, args ...any) *WireError {
	return &WireError{Detail: fmt.Sprintf(format, args...)}
}

// Frame is one frame.
type Frame struct {
	Type    Type
	Stream  uint32
	Payload []byte
}

// ReadFrame reads one frame. It returns a *WireError for a malformed frame.
func ReadFrame(r io.Reader) (Frame, error) {
	fr := frameReader{r: r, limit: MaxPayloadBytes}
	return fr.next()
}

// WriteFrame writes one frame.
func WriteFrame(w io.Writer, f Frame) error {
	if len(f.Payload) > MaxPayloadBytes {
		return wireErrorf("payload of %d bytes is too large", len(f.Payload))
	}
	var h [headerBytes]byte
	if _, err := w.Write(appendHeader(h[:0], f.Type, f.Stream, len(f.Payload))); err != nil {
		return err
	}
	_, err := w.Write(f.Payload)
	return err
}

func appendHeader(b []byte, t Type, stream uint32, n int) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(headerBytes-4+n))
	return binary.BigEndian.AppendUint32(append(b, byte(t)), stream)
}

// frameReader reads frames into one buffer that it reuses. limit is the largest
// payload that it accepts.
type frameReader struct {
	r     io.Reader
	limit int
	head  [headerBytes]byte
	buf   []byte
}

// next reads one frame. The payload is valid until the following call. The
// buffer grows only as far as the announced length of an accepted frame.
func (fr *frameReader) next() (Frame, error) {
	if _, err := io.ReadFull(fr.r, fr.head[:]); err != nil {
		return Frame{}, err
	}
	n := uint64(binary.BigEndian.Uint32(fr.head[:4]))
	if n < headerBytes-4 || n > uint64(headerBytes-4+fr.limit) {
		return Frame{}, wireErrorf("length %d out of range", n)
	}
	f := Frame{Type: Type(fr.head[4]), Stream: binary.BigEndian.Uint32(fr.head[5:])}
	if f.Type < TypeHello || f.Type > TypePong {
		return Frame{}, wireErrorf("unknown type %d", f.Type)
	}
	size := int(n) - (headerBytes - 4)
	if cap(fr.buf) < size {
		fr.buf = make([]byte, size)
	}
	f.Payload = fr.buf[:size]
	_, err := io.ReadFull(fr.r, f.Payload)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return f, err
}
