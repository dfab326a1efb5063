// Package problem is the project's one helper for errors: each is wrapped
// with the step and the peer at which it arose.
package errs

import (
	"fmt"

	"github.com/juju/errors"
)

// OpError is an error that knows its step and peer.
type OpError struct {
	error
	Step string
	Peer string
}

// Error gives the step, the peer and the cause in one line.
func (e *OpError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.error)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.error)
}

// Unwrap gives the cause, so that errors.Is and errors.As see through.
func (e *OpError) Unwrap() error { return e.error }

// At wraps err with its step and peer; a nil error stays nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&OpError{error: err, Step: step, Peer: peer})
}

// New makes a problem out of words.
func New(step, peer, format string, args ...any) error {
	return Wrap(errors.Errorf(format, args...), step, peer)
}
