package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

func init() {
	for i := range 3 {
		Scenes[fmt.Sprintf("core-machine-%d-cut-off-both-ways", i+1)] = func(w *World) { partitionCoreMachine(w, i, false, false) }
		Scenes[fmt.Sprintf("core-machine-%d-deaf", i+1)] = func(w *World) { partitionCoreMachine(w, i, true, false) }
	}
	Scenes["halves-and-overlapping-losses"] = corePartitionsAndPowerLosses
	Scenes["core-machine-cut-off-and-restarted"] = func(w *World) { partitionCoreMachine(w, 0, false, true) }
}

const (
	// partitionFrom and partitionFor are the start and the duration of the partition.
	partitionFrom = 8 * time.Second
	partitionFor  = 25 * time.Second
	// probeDelay is the time within which a registry must notice that it is partitioned: the
	// control lease, the timeout of a call made under it, and a timer tick.
	probeDelay = 2500 * time.Millisecond
	probeEvery = 400 * time.Millisecond
	// probeTimeout is the time within which a partitioned registry must answer.
	probeTimeout = time.Second
	// maxTwoPlanners is how long two registries may both be the planner: a partitioned one stops
	// when its lease expires.
	maxTwoPlanners = 2 * time.Second
)

// partitionCoreMachine partitions one core machine from the others; proxies, targets and clients
// reach both sides. If oneWay, only messages to the machine are dropped. With restarts, its
// processes and a proxy are restarted during the partition.
func partitionCoreMachine(w *World, number int, oneWay, restarts bool) {
	machine := w.coreMachine(number)
	w.schedule(partitionFrom, func() { w.cutOffCoreMachine(number, partitionFor, partitionStyle{oneWay: oneWay}) })
	for _, p := range machine {
		if p.role == membership.Registry {
			w.repeat(partitionFrom+probeDelay, probeEvery, int((partitionFor-probeDelay-2*probeTimeout)/probeEvery), func(i int) { w.probePartitioned(p, i) })
		}
	}
	if restarts {
		w.schedule(partitionFrom+6*time.Second, func() {
			for _, p := range append(machine, w.randomProcess(membership.Proxy)) {
				w.restartProcess(p, time.Second)
			}
		})
	}
	w.checkPlanners()
}

// coreMachine returns the processes of a core machine, given its number from 0.
func (w *World) coreMachine(number int) []*process {
	var processes []*process
	for _, p := range w.processes {
		if p.role != membership.Proxy && p.name[len(p.name)-1:] == fmt.Sprint(number+1) {
			processes = append(processes, p)
		}
	}
	return processes
}

// cutOffCoreMachine partitions a core machine from the rest of the core for a duration. All other
// processes reach both sides.
func (w *World) cutOffCoreMachine(number int, d time.Duration, style partitionStyle) {
	machine := w.coreMachine(number)
	isolated := processSide(machine...)
	others := func(name string, zone ids.Name) bool { return w.coreSide(name, zone) && !isolated(name, zone) }
	w.trace("%s and %s are partitioned from the core", machine[0].name, machine[1].name)
	w.addPartition(d, &partition{sideA: others, sideB: isolated, partitionStyle: style})
}

// corePartitionsAndPowerLosses partitions the core repeatedly. During each partition the whole core
// and then all proxies lose power: more processes than tolerated, but no disks. Changes and reads
// continue.
func corePartitionsAndPowerLosses(w *World) {
	w.repeat(4*time.Second, 14*time.Second, 3, func(i int) {
		w.cutOffCoreMachine(i%3, 8*time.Second, partitionStyle{})
		w.schedule(2*time.Second, func() {
			for number := range 3 {
				for _, p := range w.coreMachine(number) {
					w.restartProcess(p, w.randomDuration(500*time.Millisecond, 3*time.Second))
				}
			}
		})
		w.schedule(4*time.Second, func() {
			w.restartAll(w.remainingProcesses(membership.Proxy), func() time.Duration { return w.randomDuration(500*time.Millisecond, 2*time.Second) })
		})
	})
}

// probePartitioned makes one call to a partitioned registry, which must answer within probeTimeout
// that it is unavailable.
func (w *World) probePartitioned(p *process, i int) {
	if !p.up || w.Checker == nil {
		return
	}
	name, call := callNeedingCore(w, i)
	answered := false
	sentAt := w.now
	w.callRegistry(p, operator, p.zone, call, func(r registry.Response) {
		answered = true
		if r.Status != 503 && r.Status != 504 {
			w.Checker.Violation("%s, partitioned, answered %s with %d: %v", p.name, name, r.Status, r.Body)
		}
		if took := w.now.Sub(sentAt); took > probeTimeout {
			w.Checker.Violation("%s, partitioned, took %s to answer %s", p.name, took, name)
		}
	}, nil)
	w.schedule(probeTimeout+100*time.Millisecond, func() {
		if !answered && p.up && !p.frozen {
			w.Checker.Violation("%s, partitioned, did not answer %s", p.name, name)
		}
	})
}

// callNeedingCore returns the name and the constructor of the ith call, cycling through the kinds
// of calls that need the core.
func callNeedingCore(w *World, i int) (string, func(id uint64) any) {
	unknownTarget := targets.Target{
		Instance: "probe", Incarnation: 1, Sequence: ids.Sequence(i + 1), Service: "ledger", Address: "10.99.0.1:80",
		Zone: w.Plan.Zone(0), Warmth: 1, IntervalMillis: 1000, Dead: true, Draining: true,
	}
	raw := []byte(fmt.Sprintf(`{"id":"probe-%d","changes":[{"kind":"service","name":"none","version":%d,"remove":true}]}`, i, i+1))
	switch i % 6 {
	case 0:
		return "a change", func(id uint64) any { return registry.ChangeCall{ID: id, Raw: raw} }
	case 1:
		return "a read", func(id uint64) any { return registry.ReadConfigurationCall{ID: id} }
	case 2:
		return "a heartbeat of a dead target", func(id uint64) any { return registry.HeartbeatCall{ID: id, Target: unknownTarget} }
	case 3:
		return "a deregistration", func(id uint64) any { return registry.DeregisterCall{ID: id, Instance: "nobody"} }
	case 4:
		return "a merge", func(id uint64) any { return registry.MergeCall{ID: id, Body: configuration.Merge{}} }
	}
	return "a directory lookup", func(id uint64) any { return registry.ResolveCall{ID: id, Zone: w.Plan.Zone(0), Route: "none"} }
}

// checkPlanners periodically checks which registries are planners. Two may be planners for
// maxTwoPlanners, and never under the same epoch.
func (w *World) checkPlanners() {
	var since ids.Time
	w.repeat(partitionFrom, 100*time.Millisecond, int((partitionFor+10*time.Second)/(100*time.Millisecond)), func(int) {
		epochs := map[ids.Epoch]string{}
		count := 0
		for _, p := range w.processes {
			epoch, ok := plannerEpoch(p)
			if !ok {
				continue
			}
			count++
			if other, same := epochs[epoch]; same {
				w.Checker.Violation("%s and %s are both planners under epoch %d", other, p.name, epoch)
			}
			epochs[epoch] = p.name
		}
		switch {
		case count < 2:
			since = 0
		case since == 0:
			since = w.now
		case w.now.Sub(since) > maxTwoPlanners:
			w.Checker.Violation("%d registries have been planners for %s: %v", count, w.now.Sub(since), epochs)
			since = w.now
		}
	})
}

// plannerEpoch returns the epoch of a process that is the planner, and false otherwise.
func plannerEpoch(p *process) (ids.Epoch, bool) {
	planner, ok := p.machine.(*registry.Registry)
	if !ok || !p.up {
		return 0, false
	}
	return planner.PlannerEpoch()
}
