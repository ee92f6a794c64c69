// Package frame carries many streams between two nodes over one TCP
// connection.
//
// A frame is a 4-byte big-endian length of what follows, a 1-byte type, a
// 4-byte stream number and a payload. A stream carries a head, data under flow
// control and a trailer in each direction.
package frame
