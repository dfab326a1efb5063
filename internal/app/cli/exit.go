package cli

import "net/http"

// The exit codes.
const (
	// ExitFailure is any failure without its own code.
	ExitFailure = 1
	// ExitUsage is an invalid command line or file; nothing was sent.
	ExitUsage = 2
	// ExitRejected is a call that the registry rejected; it had no effect.
	ExitRejected = 3
	// ExitVersionConflict is a change whose expected version isn't the item's version.
	ExitVersionConflict = 4
	// ExitUnreachable is a call that no registry with a majority answered; it had no
	// effect.
	ExitUnreachable = 5
	// ExitIndeterminate is a change that may or may not have been accepted. It can be
	// retried with the same change ID.
	ExitIndeterminate = 6
)

// ExitError is an error with the exit code of the program.
type ExitError struct {
	Code   int
	Reason string
}

// Error returns the reason.
func (e *ExitError) Error() string { return e.Reason }

// exitCode returns the exit code for an HTTP status: 0 for success.
func exitCode(status int) int {
	switch {
	case status == http.StatusConflict:
		return ExitVersionConflict
	case status == http.StatusGatewayTimeout:
		return ExitIndeterminate
	case status >= http.StatusInternalServerError:
		return ExitUnreachable
	case status >= http.StatusBadRequest:
		return ExitRejected
	}
	return 0
}
