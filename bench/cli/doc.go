// Package cli tests the operators' command line against the stand-in of the log
// service and against nodes. The module of the command line does not depend on
// the stand-ins.
package cli
