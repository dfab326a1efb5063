package errs

import (
	"fmt"

	"github.com/juju/errors"
)

// OpError is an error together with the step and the peer at which it arose.
type OpError struct {
	// Step names what was being done, such as "read header".
	Step string
	// Peer is the address or name of the other side; empty for a local step.
	Peer string
	// Err is the cause, never nil.
	Err error
}

// Error gives the step, the peer and the cause in one line.
func (e *OpError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap gives the cause, for errors.Is and errors.As.
func (e *OpError) Unwrap() error { return e.Err }

// Wrap adds a step and a peer to err, and records the caller's line. A nil error
// stays nil. The peer is empty for a local step.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&OpError{Step: step, Peer: peer, Err: err})
}

// New makes an error from a format and its arguments, with a step and a peer. The
// format is that of fmt.Errorf: %w wraps a sentinel.
func New(step, peer, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, peer)
}
