package frame

import "fmt"

// Code is the reason for the reset of a stream. Codes from CodeUser on are
// defined by the users of the package.
type Code uint32

// Reset codes defined by this package.
const (
	CodeDone     Code = iota // the response is complete and the rest of the request is not needed
	CodeCanceled             // the opener's context ended, or a user of the stream canceled it
	CodeRefused              // the stream was not passed to a handler
	CodeInternal             // the handler returned without a complete response
	CodeStalled              // no progress within the progress timeout
	CodeTooLarge             // a Call message exceeds MaxCallBytes
	CodeInvalid              // a Call message can't be decoded
	CodeUser     Code = 64
)

var codeNames = [...]string{"done", "canceled", "refused", "internal", "stalled", "too large", "invalid"}

// String returns the name of c, or its number for a user-defined code.
func (c Code) String() string {
	if int64(c) < int64(len(codeNames)) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// ResetError reports that a stream was reset. Remote is set if the peer sent
// the reset. If Code is CodeRefused, no handler received the stream.
type ResetError struct {
	Code   Code
	Remote bool
}

// Error implements error.
func (e *ResetError) Error() string {
	if e.Remote {
		return "frame: stream reset by peer: " + e.Code.String()
	}
	return "frame: stream reset: " + e.Code.String()
}

// SessionError reports why a session ended, or that it has no stream numbers
// left. Unreachable is set if no frame arrived within the keepalive timeout.
type SessionError struct {
	Reason      string
	Unreachable bool
	Cause       error
}

// Error implements error.
func (e *SessionError) Error() string {
	if e.Cause == nil {
		return "frame: session " + e.Reason
	}
	return "frame: session " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *SessionError) Unwrap() error {
	return e.Cause
}

// HandshakeError reports a failed handshake. Auth is set if this side rejected
// the identity of the peer, for any rejection sent by the peer and for any
// failure of the TLS handshake.
type HandshakeError struct {
	Reason string
	Auth   bool
	Cause  error
}

// Error implements error.
func (e *HandshakeError) Error() string {
	if e.Cause == nil {
		return "frame: handshake: " + e.Reason
	}
	return "frame: handshake: " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *HandshakeError) Unwrap() error {
	return e.Cause
}
