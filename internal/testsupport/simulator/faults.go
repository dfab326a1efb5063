package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// faultKind is one kind of fault that comes by lot.
type faultKind struct {
	name string
	// weight is how often it comes, among the weights of all kinds.
	weight int
	strike func(w *World)
}

// faultKinds are all faults that come by lot: at any moment, more than once,
// and while earlier ones last.
var faultKinds []faultKind

// They are set at the start, as some of their functions draw lots in turn.
func init() {
	faultKinds = append(faultKinds, processFaults...)
	faultKinds = append(faultKinds, networkFaults...)
	faultKinds = append(faultKinds, coreFaults...)
	faultKinds = append(faultKinds, targetFaults...)
}

// FaultKinds lists the names of the faults that come by lot.
func FaultKinds() []string {
	var out []string
	for _, k := range faultKinds {
		out = append(out, k.name)
	}
	return out
}

// faultsByLot brings one fault about, and asks for the next.
func (w *World) faultsByLot() {
	if w.now >= w.quiet() {
		return
	}
	w.later(w.between(w.FaultEvery/2, w.FaultEvery*3/2), func() {
		if w.now < w.quiet() {
			w.strike(w.drawFault())
		}
		w.faultsByLot()
	})
}

// drawFault draws a kind by weight.
func (w *World) drawFault() faultKind {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	drawn := w.random.IntN(total)
	for _, k := range faultKinds {
		if drawn -= k.weight; drawn < 0 {
			return k
		}
	}
	return faultKinds[0]
}

func (w *World) strike(k faultKind) {
	w.trace("fault: %s", k.name)
	w.faultCounts[k.name]++
	k.strike(w)
}

// quiet is when the faults end and the day is to come back whole.
func (w *World) quiet() ids.Time { return ids.Time(w.Length) }

// short draws how long an ordinary fault lasts.
func (w *World) short() time.Duration { return w.between(300*millisecond, 5*time.Second) }

// some draws a process that lives on, of a role or of any.
func (w *World) some(role membership.Role) *process {
	up := w.living(role)
	return up[w.random.IntN(len(up))]
}

// living lists the processes, of a role or of all, whose machines aren't gone.
func (w *World) living(role membership.Role) []*process {
	var out []*process
	for _, p := range w.procs {
		if !p.lost && (role == 0 || p.role == role) {
			out = append(out, p)
		}
	}
	return out
}

// core lists the living processes of the core machines.
func (w *World) core() []*process {
	return append(w.living(membership.Store), w.living(membership.Registry)...)
}

// named finds a process by its name.
func (w *World) named(name string) *process {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}
