// Command testbed runs whole fleets of dunlinwell on one machine and counts how
// often each guarantee of the software was checked and violated.
//
//	testbed up       starts a fleet of real processes to try things on
//	testbed run      load and faults against such a fleet (package testbed)
//	testbed drill    random and scripted faults in virtual time (package simulator)
//	testbed hollow   cost of the control plane on large fleets (package scaletest)
//
// The exit code is 1 if a guarantee was violated or the run couldn't be made. The
// command only reads flags, calls these packages and prints; it checks
// nothing by itself. docs/testbed.md is its manual, and the tests of the three
// packages are its tests.
package main
