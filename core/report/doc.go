// Package report defines the status document that a node serves on its
// operations listener and that the admin command reads.
package report
