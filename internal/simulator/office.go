package simulator

import (
	"encoding/json"
	"fmt"

	"dunlinwell/internal/blueprint"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/policy"
	"dunlinwell/internal/registry"
)

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
	w.call("operator", w.Plan.Cell(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		if rep.Status == 200 {
			w.Truth.Wrong("%s was accepted", id)
		}
	}, nil)
}

// change sends a change until its end is known, under the same id each time.
func (w *World) change(raw string, accepted func(policy.Result)) {
	id := w.Truth.Ask([]byte(raw), w.clock())
	w.history.begin(w.now, id)
	w.resend(id, raw, true, accepted)
}

// resend sends it once more; sure tells that no earlier copy can take effect.
func (w *World) resend(id, raw string, sure bool, accepted func(policy.Result)) {
	again := func() { w.later(300*ms, func() { w.resend(id, raw, sure, accepted) }) }
	maybe := func() { sure = false; again() }
	w.call("operator", w.Plan.Cell(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		r, ok := rep.Body.(policy.Result)
		switch {
		case !ok && rep.Status != 503:
			maybe()
			return
		// Surely not accepted: some operators leave it at that, and then it may
		// never show.
		case !ok && sure && w.dice.IntN(3) == 0 && accepted == nil:
			w.Truth.Decline(id)
			w.history.declined(id)
			return
		case !ok:
			again()
			return
		}
		w.trace("operator: %s ends with %d, revision %d", id, rep.Status, r.Revision)
		switch rep.Status {
		case 200:
			w.Truth.Accept(id, uint64(r.Revision), w.clock())
			w.history.accepted(w.now, id, r.Revision)
			w.promise(r.Revision)
			if accepted != nil {
				accepted(r)
			}
		case 400:
			w.Truth.Wrong("%s was declined with %d: %+v", id, rep.Status, r)
			w.Truth.Decline(id)
			w.history.declined(id)
		default:
			// What it removes is gone already, or another was sooner.
			w.Truth.Decline(id)
			w.history.declined(id)
		}
	}, maybe)
}

// page gives a policy as its page would say it.
func page(p *policy.Policy) []byte {
	raw, _ := json.Marshal(p)
	return raw
}
