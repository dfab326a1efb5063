package simulator

import "time"

// again starts a target that crashed, cold, unless its address is another's.
func (w *World) again(t *target) {
	if !t.up && w.owner[t.addr] == t {
		t.begin(true)
	}
}

func (w *World) targetFault(x int) {
	t := w.pool[w.dice.IntN(len(w.pool))]
	if !t.up {
		return
	}
	back := w.between(time.Second, 8*time.Second)
	switch x {
	case 15:
		t.crash()
		w.later(back, func() { w.again(t) })
	case 16:
		// Drained and removed, then taken back.
		t.leave()
		w.later(5*time.Second, func() { t.crash() })
		w.later(5*time.Second+back, func() { w.again(t) })
	case 17:
		t.mute, t.spoil = 0.2, 0.1
		w.later(back, func() { t.mute, t.spoil = 0, 0 })
	case 18:
		w.handOver(t, back)
	default:
		t.crash()
		w.later(50*time.Millisecond, func() { w.again(t) })
	}
}

// handOver gives a crashed target's address to one of another service, and the
// first one a new address.
func (w *World) handOver(t *target, back time.Duration) {
	t.crash()
	for _, other := range w.pool {
		if other.service == t.service || !other.up {
			continue
		}
		w.trace("%s takes the address of %s", other.id, t.id)
		other.crash()
		other.addr, t.addr = t.addr, other.addr
		other.begin(true)
		w.owner[t.addr] = t
		w.later(back, func() { w.again(t) })
		return
	}
	w.later(back, func() { w.again(t) })
}
