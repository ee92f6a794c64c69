// Package nodes reads the documents of the nodes' operations listeners.
package nodes
