// Package cli implements the operators' command line, dunlinwell. Each command is one call
// of the control API to any daemon, or a runbook of such commands.
//
// Invariants: the exit code reports the outcome of a call (Exit constants), and a change
// whose outcome is unknown is distinguished from one that failed. A change has an ID before
// it is sent; if its outcome is unknown, the error includes the ID, so that the change can
// be retried and is applied once. With --json, answers are printed as received.
//
// Validation is left to the daemons, except for manifests and runbooks, which are read and
// validated as a whole before anything is sent. The names of commands and flags are set by
// their tags; testsupport/compat compares them with those of earlier releases.
package cli
