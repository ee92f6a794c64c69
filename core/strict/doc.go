// Package strict makes clients that are based on net/http reject malformed responses. The parser
// of net/http accepts some of them, among others a field name that contains a space, so that a
// field is lost that would state where the body ends, and a body without a length that is cut by
// a reset of its connection while the request is still being written.
//
// The checks follow RFC 9112. They cover the heads of final and interim responses, trailers and
// the end of the connection. Sizes are limited by net/http alone.
package strict
