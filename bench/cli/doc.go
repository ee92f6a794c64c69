// Package cli tests the operators' command line against the fake log service and
// against nodes. The tests are here because the module of the command line does
// not depend on the fakes.
package cli
