// Package super runs long-lived duties under a tree of supervisors that
// restart a duty after an error or a panic.
package super
