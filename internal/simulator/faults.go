package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/consensus"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
	"dunlinwell/internal/policy"
)

// trouble brings one fault about, and asks for the next.
func (w *World) trouble() {
	if w.now >= w.quiet() {
		return
	}
	w.later(w.between(w.FaultEvery/2, w.FaultEvery*3/2), func() {
		if w.now < w.quiet() {
			w.fault()
		}
		w.trouble()
	})
}

// quiet is when the faults end and the day is to come back whole.
func (w *World) quiet() ids.Time { return ids.Time(w.Length) }

func (w *World) some(role membership.Role) *proc {
	var up []*proc
	for _, p := range w.procs {
		if !p.lost && (role == 0 || p.role == role) {
			up = append(up, p)
		}
	}
	return up[w.dice.IntN(len(up))]
}

// bounce kills a process and starts it again after a while.
func (w *World) bounce(p *proc, d time.Duration) {
	p.kill()
	w.later(d, func() {
		if !p.up && !p.lost {
			// Wall clocks jump, also backwards, between two starts.
			p.wall += w.between(-10*time.Minute, 10*time.Minute)
			p.boot()
		}
	})
}

func (w *World) fault() {
	short, p := func() time.Duration { return w.between(300*ms, 5*time.Second) }, w.some(0)
	switch x := w.dice.IntN(23); x {
	case 0, 1:
		w.bounce(p, short())
	case 2:
		// A herd: every process of one role, or half of all.
		role := membership.Role(1 + w.dice.IntN(3))
		w.trace("herd of %s", role)
		for _, q := range w.procs {
			if q.role == role && !q.lost {
				w.bounce(q, short())
			}
		}
	case 3, 4, 5:
		p.freeze(w.between(500*time.Millisecond, 6*time.Second))
	case 6:
		w.some(membership.Proxy).freeze(w.between(time.Second, 5*time.Second))
	case 7, 8:
		w.trace("%s is cut off", p.name)
		w.cutOff(short(), &cut{a: func(n string, _ ids.Name) bool { return n == p.name },
			b: func(n string, _ ids.Name) bool { return n != p.name }, oneWay: w.dice.IntN(2) == 0})
	case 9:
		w.splitCore(short())
	case 10:
		w.loseCell(w.Plan.Cell(w.dice.IntN(w.Plan.Cells)), short())
	case 11:
		w.swapCore()
	case 12:
		q := w.some(membership.Store)
		w.trace("the disk of %s stalls", q.name)
		q.disk.stalled = true
		w.later(short(), func() { q.disk.stalled = false })
	case 13:
		w.trace("bad weather")
		w.net = weather{loss: 0.05, double: 0.1, jitter: 40 * time.Millisecond}
		w.later(short(), func() { w.net = weather{jitter: time.Millisecond} })
	case 14:
		w.emptyCell()
	case 20:
		w.pool[w.dice.IntN(len(w.pool))].freeze(w.between(time.Second, 8*time.Second))
	case 21:
		w.unheard(w.pool[w.dice.IntN(len(w.pool))], nil, w.between(4*time.Second, 9*time.Second))
	case 22:
		w.unheard(w.pool[w.dice.IntN(len(w.pool))], w.some(membership.Proxy), w.between(4*time.Second, 9*time.Second))
	default:
		w.targetFault(x)
	}
}

// unheard cuts a target off from the core, which counts it as gone, while
// proxies still reach it; one of them may be cut off from the core as well.
func (w *World) unheard(t *target, with *proc, d time.Duration) {
	w.trace("%s is cut off from the core", t.id)
	w.Truth.Parted()
	who := func(n string, _ ids.Name) bool { return n == string(t.id) || with != nil && n == with.name }
	w.cutOff(d, &cut{a: who, b: func(n string, _ ids.Name) bool {
		q := w.named(n)
		return q != nil && q.role != membership.Proxy
	}})
}

// splitCore cuts the core in two halves that each see some of the proxies.
func (w *World) splitCore(d time.Duration) {
	side := map[string]bool{}
	for _, p := range w.procs {
		side[p.name] = w.dice.IntN(2) == 0
	}
	w.trace("the fleet splits")
	w.cutOff(d, &cut{a: func(n string, _ ids.Name) bool { s, ok := side[n]; return ok && s },
		b: func(n string, _ ids.Name) bool { s, ok := side[n]; return ok && !s }, oneWay: w.dice.IntN(3) == 0})
}

// loseCell takes the power from a whole cell, targets and all.
func (w *World) loseCell(c ids.Name, d time.Duration) {
	w.trace("%s loses power", c)
	for _, p := range w.procs {
		if p.cell == c && !p.lost {
			w.bounce(p, d+w.between(0, time.Second))
		}
	}
	for _, t := range w.pool {
		if t.cell == c && t.up {
			t.crash()
			w.later(d+w.between(0, time.Second), func() { w.again(t) })
		}
	}
}

// swapCore loses a store and its disk and sets up a blank one at a new
// address: one at a time, once the one before has found its place.
func (w *World) swapCore() {
	if !w.settledRoster() {
		return
	}
	w.swap(w.some(membership.Store))
}

func (w *World) swap(p *proc) {
	w.trace("%s is lost for good", p.name)
	p.kill()
	p.lost = true
	delete(w.at, p.addr)
	after := w.between(100*time.Millisecond, 2*time.Second)
	w.later(after, func() { w.addStore(p.cell) })
	// The machine is one thing: its registry goes with it, and a blank one comes.
	for _, f := range w.procs {
		if f.role == membership.Registry && f.cell == p.cell && !f.lost {
			f.kill()
			f.lost = true
			delete(w.at, f.addr)
			w.later(after, func() { w.add(membership.Registry, 2, f.cell) })
		}
	}
}

func (w *World) addStore(cell ids.Name) { w.add(membership.Store, 1, cell) }

// add puts up a blank core daemon at a new address.
func (w *World) add(role membership.Role, code int, cell ids.Name) {
	n := 0
	for _, q := range w.procs {
		if q.role == role {
			n++
		}
	}
	q := w.addProc(role, fmt.Sprintf("%s-%d", role, n+1), cell, ids.Address(fmt.Sprintf("10.9.%d.%d:1", code, n+1)))
	// Whoever puts up a new machine gives it seeds that live.
	q.seeds = nil
	for _, p := range w.procs {
		if p != q && !p.lost && (p.role == membership.Store || p.role == membership.Registry) && len(q.seeds) < 3 {
			q.seeds = append(q.seeds, p.addr)
		}
	}
	q.boot()
}

// settledRoster tells whether three stores that live on hold the voter set.
func (w *World) settledRoster() bool {
	var newest consensus.VoterSet
	stores := map[uint64]bool{}
	for _, p := range w.procs {
		if p.role != membership.Store || p.lost {
			continue
		}
		stores[p.disk.store] = true
		if raw, ok := p.disk.Get("meta/roster"); ok {
			if r, ok := consensus.DecodeVoterSet(raw); ok && r.Number > newest.Number {
				newest = r
			}
		}
	}
	if newest.Number == 0 || len(newest.Incoming) > 0 {
		return false
	}
	for _, s := range newest.Voters {
		if !stores[s.ID] {
			return false
		}
	}
	return true
}

// emptyCell empties a cell as an operator does, and refills it later.
func (w *World) emptyCell() {
	if w.office.emptie != "" {
		return
	}
	c := w.Plan.Cell(w.dice.IntN(w.Plan.Cells))
	w.office.emptie = c
	w.setEmptied(c, true, func() {
		w.later(w.between(8*time.Second, 14*time.Second), func() { w.refill() })
	})
}

func (w *World) refill() {
	c := w.office.emptie
	if c == "" {
		return
	}
	w.Truth.Refill(c, w.clock())
	w.setEmptied(c, false, func() {
		// Again, for an emptying that was accepted between asking and now.
		w.Truth.Refill(c, w.clock())
		w.office.emptie = ""
	})
}

func (w *World) setEmptied(c ids.Name, on bool, then func()) {
	w.office.n++
	asked := w.clock()
	w.change(w.work().Emptied(fmt.Sprintf("empty-%d", w.office.n), c, on), func(r policy.Result) {
		// Answers may overtake one another; revisions don't.
		if on && r.Revision > w.office.cellAt {
			w.Truth.Empty(c, asked, w.clock())
		}
		w.office.cellAt = max(w.office.cellAt, r.Revision)
		then()
	})
}
