package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// anyRegistry draws a registry that is up; nil if none is.
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

// callAnyRegistry makes a call to a registry that is up. onLost, if given, runs when there will be
// no response.
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

// callRegistry makes a call from outside to one registry.
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
	// operatorTimeout is how long most operators wait for a response before they send
	// the same change to another registry.
	operatorTimeout = time.Second
	// callerTimeout is how long the others wait, and every other caller.
	callerTimeout = 4 * time.Second
)

// callTimeout draws how long a caller waits for a response.
func (w *World) callTimeout(caller string) time.Duration {
	if caller == operator && w.random.IntN(4) > 0 {
		return operatorTimeout
	}
	return callerTimeout
}

// applyDefect passes a response to an operator through the planted defect, if there is one.
func (w *World) applyDefect(response registry.Response) registry.Response {
	if w.Defect.Confirm != nil {
		return w.Defect.Confirm(response)
	}
	return response
}

// operatorResponseLost notes what a registry answers an operator, and draws whether the response is
// lost on its way.
func (w *World) operatorResponseLost(p *process, response registry.Response) bool {
	if r, ok := response.Body.(configuration.Result); ok && response.Status == 200 {
		w.operators.confirmed[string(r.ID)] = true
		w.changeAcknowledged(p)
	}
	return w.operatorResponseLoss > 0 && w.random.Float64() < w.operatorResponseLoss
}
