package simulator

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/testsupport/blueprint"
)

// grantEveryClaim grants every claim, whoever has the idempotency key.
func grantEveryClaim(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	_, out := idempotency.Ops()[idempotency.OpClaim](key, nil, arg)
	return old, out
}

// applyHalf applies the first part of a change alone.
func applyHalf(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if i := bytes.Index(arg, []byte(`,{"kind":"route"`)); i > 0 && bytes.Contains(arg, []byte("shelf-")) {
		arg = append(append([]byte{}, arg[:i]...), "]}"...)
	}
	return configuration.Ops()[configuration.OpChange](key, old, arg)
}

// alterPushes alters what registries push to proxies.
func alterPushes(alter func(p *distribution.Push)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if p, ok := msg.(distribution.Push); ok {
			p.Targets = append(p.Targets[:0:0], p.Targets...)
			alter(&p)
			return p, true
		}
		return msg, true
	}
}

func replaceInPush(old, new string) func(p *distribution.Push) {
	return func(p *distribution.Push) {
		p.Configuration = bytes.ReplaceAll(p.Configuration, []byte(old), []byte(new))
	}
}

// alterTables alters the spill tables that registries send one another.
func alterTables(alter func(*spill.Table)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if t, ok := msg.(spill.Table); ok {
			alter(&t)
			return t, true
		}
		return msg, true
	}
}

// rotateRoutes moves the other end of the tiers.
func rotateRoutes(in []spill.Move) []spill.Move {
	other := map[ids.Name]ids.Name{"way-0": "way-1", "way-1": "way-2", "way-2": "way-0"}
	out := slices.Clone(in)
	for i := range out {
		out[i].Route = other[out[i].Route]
	}
	return out
}

// moveToFarZones sends everything to one end of the world.
func moveToFarZones(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for i := range out {
		for _, to := range []ids.Name{"cell-e1", "cell-d1", "cell-c1"} {
			if out[i].From != to {
				out[i].To = to
			}
		}
	}
	return out
}

// addOpposingMoves sends others' traffic of every route into a zone whose own is away.
func addOpposingMoves(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for _, m := range in {
		for _, route := range []ids.Name{"way-0", "way-1", "way-2"} {
			out = append(out, spill.Move{From: m.To, To: m.From, Route: route, Fraction: 0.95})
		}
	}
	return out
}

// dropLeaseGossip proxies hear nothing from one another, and of no target's interval.
func dropLeaseGossip(from, to string, msg any) (any, bool) {
	if _, hearsay := msg.(proxy.LeaseGossip); hearsay {
		return nil, false
	}
	return alterPushes(func(p *distribution.Push) {
		for i := range p.Targets {
			p.Targets[i].IntervalMillis = 1e6
		}
	})(from, to, msg)
}

// rejectResentChanges confirms each change once, and rejects it from then on.
func rejectResentChanges() func(registry.Response) registry.Response {
	var mu sync.Mutex
	confirmed := map[ids.ChangeID]bool{}
	return func(rep registry.Response) registry.Response {
		r, ok := rep.Body.(configuration.Result)
		if !ok || rep.Status != 200 {
			return rep
		}
		mu.Lock()
		defer mu.Unlock()
		if confirmed[r.ID] {
			rep.Status = 409
		}
		confirmed[r.ID] = true
		return rep
	}
}

// wipedAndRestarted loses a disk, and right after the power of another store:
// the blank one and the one that missed the last changes are a majority.
func wipedAndRestarted(w *World) {
	w.repeat(time.Second, 60*millisecond, 400, func(i int) { w.putPair(600+i, i%blueprint.RoutePairs) })
	w.repeat(3*time.Second, 8*time.Second, 5, func(i int) {
		behind, wiped, up := w.processes[i%3], w.processes[(i+1)%3], w.processes[(i+2)%3]
		w.restartProcess(behind, 3*time.Second)
		w.schedule(2900*millisecond, func() {
			w.loseDiskAndPower(wiped, 200*millisecond)
			w.restartProcess(up, 3*time.Second)
		})
	})
}

// seedsReplacedThenMachines changes the settings, restarts everything and replaces
// two core machines, which know of the others from their seeds alone.
func seedsReplacedThenMachines(w *World) {
	w.schedule(2*time.Second, func() { w.changeSeeds(nil) })
	w.schedule(3*time.Second, func() { w.restartAll(w.remainingProcesses(0), w.restartDuration) })
	w.schedule(8*time.Second, func() { w.replaceAfterLoss(w.processes[0]) })
	w.schedule(21*time.Second, func() { w.replaceAfterLoss(w.processes[1]) })
}

// drainRepeatedly drains zones, each as soon as the previous one is restored.
func drainRepeatedly(w *World) {
	w.repeat(3*time.Second, 2*time.Second, 18, func(int) { w.drainZone() })
}

// loseResponsesLate breaks half of all answers once a calm while has earned retries:
// targets that break some are left alone, so that faults by lot hardly ever ask
// for more retries than there may be.
func loseResponsesLate(w *World) {
	w.schedule(18*time.Second, func() {
		for _, t := range w.targets {
			t.corruptResponseShare = 0.5
		}
	})
}
