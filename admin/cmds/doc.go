// Package cmds holds the commands of the operators' command line.
package cmds
