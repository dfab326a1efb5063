// Package simulator runs a whole deployment in one goroutine and in virtual time: the same state
// machines that the daemons run, under a seeded scheduler, with a network that loses, delays,
// duplicates and partitions, disks that lose what was not synced, processes that are killed and
// frozen, and wall clocks that jump. Stand-in targets, clients and operators use the deployment,
// and package checker judges what they observe.
//
// A run is determined by its seed and options: every random number is drawn from the source of
// the World, in a fixed order, and nothing iterates over a map where the order could show. One
// draw more or less changes every seed, so code that only observes must not draw. Nothing here
// reads the clock, starts a goroutine or opens a socket.
//
// Where things are: World and the scheduler (world.go, scheduler.go), the order of a run (run.go,
// fleet.go), processes and disks, the network (network.go, partitions.go, connections.go), random
// faults (faults*.go) and scripted ones (scenes*.go), the stand-ins (clients.go, operators.go,
// target.go), and recorded traces of single machines (trace*.go).
//
// The package is its own test suite: TestSeeds and TestScenes run it, and TestChecker_DetectsPlantedDefects shows
// with planted defects that every rule of the checker finds the mistake it is there for.
package simulator
