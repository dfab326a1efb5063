package simulator

// coreFaults are the faults of core machines: losses of machines, disks and power, some right after
// an acknowledgement, and operations such as replacing the seeds or draining a zone.
var coreFaults = []faultKind{
	{"core machine replaced", 1, func(w *World) { w.replaceCore(false) }},
	{"core machine replaced as planned", 1, func(w *World) { w.replaceCore(true) }},
	{"disk lost", 1, func(w *World) { w.loseRandomDisk() }},
	{"disk lost after an acknowledgement", 2, func(w *World) { w.afterAck(w.loseDiskOfMachine) }},
	{"power lost after an acknowledgement", 1, func(w *World) { w.afterAck(w.powerCycleMachine) }},
	{"seeds replaced", 1, func(w *World) {
		w.changeSeeds(nil)
		w.restartProcess(w.randomProcess(0), w.restartDuration())
	}},
	{"zone drained", 1, func(w *World) { w.drainZone() }},
}
