// Package agent assembles a node from its components and runs their background
// tasks in one supervisor tree. It also connects the gossip state machine to the
// network, authenticates links between nodes and logs changes of the node's state.
package agent
