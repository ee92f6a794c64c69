// Package entry is the listener for callers: it authenticates each request,
// admits it and carries the answer back.
package entry
