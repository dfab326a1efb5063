package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/idempotency"
)

// forward forwards a request like the proxy daemon: it connects, verifies the identity of the
// target, checks again that the request may be sent, sends it and waits for the response.
func (d *dispatchers) forward(service ids.Name, command dispatch.Forward) {
	p, w := d.process, d.process.world
	request := d.requestsByID[command.ID]
	if request == nil {
		return
	}
	notSent := dispatch.AttemptFinished{ID: command.ID, Sequence: command.Sequence, Result: dispatch.NotSent, Reason: "dial"}
	end := func(after time.Duration, result dispatch.AttemptFinished) {
		p.scheduleInRun(after, func() { d.step(service, result) })
	}
	receiver := w.targetByAddress[command.Target.Address]
	if receiver == nil || !receiver.up {
		end(w.randomDuration(0, time.Millisecond), notSent)
		return
	}
	if w.refusesConnection(p.name, p.zone, string(receiver.id), receiver.zone) {
		end(w.randomDuration(0, time.Millisecond), notSent)
		return
	}
	if !w.delivers(p.name, p.zone, string(receiver.id), receiver.zone) || !w.delivers(string(receiver.id), receiver.zone, p.name, p.zone) {
		end(min(time.Second, max(command.Deadline.Sub(p.now()), 0)), notSent)
		return
	}
	oneWay := w.latency(p.zone, receiver.zone)
	p.scheduleInRun(2*oneWay, func() {
		// The handshake with a frozen target times out.
		if receiver.frozen && !w.Defect.SkipIdentityCheck {
			end(min(time.Second, max(command.Deadline.Sub(p.now()), 0)), notSent)
			return
		}
		// The handshake shows which target has the address now.
		if !w.Defect.SkipIdentityCheck && (!receiver.up || receiver.id != command.Target.Instance || receiver.service != command.Target.Service || receiver.incarnation != command.Target.Incarnation || receiver.draining) {
			end(0, notSent)
			return
		}
		if request.disconnect.cancelUnsent || !proxy.MaySend(p.now(), command.SendBefore, d.lastTick) {
			end(0, notSent)
			return
		}
		d.sendToTarget(service, command, request, receiver, oneWay)
	})
}

// sendToTarget sends a request to a target. Once it is sent, the attempt may have run unless a
// complete response arrives.
func (d *dispatchers) sendToTarget(service ids.Name, command dispatch.Forward, request *forwardedRequest, receiver *target, oneWay time.Duration) {
	p, w := d.process, d.process.world
	ended := false
	request.checkSentBeforeDisconnect(p)
	generation := p.generation
	var call *exchange
	end := func(result dispatch.AttemptFinished) {
		if !ended {
			ended, call.ended = true, true
			d.step(service, result)
		}
	}
	mayHaveRun := dispatch.AttemptFinished{ID: command.ID, Sequence: command.Sequence, Result: dispatch.MayHaveRun, Reason: "no sealed answer"}
	broken := mayHaveRun
	if w.Defect.ReportResetAsNotSent {
		broken.Result = dispatch.NotSent
	}
	call = w.beginExchange(&exchange{from: p.name, to: string(receiver.id), fromZone: p.zone, toZone: receiver.zone, onReset: func() {
		p.scheduleInRun(0, func() { end(broken) })
	}})
	p.scheduleInRun(max(command.Deadline.Sub(p.now()), 0), func() { end(mayHaveRun) })
	request.disconnect.abort = func() { end(mayHaveRun) }
	// A target drops the request if its connection was closed.
	checkWorking := func() {
		if !ended {
			request.checkWorkAfterDisconnect(receiver, oneWay)
		}
	}
	targetGeneration, sent, timeLeft := receiver.generation, w.now, command.Deadline.Sub(p.now())
	w.schedule(oneWay, func() {
		if !receiver.up || receiver.generation != targetGeneration {
			if p.generation == generation {
				p.scheduleInRun(oneWay, func() { end(mayHaveRun) })
			}
			return
		}
		arrived := w.now
		receiver.whenRunning(func() {
			receiver.execute(request, p, service, sent, arrived, timeLeft, checkWorking, func(response idempotency.Response, ok bool) {
				if p.generation != generation {
					return
				}
				result := mayHaveRun
				if ok {
					result = dispatch.AttemptFinished{ID: command.ID, Sequence: command.Sequence, Result: dispatch.Complete, Response: response}
					d.cpuMillis[[2]ids.Name{request.Route, service}] += w.RequestCPUMillis
					p.cpuMillis += w.RequestCPUMillis
				}
				if !w.delivers(string(receiver.id), receiver.zone, p.name, p.zone) {
					return // the response is lost: the deadline ends the attempt
				}
				p.scheduleInRun(oneWay, func() { end(result) })
			})
		})
	})
}
