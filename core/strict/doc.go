// Package strict makes clients that are based on net/http reject malformed responses. The parser
// of net/http accepts some of them, among others a field name that contains a space, so that a
// field is lost that would state where the body ends.
//
// The checks follow RFC 9112. They cover the heads of final and interim responses. Sizes are
// limited by net/http alone.
package strict
