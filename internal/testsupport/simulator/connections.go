package simulator

import "dunlinwell/internal/base/ids"

// endpoints names the two ends of a connection between daemons, in alphabetical order.
type endpoints struct{ a, b string }

// newEndpoints makes the endpoints of two processes, in either order.
func newEndpoints(a, b string) endpoints { return endpoints{min(a, b), max(a, b)} }

// exchange is a request in flight on a connection of its own, which a reset can break.
type exchange struct {
	from, to         string
	fromZone, toZone ids.Name
	ended            bool
	// onReset runs if the connection is reset.
	onReset func()
}

// connections keeps what a reset breaks: messages between daemons, and exchanges.
type connections struct {
	// resets counts the resets between two daemons. A message sent before one is lost.
	resets map[endpoints]int
	// open are the exchanges, in the order in which they began.
	open []*exchange
}

// maxEndedExchanges bounds the exchanges that are over and not yet dropped.
const maxEndedExchanges = 1024

// beginExchange registers an exchange. Its caller sets ended when it is over.
func (w *World) beginExchange(x *exchange) *exchange {
	if len(w.connections.open) >= maxEndedExchanges {
		w.dropEnded()
	}
	w.connections.open = append(w.connections.open, x)
	return x
}

// dropEnded removes the exchanges that are over.
func (w *World) dropEnded() {
	var open []*exchange
	for _, x := range w.connections.open {
		if !x.ended {
			open = append(open, x)
		}
	}
	w.connections.open = open
}

// reset breaks an exchange, unless it is over.
func (x *exchange) reset() {
	if !x.ended {
		x.ended = true
		x.onReset()
	}
}

// resetConnections resets a share of one process's connections.
func (w *World) resetConnections(name string, share float64) {
	w.trace("%s has connections reset: %.2f", name, share)
	for _, p := range w.processes {
		if p.name != name && w.random.Float64() < share {
			w.connections.resets[newEndpoints(name, p.name)]++
		}
	}
	w.dropEnded()
	for _, x := range w.connections.open {
		if (x.from == name || x.to == name) && w.random.Float64() < share {
			x.reset()
		}
	}
}

// resetAcross resets all connections across a partition.
func (w *World) resetAcross(cut *partition) {
	for i, p := range w.processes {
		for _, q := range w.processes[:i] {
			if cut.crosses(p.name, p.zone, q.name, q.zone) || cut.crosses(q.name, q.zone, p.name, p.zone) {
				w.connections.resets[newEndpoints(p.name, q.name)]++
			}
		}
	}
	w.dropEnded()
	for _, x := range w.connections.open {
		if cut.crosses(x.from, x.fromZone, x.to, x.toZone) || cut.crosses(x.to, x.toZone, x.from, x.fromZone) {
			x.reset()
		}
	}
}
