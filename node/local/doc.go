// Package local is the loopback listener for the upstream beside the node: it
// takes announcements and carries the upstream's outbound calls.
package local
