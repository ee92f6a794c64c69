// Package zones keeps the member list epochs of a node: it follows the log
// stream "epochs", renews the zone lease, finds out which epochs are retired and
// proposes new ones.
package zones
