// Package checker judges the promises of the system by what stand-in targets, clients and
// operators observed: an unrepeatable request never runs twice, a rejected request never ran, a
// configuration change applies whole or not at all, and the like.
//
// Its invariant: nothing in it comes from the daemons under test but their responses, so it can't
// share a mistake with them. It never drives a run; the simulator and the test bed feed one
// Checker each and ask it for Results at the end.
//
// Unit tests stand beside the code. That every rule catches the mistake it is there for is shown
// by planted defects in the simulator (TestCheckersBite).
package checker
