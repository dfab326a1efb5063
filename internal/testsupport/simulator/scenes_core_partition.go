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
	// partitionFrom and partitionFor are when the partition begins and how long it lasts.
	partitionFrom = 8 * time.Second
	partitionFor  = 25 * time.Second
	// probeDelay is how soon a registry must notice that it is cut off: the control
	// lease, the time-out of a call made under it, and a timer tick.
	probeDelay = 2500 * time.Millisecond
	probeEvery = 400 * time.Millisecond
	// probeTimeout is how soon a registry that is cut off must answer.
	probeTimeout = time.Second
	// maxTwoPlanners is for how long two registries may both plan: one that is cut off
	// finds out when its lease ends.
	maxTwoPlanners = 2 * time.Second
)

// partitionCoreMachine cuts one core machine off from the others; proxies, targets and clients
// reach both sides. A deaf one can still be heard. With restarts, its processes and a proxy are
// restarted meanwhile.
func partitionCoreMachine(w *World, number int, deaf, restarts bool) {
	mine := w.coreMachine(number)
	w.schedule(partitionFrom, func() { w.cutOffCoreMachine(number, partitionFor, partitionStyle{oneWay: deaf}) })
	for _, p := range mine {
		if p.role == membership.Registry {
			w.repeat(partitionFrom+probeDelay, probeEvery, int((partitionFor-probeDelay-2*probeTimeout)/probeEvery), func(i int) { w.probePartitioned(p, i) })
		}
	}
	if restarts {
		w.schedule(partitionFrom+6*time.Second, func() {
			for _, p := range append(mine, w.randomProcess(membership.Proxy)) {
				w.restartProcess(p, time.Second)
			}
		})
	}
	w.checkPlanners()
}

// coreMachine returns the processes of a core machine, counted from 0.
func (w *World) coreMachine(number int) []*process {
	var processes []*process
	for _, p := range w.processes {
		if p.role != membership.Proxy && p.name[len(p.name)-1:] == fmt.Sprint(number+1) {
			processes = append(processes, p)
		}
	}
	return processes
}

// cutOffCoreMachine cuts a core machine off from the rest of the core for a time. All others reach
// both sides.
func (w *World) cutOffCoreMachine(number int, d time.Duration, style partitionStyle) {
	mine := w.coreMachine(number)
	here := processSide(mine...)
	there := func(name string, zone ids.Name) bool { return w.coreSide(name, zone) && !here(name, zone) }
	w.trace("%s and %s are cut off", mine[0].name, mine[1].name)
	w.addPartition(d, &partition{sideA: there, sideB: here, partitionStyle: style})
}

// corePartitionsAndPowerLosses cuts the core into two parts again and again. Under each cut the whole
// core loses power, and then all proxies do, so that more is lost at once than is tolerated, but no
// disk. Changes and reads at every daemon go on meanwhile.
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

// probePartitioned makes one call to a registry that is cut off, which must answer within
// probeTimeout that it can't serve it.
func (w *World) probePartitioned(p *process, i int) {
	if !p.up || w.Checker == nil {
		return
	}
	name, call := callNeedingCore(w, i)
	answered := false
	asked := w.now
	w.callRegistry(p, operator, p.zone, call, func(r registry.Response) {
		answered = true
		if r.Status != 503 && r.Status != 504 {
			w.Checker.Violation("%s, cut off, answered %s with %d: %v", p.name, name, r.Status, r.Body)
		}
		if took := w.now.Sub(asked); took > probeTimeout {
			w.Checker.Violation("%s, cut off, took %s to answer %s", p.name, took, name)
		}
	}, nil)
	w.schedule(probeTimeout+100*time.Millisecond, func() {
		if !answered && p.up && !p.frozen {
			w.Checker.Violation("%s, cut off, left %s unanswered", p.name, name)
		}
	})
}

// callNeedingCore returns the name and the maker of the ith kind of call that needs the core.
func callNeedingCore(w *World, i int) (string, func(id uint64) any) {
	stranger := targets.Target{
		Instance: "probe", Incarnation: 1, Sequence: ids.Sequence(i + 1), Service: "ledger", Address: "10.99.0.1:80",
		Zone: w.Plan.Zone(0), Warmth: 1, IntervalMillis: 1000, Dead: true, Draining: true,
	}
	raw := []byte(fmt.Sprintf(`{"id":"probe-%d","changes":[{"kind":"service","name":"none","version":%d,"remove":true}]}`, i, i+1))
	switch i % 6 {
	case 0:
		return "a change that it can't judge", func(id uint64) any { return registry.ChangeCall{ID: id, Raw: raw} }
	case 1:
		return "a read", func(id uint64) any { return registry.ReadConfigurationCall{ID: id} }
	case 2:
		return "a target's end", func(id uint64) any { return registry.HeartbeatCall{ID: id, Target: stranger} }
	case 3:
		return "a stranger's end", func(id uint64) any { return registry.DeregisterCall{ID: id, Instance: "nobody"} }
	case 4:
		return "a merge", func(id uint64) any { return registry.MergeCall{ID: id, Body: configuration.Merge{}} }
	}
	return "where to go", func(id uint64) any { return registry.ResolveCall{ID: id, Zone: w.Plan.Zone(0), Route: "none"} }
}

// checkPlanners regularly checks who plans. Two registries may for as long as one takes to find out
// that it has lost the role, and never under one epoch.
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
				w.Checker.Violation("%s and %s both plan under epoch %d", other, p.name, epoch)
			}
			epochs[epoch] = p.name
		}
		switch {
		case count < 2:
			since = 0
		case since == 0:
			since = w.now
		case w.now.Sub(since) > maxTwoPlanners:
			w.Checker.Violation("%d registries have planned for %s: %v", count, w.now.Sub(since), epochs)
			since = w.now
		}
	})
}

// plannerEpoch returns the epoch under which a process plans, if it does.
func plannerEpoch(p *process) (ids.Epoch, bool) {
	f, ok := p.machine.(*registry.Registry)
	if !ok || !p.up {
		return 0, false
	}
	return f.PlannerEpoch()
}
