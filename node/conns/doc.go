// Package conns serves HTTP so that each request that was read gets an answer, also while the
// server closes idle connections or shuts down.
package conns
