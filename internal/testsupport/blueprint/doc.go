// Package blueprint describes the deployments that tests run, in the simulator and with real
// processes alike: their zones, targets, routes and load, and the configuration changes that
// stand-in operators send. It starts nothing and draws random numbers only from the source that
// it is given, so that a seed determines a run.
//
// It has no tests of its own; the tests of simulator and testbed run every plan.
package blueprint
