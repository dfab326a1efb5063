package simulator

import "dunlinwell/internal/base/ids"

// endpoints are the two ends of a daemon's connection to another one.
type endpoints struct{ a, b string }

func ends(a, b string) endpoints { return endpoints{min(a, b), max(a, b)} }

// exchange is a request that waits for its answer on a connection of its own.
type exchange struct {
	from, to         string
	fromZone, toZone ids.Name
	over             bool
	// broken tells the caller that the connection was reset.
	broken func()
}

// connections are what a reset breaks.
type connections struct {
	// resets counts the resets between two daemons: what was on its way is lost.
	resets map[endpoints]int
	// open are the exchanges under way, in the order of their beginning.
	open []*exchange
}

// maxEnded bounds the exchanges that are over and not yet dropped.
const maxEnded = 1024

// begin notes an exchange. Whoever began it ends it.
func (w *World) begin(x *exchange) *exchange {
	if len(w.connections.open) >= maxEnded {
		w.dropEnded()
	}
	w.connections.open = append(w.connections.open, x)
	return x
}

func (w *World) dropEnded() {
	var open []*exchange
	for _, x := range w.connections.open {
		if !x.over {
			open = append(open, x)
		}
	}
	w.connections.open = open
}

// reset breaks an exchange.
func (x *exchange) reset() {
	if !x.over {
		x.over = true
		x.broken()
	}
}

// resetConnections resets a share of one process's connections.
func (w *World) resetConnections(name string, share float64) {
	w.trace("%s has connections reset: %.2f", name, share)
	for _, p := range w.procs {
		if p.name != name && w.random.Float64() < share {
			w.connections.resets[ends(name, p.name)]++
		}
	}
	w.dropEnded()
	for _, x := range w.connections.open {
		if (x.from == name || x.to == name) && w.random.Float64() < share {
			x.reset()
		}
	}
}

// resetAcross resets all connections across a cut.
func (w *World) resetAcross(c *cut) {
	for i, p := range w.procs {
		for _, q := range w.procs[:i] {
			if c.crosses(p.name, p.zone, q.name, q.zone) || c.crosses(q.name, q.zone, p.name, p.zone) {
				w.connections.resets[ends(p.name, q.name)]++
			}
		}
	}
	w.dropEnded()
	for _, x := range w.connections.open {
		if c.crosses(x.from, x.fromZone, x.to, x.toZone) || c.crosses(x.to, x.toZone, x.from, x.fromZone) {
			x.reset()
		}
	}
}

// refused tells whether a connection would be refused at once.
func (w *World) refused(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	for _, c := range w.cuts {
		if c.refuse && (c.crosses(from, fromZone, to, toZone) || c.crosses(to, toZone, from, fromZone)) {
			return true
		}
	}
	return false
}
