// Package refuse describes refusals as problem details (RFC 9457) with stable
// types.
//
// A refusal is the response with which a node, rather than an upstream, ends a
// request that it could not complete.
package refuse
