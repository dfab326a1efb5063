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

// StartError is an option that this machine can't satisfy, such as a data folder that
// another process holds. The process exits with 2, as for a flag that can't be read.
type StartError struct{ error }

// Unwrap gives the cause.
func (e *StartError) Unwrap() error { return e.error }

// SignalContext gives a context that ends with SIGTERM or SIGINT.
func SignalContext() context.Context {
	// The process ends with the context, so nothing has to release the signals.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

// Exit ends the process with the exit code for the result of its run, and prints an
// error to standard error.
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
