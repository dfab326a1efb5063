package errs

import (
	"fmt"

	"github.com/juju/errors"
)

// OpError is an error with the step that failed and the step's subject.
type OpError struct {
	// Step is the operation that failed, such as "read header".
	Step string
	// Subject is what the step was applied to: the address or name of a peer, a file or a
	// key. It is empty if there is none.
	Subject string
	// Err is the cause, never nil.
	Err error
}

// Error returns the step, the subject and the cause. The text labels every subject as a peer
// and must not change, as it appears in the proxy's HTTP responses.
func (e *OpError) Error() string {
	if e.Subject == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Subject, e.Err)
}

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }

// Wrap adds a step and its subject to err, and records the caller's source line. The
// subject may be empty. Wrap returns nil if err is nil.
func Wrap(err error, step, subject string) error {
	if err == nil {
		return nil
	}
	return errors.Trace(&OpError{Step: step, Subject: subject, Err: err})
}

// New returns an error with a step, its subject and a message formatted as by fmt.Errorf;
// %w wraps a sentinel.
func New(step, subject, format string, args ...any) error {
	return Wrap(fmt.Errorf(format, args...), step, subject)
}
