package simulator

// coreFaults are the faults of core machines: permanent losses, of disks too, also right after an
// acknowledgement; and what operators do to them.
var coreFaults = []faultKind{
	{"core machine replaced", 1, func(w *World) { w.replaceCore(false) }},
	{"core machine replaced as planned", 1, func(w *World) { w.replaceCore(true) }},
	{"disk lost", 1, func(w *World) { w.loseRandomDisk() }},
	{"disk lost after an acknowledgement", 2, func(w *World) { w.afterAck(w.loseDiskOfMachine) }},
	{"power lost after an acknowledgement", 1, func(w *World) { w.afterAck(w.powerCycleMachine) }},
	{"seeds turned over", 1, func(w *World) {
		w.changeSeeds(nil)
		w.restartProcess(w.randomProcess(0), w.restartDuration())
	}},
	{"zone emptied", 1, func(w *World) { w.drainZone() }},
}
