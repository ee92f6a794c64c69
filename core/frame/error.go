package frame

import "fmt"

// Code says why a stream was reset. Codes from CodeUser on belong to the users
// of the package.
type Code uint32

// Codes of this package.
const (
	CodeDone     Code = iota // the answer is complete and the rest of the request is not needed
	CodeCanceled             // the context of the opener ended or the user gave up
	CodeRefused              // the stream was never given to a handler
	CodeInternal             // the handler ended without a complete answer
	CodeStalled              // no progress within the progress timeout
	CodeTooLarge             // a message of a control exchange exceeds its limit
	CodeInvalid              // a message of a control exchange can't be decoded
	CodeUser     Code = 64
)

var codeNames = [...]string{"done", "canceled", "refused", "internal", "stalled", "too large", "invalid"}

// String returns the name of c, or its number for a code of the users.
func (c Code) String() string {
	if int64(c) < int64(len(codeNames)) {
		return codeNames[c]
	}
	return fmt.Sprintf("code %d", uint32(c))
}

// ResetError is the end of a stream by reset. Remote says that the far side
// sent the reset. With CodeRefused no handler ever saw the stream.
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

// SessionError is the end of a session. Silent says that no frame arrived
// within the silence limit.
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

// HandshakeError is a handshake that failed. Auth says that one side didn't
// accept the identity of the other.
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
