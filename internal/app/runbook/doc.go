// Package runbook reads and runs executable runbooks: lists of steps, each a command of
// the command line, or something for the operator to do, with checks of its result. A
// run stops at the first step that fails.
//
// Invariants: a runbook is checked whole before anything runs; a command that changes
// something is executed once, only observations are repeated; a dry run executes
// nothing.
//
// The package calls no daemon and reads no terminal: app/cli passes functions for that
// (Options). The bundled runbooks are in books; testsupport/testbed runs them against
// real fleets.
package runbook
