package simulator

import "dunlinwell/internal/base/ids"

// endpoints names the two ends of a connection between daemons, in alphabetical order.
type endpoints struct{ a, b string }

// newEndpoints returns the endpoints of two processes given in any order.
func newEndpoints(a, b string) endpoints { return endpoints{min(a, b), max(a, b)} }

// exchange is a request in flight on its own connection, which a reset ends.
type exchange struct {
	from, to         string
	fromZone, toZone ids.Name
	ended            bool
	// onReset is called if the connection is reset.
	onReset func()
}

// connections tracks the state that resets affect: connections between daemons and exchanges.
type connections struct {
	// resets counts the resets between two daemons. A message in flight during a reset is lost.
	resets map[endpoints]int
	// open lists the exchanges in the order in which they began. It may contain ended ones.
	open []*exchange
}

// maxEndedExchanges is the length of connections.open from which ended exchanges are removed.
const maxEndedExchanges = 1024

// beginExchange registers an exchange. The caller sets ended when it ends.
func (w *World) beginExchange(x *exchange) *exchange {
	if len(w.connections.open) >= maxEndedExchanges {
		w.dropEnded()
	}
	w.connections.open = append(w.connections.open, x)
	return x
}

// dropEnded removes the ended exchanges.
func (w *World) dropEnded() {
	var open []*exchange
	for _, x := range w.connections.open {
		if !x.ended {
			open = append(open, x)
		}
	}
	w.connections.open = open
}

// reset ends an exchange with a connection reset unless it has ended.
func (x *exchange) reset() {
	if !x.ended {
		x.ended = true
		x.onReset()
	}
}

// resetConnections resets a share of a process's connections.
func (w *World) resetConnections(name string, share float64) {
	w.trace("connections of %s are reset, share %.2f", name, share)
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
