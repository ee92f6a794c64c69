// Package evac decides which availability zones are evacuated. The operator asks for an evacuation
// with a record in the log, and takes it back with another one. Every node holds a State, which
// comes from the readers of the log or from nodes that follow them.
//
// The load condition is the move of a whole zone's load to other zones within seconds, while nodes
// start, are suspended, or lose their source. A state must then never be replaced by an older one.
package evac
