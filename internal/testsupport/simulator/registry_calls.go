package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// anyRegistry returns a random registry that is up, or nil if none is.
func (w *World) anyRegistry() *process {
	var up []*process
	for _, p := range w.processes {
		if p.role == membership.Registry && p.up {
			up = append(up, p)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.random.IntN(len(up))]
}

// callAnyRegistry calls a random registry that is up. onLost, if not nil, is called if there is no
// response.
func (w *World) callAnyRegistry(name string, zone ids.Name, newCall func(id uint64) any, done func(registry.Response), onLost func()) {
	p := w.anyRegistry()
	if p == nil {
		if onLost != nil {
			w.schedule(time.Millisecond, onLost)
		}
		return
	}
	w.callRegistry(p, name, zone, newCall, done, onLost)
}

// callRegistry calls a registry from a client, target or operator with a name and zone. onLost, if
// not nil, is called if there is no response.
func (w *World) callRegistry(p *process, name string, zone ids.Name, newCall func(id uint64) any, done func(registry.Response), onLost func()) {
	finished := false
	var open *exchange
	finish := func(f func()) {
		if !finished && f != nil {
			finished, open.ended = true, true
			f()
		}
	}
	open = w.beginExchange(&exchange{from: name, to: p.name, fromZone: zone, toZone: p.zone, onReset: func() { finish(onLost) }})
	w.schedule(w.callTimeout(name), func() { finish(onLost) })
	if w.refusesConnection(name, zone, p.name, p.zone) {
		w.schedule(time.Millisecond, func() { finish(onLost) })
		return
	}
	if !w.delivers(name, zone, p.name, p.zone) {
		return
	}
	w.schedule(w.latency(zone, p.zone), func() {
		if !p.up {
			w.schedule(time.Millisecond, func() { finish(onLost) })
			return
		}
		p.nextID++
		id := p.nextID
		p.calls[id] = func(r registry.Response) {
			if name == operator {
				r = w.applyDefect(r)
				if w.operatorResponseLost(p, r) {
					return
				}
			}
			if w.delivers(p.name, p.zone, name, zone) {
				w.schedule(w.latency(p.zone, zone), func() { finish(func() { done(r) }) })
			}
		}
		p.deliver(newCall(id))
	})
}

const (
	// operatorTimeout is how long most operators wait for a response before they retry with another
	// registry.
	operatorTimeout = time.Second
	// callerTimeout is how long all other callers wait.
	callerTimeout = 4 * time.Second
)

// callTimeout draws how long a caller waits for a response.
func (w *World) callTimeout(caller string) time.Duration {
	if caller == operator && w.random.IntN(4) > 0 {
		return operatorTimeout
	}
	return callerTimeout
}

// applyDefect applies Defect.AlterConfirmation, if set, to a response to an operator.
func (w *World) applyDefect(response registry.Response) registry.Response {
	if w.Defect.AlterConfirmation != nil {
		return w.Defect.AlterConfirmation(response)
	}
	return response
}

// operatorResponseLost records a registry's response to an operator and reports whether it is lost
// in transit.
func (w *World) operatorResponseLost(p *process, response registry.Response) bool {
	if r, ok := response.Body.(configuration.Result); ok && response.Status == 200 {
		w.operators.confirmed[string(r.ID)] = true
		w.changeAcknowledged(p)
	}
	return w.operatorResponseLoss > 0 && w.random.Float64() < w.operatorResponseLoss
}
