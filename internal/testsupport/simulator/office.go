package simulator

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/policy"
	"dunlinwell/internal/testsupport/blueprint"
)

// operator is the name that operators have in cuts and exchanges.
const operator = "operator"

// office is the operators and their automation: changes in races and storms,
// broken and stale ones, and reads. What was promised stands in the witness's
// books; here is only what the next change needs.
type office struct {
	n      int
	stop   bool
	emptie ids.Name
	// cellAt is the newest revision that emptied or refilled a cell.
	cellAt ids.Revision
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

// business goes on by itself until it is stopped.
func (w *World) business() {
	if w.office.stop {
		return
	}
	w.later(w.between(100*ms, 900*ms), func() {
		w.office.n++
		n := w.office.n
		switch x := w.dice.IntN(14); {
		case x < 4:
			// Two operators at once, on the same items.
			w.put(n, w.dice.IntN(blueprint.Pairs))
			if x == 0 {
				w.office.n++
				w.put(w.office.n, w.dice.IntN(blueprint.Pairs))
			}
		case x < 5:
			w.decline(w.work().Broken(fmt.Sprintf("broken-%d", n), n))
		case x < 6:
			w.decline(w.work().Stale(fmt.Sprintf("stale-%d", n), n))
		case x < 7:
			w.change(w.work().Unput(fmt.Sprintf("unput-%d", n), w.dice.IntN(blueprint.Pairs)), nil)
		case x < 8:
			w.race(n)
		case x < 9:
			w.change(w.work().Level(fmt.Sprintf("level-%d", n), n), nil)
		case x < 11:
			w.flip(n)
		default:
			w.read()
		}
		w.business()
	})
}

func (w *World) work() blueprint.Work { return blueprint.Work{Plan: w.Plan, Dice: w.dice} }

// put changes both items of a pair in one change; serial marks them.
func (w *World) put(n, pair int) {
	w.change(w.work().Put(fmt.Sprintf("put-%d", n), n, pair), nil)
}

// flip moves a route about.
func (w *World) flip(n int) {
	w.office.flips = true
	w.change(w.work().Flip(fmt.Sprintf("flip-%d", n)), nil)
}

// race lets two operators change one route by the same version of it.
func (w *World) race(n int) {
	won := 0
	for _, who := range []string{"a", "b"} {
		w.change(w.work().Race(fmt.Sprintf("race-%d%s", n, who), n, w.office.raced), func(r policy.Result) {
			w.office.raced = max(w.office.raced, r.Revision)
			if won++; won > 1 {
				w.Truth.Wrong("both sides of race-%d were accepted", n)
			}
		})
	}
}

// decline sends a change that no daemon may accept.
func (w *World) decline(raw string) {
	id := w.Truth.Ask([]byte(raw), w.clock())
	w.Truth.Decline(id)
	w.call(operator, w.Plan.Cell(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		if rep.Status == 200 {
			w.Truth.Wrong("%s was accepted", id)
		}
	}, nil)
}

// page gives a policy as its page would say it.
func page(p *policy.Policy) []byte {
	raw, _ := json.Marshal(p)
	return raw
}
