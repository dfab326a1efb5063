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

// target is a simulated target.
type target struct {
	world            *World
	id               ids.InstanceID
	service          ids.Name
	zone             ids.Name
	address          ids.Address
	capacity         int
	up               bool
	generation       int
	draining         bool
	departureKnownAt ids.Time
	warmSince        ids.Time
	incarnation      ids.Incarnation
	sequence         ids.Sequence
	inFlight         int
	// lastAcknowledged is when a registry last received a heartbeat of the target.
	lastAcknowledged ids.Time
	// frozen is set while the target is suspended; arriving requests wait in backlog.
	frozen  bool
	backlog []func()
	// lastRegistry is the registry that the last heartbeat was sent to.
	lastRegistry *process
	// lostResponseShare and corruptResponseShare are the shares of responses that are lost or
	// corrupted after the execution.
	lostResponseShare, corruptResponseShare float64
}

const (
	// heartbeatInterval is the interval of heartbeats.
	heartbeatInterval = time.Second
	// slowStart is how long a cold target takes to reach its full capacity.
	slowStart = 3 * time.Second
	// workTime is the mean duration of an execution.
	workTime = 20 * time.Millisecond
)

// start begins a new incarnation at the target's address, with a slow start if cold.
func (t *target) start(cold bool) {
	t.generation++
	t.up, t.draining, t.departureKnownAt, t.inFlight, t.sequence = true, false, 0, 0, 0
	t.frozen, t.backlog, t.lastAcknowledged = false, nil, 0
	t.incarnation = ids.Incarnation(t.world.now/ids.Time(time.Millisecond)) + 1
	t.warmSince = t.world.now
	if !cold {
		t.warmSince = t.world.now.Add(-slowStart)
	}
	t.world.targetByAddress[t.address] = t
	t.world.trace("%s starts at %s", t.id, t.address)
	t.sendHeartbeats(t.generation)
}

// crash ends the incarnation without draining.
func (t *target) crash() {
	if t.up {
		t.world.trace("%s crashes", t.id)
	}
	t.up = false
	t.generation++
	t.frozen, t.backlog = false, nil
}

// sendHeartbeats sends heartbeats at heartbeatInterval until the generation ends.
func (t *target) sendHeartbeats(generation int) {
	if t.generation != generation {
		return
	}
	if t.frozen {
		t.whenRunning(func() { t.sendHeartbeats(generation) })
		return
	}
	t.sendHeartbeat()
	t.world.schedule(heartbeatInterval+t.world.randomDuration(0, 100*time.Millisecond), func() { t.sendHeartbeats(generation) })
}

// warmth returns the progress of the slow start, from 0.1 to 1.
func (t *target) warmth() float64 {
	return min(1, max(0.1, float64(t.world.now.Sub(t.warmSince))/float64(slowStart)))
}

// sendHeartbeat sends one heartbeat to a random registry that is up.
func (t *target) sendHeartbeat() {
	t.sequence++
	heartbeat := targets.Target{
		Instance: t.id, Incarnation: t.incarnation, Sequence: t.sequence, Service: t.service, Address: t.address, Zone: t.zone,
		Draining: t.draining, Warmth: t.warmth(), Occupancy: int64(t.inFlight), Capacity: int64(t.capacity), IntervalMillis: uint32(heartbeatInterval / time.Millisecond),
	}
	generation := t.generation
	t.lastRegistry = t.world.anyRegistry()
	if t.lastRegistry == nil {
		return
	}
	t.world.callRegistry(t.lastRegistry, string(t.id), t.zone, func(id uint64) any {
		t.lastAcknowledged = t.world.now
		return registry.HeartbeatCall{ID: id, Target: heartbeat}
	}, func(registry.Response) {
		// The core knows from now on that the target is draining.
		if t.generation == generation && heartbeat.Draining && t.departureKnownAt == 0 {
			t.departureKnownAt = t.world.now
			t.world.Checker.TargetDepartureKnown()
		}
	}, nil)
}

// drain starts draining the target and announces it with a heartbeat.
func (t *target) drain() {
	if t.up && !t.draining {
		t.world.trace("%s starts draining", t.id)
		t.draining = true
		t.sendHeartbeat()
	}
}

// execute executes a request and records it at the checker. sent is when the request left the
// proxy, arrived when it reached the target. At the end of the execution, beforeDone is called and
// then done with the response, or with false if the response is lost.
func (t *target) execute(request *forwardedRequest, p *process, service ids.Name, sent, arrived ids.Time, timeLeft time.Duration, beforeDone func(), done func(idempotency.Response, bool)) {
	t.inFlight++
	execution := checker.Execution{
		At: t.world.wallTime(), Sent: timeOf(sent), Instance: t.id, Service: t.service, Zone: t.zone, Token: request.requestToken, IdempotencyKey: string(request.IdempotencyKey), Attempt: request.attempt, AttemptOmitted: request.Job.Attempt == 0,
		DepartureKnownFor: t.departureKnownFor(arrived), Route: request.Route, TimeLeft: timeLeft, Proxy: p.name, ProxyZone: p.zone,
	}
	t.world.Checker.RequestExecuted(execution)
	t.world.trace("%s executes %s attempt %d for %s", t.id, request.requestToken, request.attempt, p.name)
	if service != t.service {
		t.world.Checker.Violation("%s of %s received a request for %s", t.id, t.service, service)
	}
	if capacity := max(float64(t.capacity)*t.warmth(), 1); float64(t.inFlight) > 1.5*capacity+1 {
		t.world.Checker.TargetOverloaded("%s had %d concurrent requests at a capacity of %.1f, at %s", t.id, t.inFlight, capacity, time.Duration(t.world.now))
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
		done(idempotency.Response{Status: 200, Body: []byte(body)}, draw >= t.lostResponseShare+t.corruptResponseShare)
	})
}

// freeze suspends the target for a duration. Its connections stay open.
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
		t.world.trace("%s resumes", t.id)
		t.frozen = false
		backlog := t.backlog
		t.backlog = nil
		for _, f := range backlog {
			f()
		}
	})
}

// whenRunning calls f at once, or when the target resumes if it is frozen. It never calls f if the
// target is down or crashes before it resumes.
func (t *target) whenRunning(f func()) {
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

// silenceTimeout is the time without a heartbeat after which a target counts as dead: three
// intervals.
const silenceTimeout = 3 * (heartbeatInterval + 100*time.Millisecond)

// departureKnownFor returns how long the core has known that the target is draining, or that it is
// dead because its heartbeats stopped.
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
