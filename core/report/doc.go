// Package report holds the documents that a node publishes on its operations
// listener and that the operators' command line reads.
package report
