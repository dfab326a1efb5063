package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// faultKind is one kind of randomly injected fault.
type faultKind struct {
	name string
	// weight is the relative probability of the kind.
	weight int
	inject func(w *World)
}

// faultKinds are all kinds of random faults. Each may occur at any time, repeatedly, and during
// other faults. It is filled by init to avoid an initialization cycle.
var faultKinds []faultKind

// init fills faultKinds, since functions in it refer to it.
func init() {
	faultKinds = append(faultKinds, processFaults...)
	faultKinds = append(faultKinds, networkFaults...)
	faultKinds = append(faultKinds, coreFaults...)
	faultKinds = append(faultKinds, targetFaults...)
}

// FaultKinds returns the names of the random faults.
func FaultKinds() []string {
	var out []string
	for _, k := range faultKinds {
		out = append(out, k.name)
	}
	return out
}

// injectRandomFaults injects random faults, at intervals around FaultEvery, until faultsEnd.
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

// faultsEnd returns when the faults end; the system must recover after that.
func (w *World) faultsEnd() ids.Time { return ids.Time(w.Length) }

// faultDuration draws the duration of an ordinary fault.
func (w *World) faultDuration() time.Duration {
	return w.randomDuration(300*millisecond, 5*time.Second)
}
