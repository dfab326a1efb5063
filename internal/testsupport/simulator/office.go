package simulator

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/blueprint"
)

// operator is the name that operators have in cuts and exchanges.
const operator = "operator"

// operatorState is the operators and their automation: changes in races and storms,
// broken and stale ones, and reads. What was promised stands in the witness's
// books; here is only what the next change needs.
type operatorState struct {
	n           int
	stop        bool
	drainedZone ids.Name
	// zoneAt is the newest revision that emptied or refilled a zone.
	zoneAt ids.Revision
	// raced is the version of the route that operators race for.
	raced ids.Revision
	// taken are the changes that a registry has confirmed, whether or not its
	// answer arrived.
	taken map[string]bool
	// recordLost: all core disks are lost, and with them what says which orders
	// were taken.
	recordLost bool
	// flips: the route that moves about has been made.
	flips bool
}

// operate goes on by itself until it is stopped.
func (w *World) operate() {
	if w.operators.stop {
		return
	}
	w.later(w.between(100*millisecond, 900*millisecond), func() {
		w.operators.n++
		n := w.operators.n
		switch x := w.random.IntN(14); {
		case x < 4:
			// Two operators at once, on the same items.
			w.put(n, w.random.IntN(blueprint.RoutePairs))
			if x == 0 {
				w.operators.n++
				w.put(w.operators.n, w.random.IntN(blueprint.RoutePairs))
			}
		case x < 5:
			w.reject(w.work().Invalid(fmt.Sprintf("broken-%d", n), n))
		case x < 6:
			w.reject(w.work().Stale(fmt.Sprintf("stale-%d", n), n))
		case x < 7:
			w.change(w.work().Remove(fmt.Sprintf("unput-%d", n), w.random.IntN(blueprint.RoutePairs)), nil)
		case x < 8:
			w.race(n)
		case x < 9:
			w.change(w.work().TargetLevel(fmt.Sprintf("level-%d", n), n), nil)
		case x < 11:
			w.flip(n)
		default:
			w.read()
		}
		w.operate()
	})
}

func (w *World) work() blueprint.ChangeGenerator {
	return blueprint.ChangeGenerator{Plan: w.Plan, Random: w.random}
}

// put changes both items of a pair in one change; serial marks them.
func (w *World) put(n, pair int) {
	w.change(w.work().Put(fmt.Sprintf("put-%d", n), n, pair), nil)
}

// flip moves a route about.
func (w *World) flip(n int) {
	w.operators.flips = true
	w.change(w.work().Flip(fmt.Sprintf("flip-%d", n)), nil)
}

// race lets two operators change one route by the same version of it.
func (w *World) race(n int) {
	won := 0
	for _, who := range []string{"a", "b"} {
		w.change(w.work().Race(fmt.Sprintf("race-%d%s", n, who), n, w.operators.raced), func(r configuration.Result) {
			w.operators.raced = max(w.operators.raced, r.Revision)
			if won++; won > 1 {
				w.Checker.Violation("both sides of race-%d were accepted", n)
			}
		})
	}
}

// reject sends a change that no daemon may accept.
func (w *World) reject(raw string) {
	id := w.Checker.ChangeSent([]byte(raw), w.clock())
	w.Checker.ChangeRejected(id)
	w.call(operator, w.Plan.Zone(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		if rep.Status == 200 {
			w.Checker.Violation("%s was accepted", id)
		}
	}, nil)
}

// page gives a configuration as its page would say it.
func page(p *configuration.Document) []byte {
	raw, _ := json.Marshal(p)
	return raw
}
