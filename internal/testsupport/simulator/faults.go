package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// faultKind is one kind of randomly injected fault.
type faultKind struct {
	name string
	// weight is how often it is drawn in relation to the other kinds.
	weight int
	inject func(w *World)
}

// faultKinds are all kinds of random faults. They come at any time, more than once, and while
// earlier ones last. The list is filled by init, as some of its functions refer to it.
var faultKinds []faultKind

// init fills faultKinds, as some of its functions refer to it in turn.
func init() {
	faultKinds = append(faultKinds, processFaults...)
	faultKinds = append(faultKinds, networkFaults...)
	faultKinds = append(faultKinds, coreFaults...)
	faultKinds = append(faultKinds, targetFaults...)
}

// FaultKinds lists the names of the random faults.
func FaultKinds() []string {
	var out []string
	for _, k := range faultKinds {
		out = append(out, k.name)
	}
	return out
}

// injectRandomFaults injects one random fault after the other until faultsEnd.
func (w *World) injectRandomFaults() {
	if w.now >= w.faultsEnd() {
		return
	}
	w.schedule(w.randomDuration(w.FaultEvery/2, w.FaultEvery*3/2), func() {
		if w.now < w.faultsEnd() {
			w.injectFault(w.randomFault())
		}
		w.injectRandomFaults()
	})
}

// randomFault draws a kind of fault by weight.
func (w *World) randomFault() faultKind {
	total := 0
	for _, kind := range faultKinds {
		total += kind.weight
	}
	drawn := w.random.IntN(total)
	for _, kind := range faultKinds {
		if drawn -= kind.weight; drawn < 0 {
			return kind
		}
	}
	return faultKinds[0]
}

// injectFault injects a fault and counts it.
func (w *World) injectFault(kind faultKind) {
	w.trace("fault: %s", kind.name)
	w.faultCounts[kind.name]++
	kind.inject(w)
}

// faultsEnd is when the faults end; after that the system must recover.
func (w *World) faultsEnd() ids.Time { return ids.Time(w.Length) }

// faultDuration draws how long an ordinary fault lasts.
func (w *World) faultDuration() time.Duration {
	return w.randomDuration(300*millisecond, 5*time.Second)
}
