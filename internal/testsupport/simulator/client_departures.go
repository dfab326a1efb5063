package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
)

// clientDisconnect is what a request's proxy knows of its client's departure, and does about it.
type clientDisconnect struct {
	// at is when the proxy was told; 0 if the client has not left.
	at ids.Time
	// cancelUnsent and cancelSent: the dispatcher has canceled the attempt, the latter also
	// if it was sent.
	cancelUnsent, cancelSent bool
	// abort closes the connection of an attempt that was sent; nil if there is none.
	abort func()
}

// disconnectGrace is within how long a departure must have taken effect at a target, beside the time
// that the way there takes.
const disconnectGrace = 5 * time.Millisecond

// clientDisconnected tells a dispatcher that the client of a request has closed its connection.
func (d *dispatchers) clientDisconnected(id ids.RequestID) {
	request := d.requestsByID[id]
	if request == nil {
		return
	}
	request.disconnect.at = d.process.now()
	if !d.process.world.Defect.DeafToDepartures {
		d.step(request.Service, dispatch.ClientDisconnected{ID: id})
	}
}

// cancel carries out a CancelForward.
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

// checkSentBeforeDisconnect reports a request whose first byte leaves after its client has left.
func (r *forwardedRequest) checkSentBeforeDisconnect(p *process) {
	if left := r.disconnect.at; left != 0 && p.now() > left {
		p.world.Checker.Violation("%s sent %s %s after its client had left", p.name, r.requestToken, p.now().Sub(left))
	}
}

// checkWorkAfterDisconnect reports a target that still works on a repeatable request after its client has left.
func (r *forwardedRequest) checkWorkAfterDisconnect(t *target, oneWay time.Duration) {
	left := r.disconnect.at
	if r.Repeatable && left != 0 && t.world.now.Sub(left) > oneWay+disconnectGrace {
		t.world.Checker.Violation("%s worked on %s for %s after its client had left", t.id, r.requestToken, t.world.now.Sub(left))
	}
}
