// Package blueprint describes the deployments that the simulator and the testbed run: their zones,
// targets, routes and load, and the configuration changes that stand-in operators send. It starts
// no processes, and takes random numbers only from the source passed to it, so that a seed
// determines a run.
//
// It has no tests of its own; the tests of packages simulator and testbed cover every plan.
package blueprint
