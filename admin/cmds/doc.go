// Package cmds implements the commands of admin, the operators' command line.
package cmds
