// Command testbed runs complete dunlinwell fleets on one machine and counts how often each
// guarantee was checked and violated.
//
//	testbed up       starts a fleet of real processes for manual tests
//	testbed run      runs load and faults against such a fleet (package testbed)
//	testbed drill    runs random and scripted faults in virtual time (package simulator)
//	testbed hollow   measures the control plane's cost on large fleets (package scaletest)
//
// The exit code is 1 if a guarantee was violated or a run failed. The command only reads
// flags, calls these packages and prints their results; the checks are in the packages, and
// so are the tests. docs/testbed.md is the manual.
package main
