// Package runbook reads and runs executable runbooks: lists of steps, each a command of the
// command line or a manual instruction, with checks of the result. A run stops at the first
// step that fails.
//
// Invariants: the whole runbook is validated before a step runs; the command of a step is
// executed once, and only observations are repeated; a dry run executes nothing.
//
// The package doesn't call daemons or read from a terminal: app/cli passes functions for
// that (Options). The bundled runbooks are in books; testsupport/testbed runs them against
// real fleets.
package runbook
