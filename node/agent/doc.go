// Package agent assembles a node from its parts and runs it under one
// supervisor tree.
package agent
