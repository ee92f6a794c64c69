// Package frame multiplexes streams between two nodes over one TCP connection.
//
// A frame consists of a 4-byte big-endian length of the rest of the frame, a
// 1-byte type, a 4-byte stream number and a payload. Each direction of a stream
// carries a head (metadata, like the header of an HTTP message), a body under
// flow control and a trailer. The side that dialed the connection opens streams
// with odd numbers, the other side streams with even numbers. A stream number
// is never reused within a session.
//
// A session starts with a handshake of hello frames. Both sides exchange
// protocol version, instance name, nonce and limits, and authenticate either by
// an HMAC over both hello messages, which proves knowledge of the fleet secret,
// or by TLS certificates. The HMAC covers the handshake only: without TLS,
// later frames are neither encrypted nor protected against modification on the
// network.
//
// A stream ends when both sides have sent an end frame, or by a reset. A body
// is complete only if Read returned io.EOF; Read never returns io.EOF for a
// body that a reset or the loss of the session truncated. A reset with
// CodeRefused means that no handler received the stream.
//
// A session shuts down by a go-away, which is a reset with CodeRefused on
// stream 0: the sender accepts no new streams. The peer confirms with CodeDone
// on stream 0 that it opens no more.
//
// The window of a stream bounds its unread bytes. The unread bytes of all
// streams of a session are bounded by the session window plus a reserve of 4
// KiB for each stream. Pings, window frames and resets are sent before queued
// data, except a reset with CodeDone, which follows the end frame of its
// stream. A session that receives no frame for the keepalive timeout ends with
// a SessionError whose Unreachable field is set.
package frame
