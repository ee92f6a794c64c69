// Package super runs background tasks under a tree of supervisors, which restart
// a task after an error or a panic, and counts running work for shutdowns.
package super
