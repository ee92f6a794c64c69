// Package lines bounds what a process logs: how many lines a second it formats,
// and how much it keeps for a reader of its output that is slow. Who logs never
// waits. What is left out is counted.
package lines
