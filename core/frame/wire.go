package frame

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Type is the type of a frame.
type Type uint8

// Types of frames.
const (
	TypeOpen   Type = iota + 1 // first payload byte is the stream kind, the rest the head
	TypeHead                   // head of the answer
	TypeData                   // part of the body
	TypeEnd                    // end of the body; the payload is the trailer
	TypeReset                  // 4-byte code
	TypeWindow                 // 4-byte number of bytes that the receiver consumed
	TypePing                   // 8 bytes that the pong repeats
	TypePong
)

// Limits of the wire format, in bytes.
const (
	headerBytes     = 9
	MaxPayloadBytes = 1 << 20
	dataBytes       = 32 << 10 // largest payload of a data frame that we send
)

// WireError is a violation of the wire format. It ends the session.
type WireError struct {
	Detail string
}

// Error implements error.
func (e *WireError) Error() string {
	return "frame format: " + e.Detail
}

// Frame is one frame.
type Frame struct {
	Type    Type
	Stream  uint32
	Payload []byte
}

// ReadFrame reads one frame. It returns a *WireError for a malformed frame.
func ReadFrame(r io.Reader) (Frame, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n < headerBytes-4 || n > headerBytes-4+MaxPayloadBytes {
		return Frame{}, &WireError{Detail: fmt.Sprintf("length %d out of range", n)}
	}
	f := Frame{Type: Type(h[4]), Stream: binary.BigEndian.Uint32(h[5:])}
	if f.Type < TypeOpen || f.Type > TypePong {
		return Frame{}, &WireError{Detail: fmt.Sprintf("unknown type %d", f.Type)}
	}
	f.Payload = make([]byte, n-(headerBytes-4))
	_, err := io.ReadFull(r, f.Payload)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return f, err
}

// WriteFrame writes one frame.
func WriteFrame(w io.Writer, f Frame) error {
	if len(f.Payload) > MaxPayloadBytes {
		return &WireError{Detail: fmt.Sprintf("payload of %d bytes is too large", len(f.Payload))}
	}
	var h [headerBytes]byte
	binary.BigEndian.PutUint32(h[:4], uint32(headerBytes-4+len(f.Payload)))
	h[4] = byte(f.Type)
	binary.BigEndian.PutUint32(h[5:], f.Stream)
	if _, err := w.Write(h[:]); err != nil {
		return err
	}
	_, err := w.Write(f.Payload)
	return err
}
