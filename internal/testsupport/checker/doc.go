// Package checker checks the guarantees of the system against what simulated targets, clients and
// operators observed: a non-idempotent request is never executed twice, a rejected request was
// never executed, a configuration change is applied atomically, and so on.
//
// Apart from their responses it takes no input from the daemons under test, so it can't share a
// bug with them. It never drives a run: the simulator and the test bed each feed one Checker and
// call Results at the end.
//
// Unit tests are beside the code. TestChecker_DetectsPlantedDefects in the simulator injects defects
// to show that each rule detects the fault that it is meant for.
package checker
