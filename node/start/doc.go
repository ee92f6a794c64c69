// Package start builds the command of the programs that run a node, so that all
// of them load and validate settings in the same way.
package start
