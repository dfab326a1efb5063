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
		Scenes[fmt.Sprintf("core-machine-%d-cut-off-both-ways", i+1)] = func(w *World) { coreMachineCut(w, i, false, false) }
		Scenes[fmt.Sprintf("core-machine-%d-deaf", i+1)] = func(w *World) { coreMachineCut(w, i, true, false) }
	}
	Scenes["core-machine-cut-off-and-restarted"] = func(w *World) { coreMachineCut(w, 0, false, true) }
}

const (
	cutFrom = 8 * time.Second
	cutFor  = 25 * time.Second
	// probeCutFrom is how long after a cut's begin its daemon must know of it: the
	// control lease, the wait of a call that came under it, and a clock event.
	probeCutFrom = 2500 * time.Millisecond
	probeEvery   = 400 * time.Millisecond
	// answerBy is how soon a daemon that is cut off answers.
	answerBy = time.Second
	// twoPlanners is for how long two registries may think that they plan: one
	// that is cut off finds out as its lease ends.
	twoPlanners = 2 * time.Second
)

// coreMachineCut cuts one machine of the core off from the others; proxies,
// targets and clients reach either side. One that is deaf is still heard.
// restarts: its processes, and some proxies, are killed during the cut.
func coreMachineCut(w *World, number int, deaf, restarts bool) {
	var mine []*process
	for _, p := range w.procs {
		if p.role != membership.Proxy && p.name[len(p.name)-1:] == fmt.Sprint(number+1) {
			mine = append(mine, p)
		}
	}
	here := func(name string, _ ids.Name) bool {
		p := w.named(name)
		return p != nil && p.role != membership.Proxy && (p == mine[0] || p == mine[1])
	}
	there := func(name string, zone ids.Name) bool {
		p := w.named(name)
		return p != nil && p.role != membership.Proxy && !here(name, zone)
	}
	w.later(cutFrom, func() {
		w.trace("%s and %s are cut off", mine[0].name, mine[1].name)
		w.cutOff(cutFor, &cut{a: there, b: here, cutStyle: cutStyle{oneWay: deaf}})
	})
	for _, p := range mine {
		if p.role == membership.Registry {
			w.every(cutFrom+probeCutFrom, probeEvery, int((cutFor-probeCutFrom-2*answerBy)/probeEvery), func(i int) { w.probeCutOff(p, i) })
		}
	}
	if restarts {
		w.later(cutFrom+6*time.Second, func() {
			for _, p := range append(mine, w.some(membership.Proxy)) {
				w.bounce(p, time.Second)
			}
		})
	}
	w.watchPlanners()
}

// probeCutOff makes one call at a registry that is cut off, and wants to be told
// within a second that it isn't answered here.
func (w *World) probeCutOff(p *process, i int) {
	if !p.up || w.Checker == nil {
		return
	}
	name, call := cutOffCall(w, i)
	answered := false
	asked := w.now
	w.callAt(p, "operator", p.zone, call, func(r registry.Response) {
		answered = true
		if r.Status != 503 && r.Status != 504 {
			w.Checker.Violation("%s, cut off, answered %s with %d: %v", p.name, name, r.Status, r.Body)
		}
		if took := w.now.Sub(asked); took > answerBy {
			w.Checker.Violation("%s, cut off, took %s to answer %s", p.name, took, name)
		}
	}, nil)
	w.later(answerBy+100*time.Millisecond, func() {
		if !answered && p.up && !p.frozen {
			w.Checker.Violation("%s, cut off, left %s unanswered", p.name, name)
		}
	})
}

// cutOffCall draws up one of the calls that need the core.
func cutOffCall(w *World, i int) (string, func(id uint64) any) {
	stranger := targets.Target{
		Instance: "probe", Incarnation: 1, Sequence: ids.Sequence(i + 1), Service: "ledger", Address: "10.99.0.1:80",
		Zone: w.Plan.Zone(0), Warmth: 1, IntervalMillis: 1000, Gone: true, Leaving: true,
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

// watchPlanners looks again and again at who plans. Two may do so for as long as
// one needs to find out that it has lost the duty, and never under one epoch.
func (w *World) watchPlanners() {
	var since ids.Time
	w.every(cutFrom, 100*time.Millisecond, int((cutFor+10*time.Second)/(100*time.Millisecond)), func(int) {
		epochs := map[ids.Epoch]string{}
		count := 0
		for _, p := range w.procs {
			epoch, ok := planning(p)
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
		case w.now.Sub(since) > twoPlanners:
			w.Checker.Violation("%d registries have planned for %s: %v", count, w.now.Sub(since), epochs)
			since = w.now
		}
	})
}

// planning gives the epoch under which a process plans, if it does.
func planning(p *process) (ids.Epoch, bool) {
	f, ok := p.machine.(*registry.Registry)
	if !ok || !p.up {
		return 0, false
	}
	return f.PlannerEpoch()
}
