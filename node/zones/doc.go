// Package zones maintains the epochs of a node, which are the agreed member
// lists of the availability zones (package epoch). It follows the log stream
// "epochs", renews the lease of the local zone, determines which epochs are
// retired and proposes new ones.
package zones
