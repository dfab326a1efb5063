// Package simulator runs a whole deployment in one goroutine and in virtual time: the state machines
// of the daemons under a seeded scheduler, with a network that loses, delays, duplicates and
// partitions messages, disks that lose unsynced writes, processes that are killed and frozen, and
// wall clocks that jump. Simulated targets, clients and operators use the deployment, and package
// checker verifies what they observe.
//
// A run is determined by its seed and options: every random number is drawn from the World's source
// in a fixed order, and no map is iterated where the order could affect the run. One draw more or
// less changes every seed, so code that only observes must not draw. The package doesn't read the
// clock, start goroutines or open sockets.
//
// World and the scheduler are in world.go and scheduler.go, the phases of a run in run.go and
// fleet.go, processes and disks in process.go and disk.go, the network in network.go, partitions.go
// and connections.go, random faults in faults*.go and scripted ones in scenes*.go, simulated
// clients, operators and targets in clients.go, operators.go and target.go, and recorded traces of
// single machines in trace*.go.
//
// The tests are in this package: TestSeeds and TestScenes run the simulator, and
// TestChecker_DetectsPlantedDefects verifies with planted defects that every rule of the checker
// detects its violation.
package simulator
