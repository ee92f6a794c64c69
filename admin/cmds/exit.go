package cmds

import (
	"errors"
	"fmt"
)

// Exit statuses of the command line.
const (
	ExitDone        = 0 // done, or nothing to do
	ExitUsage       = 1 // bad arguments or input, with nothing changed, or any other error
	ExitRejected    = 2 // a change was rejected
	ExitUnknown     = 3 // a change may have been accepted; repeat it with the same --id
	ExitUnconfirmed = 4 // accepted, but not confirmed to be in effect everywhere
	ExitUnreachable = 5 // the log or a node could not be read; nothing was changed
)

const exitHelp = `Exit statuses:
  0  done, or nothing to do
  1  bad arguments or input, with nothing changed, or any other error
  2  a change was rejected
  3  the outcome of a change is unknown; repeat the command with the same --id
  4  accepted, but not confirmed in force everywhere within --timeout
  5  the log or a node could not be read; nothing was changed`

// exitError is an error with an exit status other than ExitUsage.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error {
	return e.err
}

func exitf(status int, format string, args ...any) error {
	return &exitError{status: status, err: fmt.Errorf(format, args...)}
}

// exitStatus returns the exit status for the error of a command. Errors other than
// exitError are usage errors.
func exitStatus(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &e):
		return e.status
	default:
		return ExitUsage
	}
}
