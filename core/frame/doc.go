// Package frame carries many streams between two nodes over one TCP
// connection.
//
// A frame is a 4-byte big-endian length of what follows, a 1-byte type, a
// 4-byte stream number and a payload. A stream carries a head, data under flow
// control and a trailer in each direction. The side that dialled opens streams
// with odd numbers, the other side those with even ones; a number is used once.
//
// A session starts with a handshake of hello frames: both sides exchange
// version, instance name, nonce and limits, and prove with an HMAC over both
// messages that they know the fleet secret, or authenticate by TLS certificates.
// The HMAC authenticates the handshake only: without TLS the frames after it are
// neither encrypted nor protected against changes on the network.
//
// A stream ends by the end frames of both sides or by a reset. A body is
// complete only if Read returned io.EOF; a body cut by a reset or by the loss of
// the session never does. A reset with CodeRefused says that no handler saw the
// stream.
//
// Unread bytes are bounded by the window of each stream, and for all streams of
// a session by its window plus 4 KiB for each stream. Pings, windows and resets
// are sent before queued data. A session on which no frame arrives for the
// silence limit ends with SessionError.Silent.
package frame
