// Package store holds the configuration that is in force in a node and keeps
// it up to date from the log and from peers.
package store
