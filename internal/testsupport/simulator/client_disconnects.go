package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
)

// clientDisconnect is a proxy's state of the disconnect of a request's client.
type clientDisconnect struct {
	// at is when the proxy noticed the disconnect; 0 if the client is connected.
	at ids.Time
	// cancelUnsent is set when the dispatcher cancels the attempt; cancelSent, if the cancellation
	// also applies to an attempt that was sent.
	cancelUnsent, cancelSent bool
	// abort closes the connection of the attempt that was sent; nil if none was.
	abort func()
}

// disconnectGrace is the time, beyond the one-way latency, within which a target must stop work
// after a client disconnect.
const disconnectGrace = 5 * time.Millisecond

// clientDisconnected notifies the dispatcher that the client of a request has closed its
// connection.
func (d *dispatchers) clientDisconnected(id ids.RequestID) {
	request := d.requestsByID[id]
	if request == nil {
		return
	}
	request.disconnect.at = d.process.now()
	if !d.process.world.Defect.IgnoreClientDisconnects {
		d.step(request.Service, dispatch.ClientDisconnected{ID: id})
	}
}

// cancel executes a CancelForward.
func (d *dispatchers) cancel(c dispatch.CancelForward) {
	request := d.requestsByID[c.ID]
	if request == nil {
		return
	}
	request.disconnect.cancelUnsent, request.disconnect.cancelSent = true, c.EvenIfSent
	if c.EvenIfSent && request.disconnect.abort != nil {
		request.disconnect.abort()
	}
}

// checkSentBeforeDisconnect reports a violation if a request is sent after its client disconnected.
func (r *forwardedRequest) checkSentBeforeDisconnect(p *process) {
	if disconnected := r.disconnect.at; disconnected != 0 && p.now() > disconnected {
		p.world.Checker.Violation("%s sent %s %s after its client disconnected", p.name, r.requestToken, p.now().Sub(disconnected))
	}
}

// checkWorkAfterDisconnect reports a violation if a target still works on a repeatable request
// after its client disconnected.
func (r *forwardedRequest) checkWorkAfterDisconnect(t *target, oneWay time.Duration) {
	disconnected := r.disconnect.at
	if r.Repeatable && disconnected != 0 && t.world.now.Sub(disconnected) > oneWay+disconnectGrace {
		t.world.Checker.Violation("%s worked on %s for %s after its client disconnected", t.id, r.requestToken, t.world.now.Sub(disconnected))
	}
}
