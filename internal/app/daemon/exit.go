package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a daemon.
const (
	exitOK         = 0
	exitFailure    = 1
	exitStartError = 2
)

// StartError is the error of an option that can't be satisfied, such as a data directory that
// another process has locked. The process exits with 2, as for an invalid flag.
type StartError struct{ error }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.error }

// SignalContext returns a context that is canceled by SIGTERM or SIGINT.
func SignalContext() context.Context {
	// The process ends with the context, so the stop function isn't needed.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

// Exit ends the process with the exit code for err, and prints err to standard error. A nil
// or canceled err counts as success.
func Exit(name string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		os.Exit(exitOK)
	}
	fmt.Fprintln(os.Stderr, name+": "+err.Error())
	var start *StartError
	if errors.As(err, &start) {
		os.Exit(exitStartError)
	}
	os.Exit(exitFailure)
}
