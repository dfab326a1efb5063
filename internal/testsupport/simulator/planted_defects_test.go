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

// grantEveryClaim grants every claim, even if the idempotency key is already claimed.
func grantEveryClaim(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	_, out := idempotency.Ops()[idempotency.OpClaim](key, nil, arg)
	return old, out
}

// applyHalf applies only the first item of a change to a pair.
func applyHalf(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if i := bytes.Index(arg, []byte(`,{"kind":"route"`)); i > 0 && bytes.Contains(arg, []byte("shelf-")) {
		arg = append(append([]byte{}, arg[:i]...), "]}"...)
	}
	return configuration.Ops()[configuration.OpChange](key, old, arg)
}

// alterPushes alters the pushes of registries to proxies.
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

// alterTables alters the spill tables that registries send to each other.
func alterTables(alter func(*spill.Table)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if t, ok := msg.(spill.Table); ok {
			alter(&t)
			return t, true
		}
		return msg, true
	}
}

// rotateRoutes replaces the route of each move, so that the order of tiers is violated.
func rotateRoutes(in []spill.Move) []spill.Move {
	other := map[ids.Name]ids.Name{"way-0": "way-1", "way-1": "way-2", "way-2": "way-0"}
	out := slices.Clone(in)
	for i := range out {
		out[i].Route = other[out[i].Route]
	}
	return out
}

// moveToFarZones moves all traffic to the last zones, regardless of their distance.
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

// addOpposingMoves adds moves into each zone whose own traffic is moved away.
func addOpposingMoves(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for _, m := range in {
		for _, route := range []ids.Name{"way-0", "way-1", "way-2"} {
			out = append(out, spill.Move{From: m.To, To: m.From, Route: route, Fraction: 0.95})
		}
	}
	return out
}

// dropLeaseGossip drops the lease gossip between proxies and makes the heartbeat interval of
// targets too long to expire.
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

// rejectResentChanges passes the first confirmation of each change and replaces later ones by a
// rejection.
func rejectResentChanges() func(registry.Response) registry.Response {
	var mu sync.Mutex
	confirmed := map[ids.ChangeID]bool{}
	return func(response registry.Response) registry.Response {
		r, ok := response.Body.(configuration.Result)
		if !ok || response.Status != 200 {
			return response
		}
		mu.Lock()
		defer mu.Unlock()
		if confirmed[r.ID] {
			response.Status = 409
		}
		confirmed[r.ID] = true
		return response
	}
}

// wipedAndRestarted wipes the disk of a store and restarts the only up-to-date one, so that the
// blank store and one that missed the last changes are a majority.
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

// seedsReplacedThenMachines changes the seeds, restarts all processes and replaces two core
// machines. The new ones know the others only from their seeds.
func seedsReplacedThenMachines(w *World) {
	w.schedule(2*time.Second, func() { w.changeSeeds(nil) })
	w.schedule(3*time.Second, func() { w.restartAll(w.remainingProcesses(0), w.restartDuration) })
	w.schedule(8*time.Second, func() { w.replaceAfterLoss(w.processes[0]) })
	w.schedule(21*time.Second, func() { w.replaceAfterLoss(w.processes[1]) })
}

// drainRepeatedly drains zones one after the other, each as soon as the previous one is restored.
func drainRepeatedly(w *World) {
	w.repeat(3*time.Second, 2*time.Second, 18, func(int) { w.drainZone() })
}

// loseResponsesLate loses half of all responses after enough requests without faults to fill the
// retry budget. Random faults rarely cause enough retries to exceed the budget.
func loseResponsesLate(w *World) {
	w.schedule(18*time.Second, func() {
		for _, t := range w.targets {
			t.corruptResponseShare = 0.5
		}
	})
}
