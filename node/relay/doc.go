// Package relay carries calls between nodes: the attempts of the calling side
// and the dispatch to the local upstream at the target's side.
package relay
