package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/testsupport/checker"
)

// target is a stand-in target.
type target struct {
	world            *World
	id               ids.InstanceID
	service          ids.Name
	zone             ids.Name
	address          ids.Address
	capacity         int
	up               bool
	generation       int
	leaving          bool
	departureKnownAt ids.Time
	warmSince        ids.Time
	incarnation      ids.Incarnation
	sequence         ids.Sequence
	inFlight         int
	// lastAcknowledged is when a registry last received its heartbeat.
	lastAcknowledged ids.Time
	// frozen: it does nothing, and what arrives waits in its sockets, the backlog.
	frozen  bool
	backlog []func()
	// lastRegistry is the registry that the last heartbeat was sent to.
	lastRegistry *process
	// silentShare and corruptShare are the shares of responses that are lost after the
	// work, or broken.
	silentShare, corruptShare float64
}

const (
	// announceEvery is the interval of heartbeats.
	announceEvery = time.Second
	// slowStart is how long a cold target takes to bear its whole capacity.
	slowStart = 3 * time.Second
	// workTime is the mean time that an execution takes.
	workTime = 20 * time.Millisecond
)

// start begins a new incarnation at the target's address: with a slow start if it is cold.
func (t *target) start(cold bool) {
	t.generation++
	t.up, t.leaving, t.departureKnownAt, t.inFlight, t.sequence = true, false, 0, 0, 0
	t.frozen, t.backlog, t.lastAcknowledged = false, nil, 0
	t.incarnation = ids.Incarnation(t.world.now/ids.Time(time.Millisecond)) + 1
	t.warmSince = t.world.now
	if !cold {
		t.warmSince = t.world.now.Add(-slowStart)
	}
	t.world.targetByAddress[t.address] = t
	t.world.trace("%s begins at %s", t.id, t.address)
	t.announceRepeatedly(t.generation)
}

// crash ends the incarnation without notice.
func (t *target) crash() {
	if t.up {
		t.world.trace("%s crashes", t.id)
	}
	t.up = false
	t.generation++
	t.frozen, t.backlog = false, nil
}

// announceRepeatedly sends a heartbeat every announceEvery for as long as the generation lasts.
func (t *target) announceRepeatedly(generation int) {
	if t.generation != generation {
		return
	}
	if t.frozen {
		t.whenAwake(func() { t.announceRepeatedly(generation) })
		return
	}
	t.announce()
	t.world.schedule(announceEvery+t.world.randomDuration(0, 100*time.Millisecond), func() { t.announceRepeatedly(generation) })
}

// warmth is how far the slow start has got, from 0.1 to 1.
func (t *target) warmth() float64 {
	return min(1, max(0.1, float64(t.world.now.Sub(t.warmSince))/float64(slowStart)))
}

// announce sends one heartbeat to a registry that is up.
func (t *target) announce() {
	t.sequence++
	announcement := targets.Target{
		Instance: t.id, Incarnation: t.incarnation, Sequence: t.sequence, Service: t.service, Address: t.address, Zone: t.zone,
		Draining: t.leaving, Warmth: t.warmth(), Occupancy: int64(t.inFlight), Capacity: int64(t.capacity), IntervalMillis: uint32(announceEvery / time.Millisecond),
	}
	generation := t.generation
	t.lastRegistry = t.world.anyRegistry()
	if t.lastRegistry == nil {
		return
	}
	t.world.callRegistry(t.lastRegistry, string(t.id), t.zone, func(id uint64) any {
		t.lastAcknowledged = t.world.now
		return registry.HeartbeatCall{ID: id, Target: announcement}
	}, func(registry.Response) {
		// From here on the core knows that the target is leaving.
		if t.generation == generation && announcement.Draining && t.departureKnownAt == 0 {
			t.departureKnownAt = t.world.now
			t.world.Checker.TargetDepartureKnown()
		}
	}, nil)
}

// leave announces that the target is draining.
func (t *target) leave() {
	if t.up && !t.leaving {
		t.world.trace("%s leaves", t.id)
		t.leaving = true
		t.announce()
	}
}

// execute executes a request: the checker records it, and it is answered when the work is done.
// Sent is when its bytes left the proxy, arrived when they reached the target. beforeDone is called
// at the end of the work.
func (t *target) execute(request *forwardedRequest, p *process, service ids.Name, sent, arrived ids.Time, timeLeft time.Duration, beforeDone func(), done func(idempotency.Response, bool)) {
	t.inFlight++
	execution := checker.Execution{
		At: t.world.wallTime(), Sent: timeOf(sent), Instance: t.id, Service: t.service, Zone: t.zone, Token: request.requestToken, IdempotencyKey: string(request.IdempotencyKey), Attempt: request.attempt, AttemptOmitted: request.Job.Attempt == 0,
		DepartureKnownFor: t.departureKnownFor(arrived), Route: request.Route, TimeLeft: timeLeft, Proxy: p.name, ProxyZone: p.zone,
	}
	t.world.Checker.RequestExecuted(execution)
	t.world.trace("%s runs %s attempt %d for %s", t.id, request.requestToken, request.attempt, p.name)
	if service != t.service {
		t.world.Checker.Violation("%s of %s got a request meant for %s", t.id, t.service, service)
	}
	if capacity := max(float64(t.capacity)*t.warmth(), 1); float64(t.inFlight) > 1.5*capacity+1 {
		t.world.Checker.TargetOverloaded("%s had %d at once and bears %.1f, at %s", t.id, t.inFlight, capacity, time.Duration(t.world.now))
	}
	generation := t.generation
	body := fmt.Sprintf("%s/%s/%x", request.requestToken, t.id, t.world.random.Uint64())
	t.world.schedule(t.world.randomDuration(workTime/2, workTime*3/2), func() {
		if t.generation != generation {
			done(idempotency.Response{}, false)
			return
		}
		t.inFlight--
		beforeDone()
		draw := t.world.random.Float64()
		done(idempotency.Response{Status: 200, Body: []byte(body)}, draw >= t.silentShare+t.corruptShare)
	})
}

// freeze suspends the target for a time. Its connections stay open.
func (t *target) freeze(d time.Duration) {
	if !t.up || t.frozen {
		return
	}
	t.world.trace("%s freezes for %s", t.id, d)
	t.frozen = true
	generation := t.generation
	t.world.schedule(d, func() {
		if t.generation != generation {
			return
		}
		t.world.trace("%s wakes", t.id)
		t.frozen = false
		backlog := t.backlog
		t.backlog = nil
		for _, f := range backlog {
			f()
		}
	})
}

// whenAwake does something now or when the target wakes; never if it crashed.
func (t *target) whenAwake(f func()) {
	generation := t.generation
	switch {
	case !t.up:
	case t.frozen:
		t.backlog = append(t.backlog, func() {
			if t.generation == generation {
				f()
			}
		})
	default:
		f()
	}
}

// silenceTimeout is how long without a heartbeat counts as gone: three intervals.
const silenceTimeout = 3 * (announceEvery + 100*time.Millisecond)

// departureKnownFor is for how long the core has known that the target is leaving, or is gone by
// its silence.
func (t *target) departureKnownFor(now ids.Time) time.Duration {
	known := time.Duration(0)
	if t.departureKnownAt != 0 {
		known = now.Sub(t.departureKnownAt)
	}
	if t.lastAcknowledged != 0 {
		known = max(known, now.Sub(t.lastAcknowledged)-silenceTimeout)
	}
	return known
}
