// Package testbed runs a fleet of real daemon processes on one machine together with
// stand-in targets, clients and operators, and injects faults. Package checker
// verifies each guarantee from what the stand-ins observed.
//
// Every daemon, target and group of clients has its own loopback address. With
// Options.Relay, all connections go through a relay, which adds latency between
// regions and can partition the network. Faults come from a Script, which is read
// from a file, built in, or generated from a seed.
//
// Invariants:
//   - Verdicts are based only on what stand-ins sent and received, never on a
//     daemon's logs or internal state. Metrics and the status page are printed but
//     not checked, except for the load of zones.
//   - A process is marked as impaired (MarkImpaired) before a fault can close its
//     connections. A connection closed without such a mark is a violation.
//   - A script is validated against the plan before anything starts.
//   - Every process that was started ends with this one, even if this one is killed.
//
// Runs aren't deterministic and depend on the machine's speed; package simulator
// covers reproducible runs. The names of actions and the keys of script files
// (docs/testbed.md) are stable.
//
// Tests: testbed_test.go (a fleet under load with faults, and the control API),
// bad_requests_test.go and bad_commands_test.go (tables of invalid input),
// runbooks_test.go, shutdown_test.go, script_test.go and programs_test.go.
package testbed
