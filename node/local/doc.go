// Package local serves the loopback listener for the upstream beside the node: it
// accepts the announcements of the upstream and forwards its outbound calls.
package local
