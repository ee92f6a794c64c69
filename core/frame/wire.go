package frame

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Type is the type of a frame.
type Type uint8

// Frame types. On stream 0, a window frame updates the session window and a
// reset frame is part of a shutdown.
const (
	TypeHello        Type = iota + 1 // handshake step, sent before any other frame
	TypeOpen                         // first payload byte is the stream kind, the rest the head
	TypeHead                         // head of the response
	TypeData                         // body data, counted against the windows of the stream and of the session
	TypeReservedData                 // body data, counted against the stream's window and its reserve instead of the session window
	TypeEnd                          // end of the body; the payload is the trailer
	TypeReset                        // 4-byte code; on stream 0 a go-away (CodeRefused) or its confirmation (CodeDone)
	TypeWindow                       // 4-byte number of consumed bytes, 4-byte number of those that came in reserved-data frames
	TypePing                         // 8 bytes that the pong repeats
	TypePong
)

// Limits of the wire format in bytes.
const (
	headerBytes     = 9                // 4-byte length, 1-byte type, 4-byte stream number
	MaxHeadBytes    = 64 << 10         // maximum size of a head or trailer
	MaxPayloadBytes = MaxHeadBytes + 1 // an open frame has the stream kind before the head
	maxDataBytes    = 32 << 10         // maximum payload of a data frame that this side sends
	pingBytes       = 8
	codeBytes       = 4 // size of a reset code and of each field of a window frame
	windowBytes     = 8
)

// streamReserve is the number of unread bytes of each stream that don't count
// against the session window. Bytes within the reserve are called reserved data
// and are sent in TypeReservedData frames. Without the reserve, streams whose
// readers have stopped could exhaust the session window. Handlers on both sides
// that must write before they continue to read would then deadlock.
const streamReserve = 4 << 10

// WireError reports a violation of the protocol. A violation by the peer ends
// the session; one by the local caller is only returned to it.
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

// Frame is a frame of the wire format, without its length field.
type Frame struct {
	Type    Type
	Stream  uint32
	Payload []byte
}

// ReadFrame reads one frame. It returns a *WireError if the frame is malformed.
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

// frameReader reads frames into a buffer that it reuses. limit is the maximum
// payload that it accepts.
type frameReader struct {
	r      io.Reader
	limit  int
	header [headerBytes]byte
	buf    []byte
}

// next reads one frame. The payload is valid until the next call. The length is
// checked against the limit before the buffer grows.
func (fr *frameReader) next() (Frame, error) {
	if _, err := io.ReadFull(fr.r, fr.header[:]); err != nil {
		return Frame{}, err
	}
	n := uint64(binary.BigEndian.Uint32(fr.header[:4]))
	if n < headerBytes-4 || n > uint64(headerBytes-4+fr.limit) {
		return Frame{}, wireErrorf("length %d out of range", n)
	}
	f := Frame{Type: Type(fr.header[4]), Stream: binary.BigEndian.Uint32(fr.header[5:])}
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
