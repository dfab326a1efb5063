// Package testbed runs a fleet of real daemon processes on one machine, with
// stand-in targets, clients and operators, injects faults, and lets package checker
// judge from what the stand-ins saw whether each guarantee was kept.
//
// Every daemon, target and group of clients has a loopback address of its own. With
// Options.Relay all connections pass a relay, which delays them by region and can
// partition the network. Faults come from a Script: from a file, built in, or
// drawn from a seed.
//
// Invariants:
//   - Verdicts are based only on what stand-ins and operators sent and received,
//     never on a daemon's logs or internal state. Metrics and the status page are
//     printed, and never judged.
//   - A fault that explains the end of a connection is noted before the
//     connection can end (MarkImpaired), so that a closed connection counts as a
//     violation only where no fault explains it.
//   - A script is checked as a whole against the plan before anything starts.
//   - Every process started ends with this one, even if it is killed.
//
// The package doesn't simulate: it depends on the machine's speed, and is no
// replacement for the seeds of package simulator. The actions of scripts and the
// words of their files (docs/testbed.md) don't change.
//
// Tests: testbed_test.go (a fleet under load with faults, and the control API),
// bad_requests_test.go and bad_commands_test.go (tables of invalid input),
// runbooks_test.go, shutdown_test.go, script_test.go and programs_test.go.
package testbed
