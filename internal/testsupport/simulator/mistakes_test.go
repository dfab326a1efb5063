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

// alwaysYours lets every claim stand, whoever has the mark.
func alwaysYours(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	_, out := idempotency.Ops()[idempotency.OpClaim](key, nil, arg)
	return old, out
}

// half applies the first part of a change alone.
func half(key ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if i := bytes.Index(arg, []byte(`,{"kind":"route"`)); i > 0 && bytes.Contains(arg, []byte("shelf-")) {
		arg = append(append([]byte{}, arg[:i]...), "]}"...)
	}
	return configuration.Ops()[configuration.OpChange](key, old, arg)
}

// pushes spoils what registries push to proxies.
func pushes(spoil func(p *distribution.Push)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if p, ok := msg.(distribution.Push); ok {
			p.Targets = append(p.Targets[:0:0], p.Targets...)
			spoil(&p)
			return p, true
		}
		return msg, true
	}
}

func swap(old, new string) func(p *distribution.Push) {
	return func(p *distribution.Push) {
		p.Configuration = bytes.ReplaceAll(p.Configuration, []byte(old), []byte(new))
	}
}

// tables spoils the plans that registries tell one another.
func tables(spoil func(*spill.Table)) func(string, string, any) (any, bool) {
	return func(_, _ string, msg any) (any, bool) {
		if t, ok := msg.(spill.Table); ok {
			spoil(&t)
			return t, true
		}
		return msg, true
	}
}

// reversed moves the other end of the tiers.
func reversed(in []spill.Move) []spill.Move {
	other := map[ids.Name]ids.Name{"way-0": "way-1", "way-1": "way-2", "way-2": "way-0"}
	out := slices.Clone(in)
	for i := range out {
		out[i].Route = other[out[i].Route]
	}
	return out
}

// farther sends everything to one end of the world.
func farther(in []spill.Move) []spill.Move {
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

// crossed sends others' traffic of every route into a zone whose own is away.
func crossed(in []spill.Move) []spill.Move {
	out := slices.Clone(in)
	for _, m := range in {
		for _, route := range []ids.Name{"way-0", "way-1", "way-2"} {
			out = append(out, spill.Move{From: m.To, To: m.From, Route: route, Fraction: 0.95})
		}
	}
	return out
}

// deaf proxies hear nothing from one another, and of no target's interval.
func deaf(from, to string, msg any) (any, bool) {
	if _, hearsay := msg.(proxy.LeaseGossip); hearsay {
		return nil, false
	}
	return pushes(func(p *distribution.Push) {
		for i := range p.Targets {
			p.Targets[i].IntervalMillis = 1e6
		}
	})(from, to, msg)
}

// refuseCopies confirms each order once, and refuses it from then on.
func refuseCopies() func(registry.Response) registry.Response {
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
	w.every(time.Second, 60*millisecond, 400, func(i int) { w.put(600+i, i%blueprint.RoutePairs) })
	w.every(3*time.Second, 8*time.Second, 5, func(i int) {
		behind, wiped, up := w.procs[i%3], w.procs[(i+1)%3], w.procs[(i+2)%3]
		w.bounce(behind, 3*time.Second)
		w.later(2900*millisecond, func() {
			w.wipe(wiped, 200*millisecond)
			w.bounce(up, 3*time.Second)
		})
	})
}

// seedsTurnedThenReplaced changes the settings, restarts everything and replaces
// two core machines, which know of the others from their seeds alone.
func seedsTurnedThenReplaced(w *World) {
	w.later(2*time.Second, func() { w.turnSeeds(nil) })
	w.later(3*time.Second, func() { w.herd(w.living(0), w.restart) })
	w.later(8*time.Second, func() { w.swap(w.procs[0]) })
	w.later(21*time.Second, func() { w.swap(w.procs[1]) })
}

// emptiedAgainAndAgain empties zones, each as soon as the one before is refilled.
func emptiedAgainAndAgain(w *World) {
	w.every(3*time.Second, 2*time.Second, 18, func(int) { w.emptyZone() })
}

// lostAfterCalm breaks half of all answers once a calm while has earned retries:
// targets that break some are left alone, so that faults by lot hardly ever ask
// for more retries than there may be.
func lostAfterCalm(w *World) {
	w.later(18*time.Second, func() {
		for _, t := range w.targets {
			t.corruptShare = 0.5
		}
	})
}
