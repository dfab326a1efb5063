// Package cli is the operators' command line, dunlinwell. Each command is one call of
// the control API, made to any daemon, or a runbook of such commands.
//
// Invariants: the exit code says how a call ended (Exit constants), and a change whose
// end isn't known is told apart from one that failed. A change has an id before it is
// sent, and an unknown end names it, so that it can be sent again and is applied once.
// With --json an answer is printed as the daemon gave it.
//
// The package checks nothing that the daemons check, but for manifests and runbooks,
// which are read whole before anything is sent. The names of commands and flags are
// fixed by their tags; testsupport/compat compares them with those of earlier
// releases.
package cli
