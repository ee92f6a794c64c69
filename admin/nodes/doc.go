// Package nodes reads status and burn documents from the nodes' operations
// listeners and merges them into a view of the fleet.
package nodes
