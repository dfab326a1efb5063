package registry

import (
	"net/http"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// deadTargetRetention is how long a tombstone of a dead target is kept, so that delayed
// heartbeats of its last incarnation don't bring it back.
const deadTargetRetention = time.Hour

// unknownTargetGrace is how long after its start a registry may not know all targets yet, as
// its peers send their tables only after a heartbeat exchange, which may be lost and retried.
const unknownTargetGrace = 3 * time.Second

// firstIncarnation is the incarnation of a target that deregisters without being known. Targets
// that deregister get a new instance ID with each start.
const firstIncarnation ids.Incarnation = 1

// Keys of the JSON bodies of answers to targets. The bodies are maps because the recorded
// traces of testsupport/simulator and the adapter in platform distinguish them from structs.
const (
	// bodyKnown reports whether the registry has applied the update.
	bodyKnown = "known"
	// bodyRegistrar is the address of the registry to send the next heartbeats to.
	bodyRegistrar = "keeper"
	// bodyEverywhere reports whether every live proxy has applied a departure.
	bodyEverywhere = "everywhere"
)

// handleHeartbeat merges a target's heartbeat, and answers with the registry that should
// receive the next ones. A heartbeat that announces a departure is answered once the
// proxies have applied it.
func (r *Registry) handleHeartbeat(now ids.Time, call HeartbeatCall) {
	target := call.Target
	if r.options.Incremental {
		r.assignRegistrar(now, &target)
	}
	changed := r.Targets.Merge(now, target)
	r.handleChangedTargets(now, changed)
	r.sendTargetsToPeers(changed)
	if !target.Usable() && (len(changed) > 0 || r.options.Incremental) {
		r.startDeparture(now, call.ID, target)
		return
	}
	if !r.lease.isHeld(now) || r.options.Incremental && r.lease.isIsolated(now) {
		// The heartbeat is merged, but may not reach the other registries, which would
		// expire the target: it has to send heartbeats to one of them.
		r.replyUnavailable(call.ID)
		return
	}
	body := map[string]any{bodyKnown: len(changed) > 0}
	if registrar := r.registrarFor(now, target); registrar.Address != "" {
		body[bodyRegistrar] = registrar.Address
	}
	r.reply(call.ID, http.StatusOK, body)
}

// handleDeregister handles a target's final departure, which carries only the instance ID. It is
// answered like any departure even if no registry knows the target, as after a restart of all of
// them: proxies may still have it from before, and get a tombstone.
func (r *Registry) handleDeregister(now ids.Time, call DeregisterCall) {
	target, known := r.Targets.Get(now, call.Instance)
	if !known && (!r.lease.isHeld(now) || now.Sub(r.startedAt) < unknownTargetGrace) {
		// The target has to deregister at a registry that knows it.
		r.replyUnavailable(call.ID)
		return
	}
	if !known {
		target = targets.Target{Instance: call.Instance, Incarnation: firstIncarnation}
	}
	// The final sequence supersedes later heartbeats that peers have or that are in flight.
	target.Sequence = targets.FinalSequence
	target.Dead, target.Draining = true, true
	r.handleHeartbeat(now, HeartbeatCall{ID: call.ID, Target: target})
}

// handleChangedTargets logs the targets that can no longer be used, and pushes urgent
// changes to the proxies at once. A target that is new or at full capacity again waits
// for the next regular push, so that many targets that start together are pushed in batches.
func (r *Registry) handleChangedTargets(now ids.Time, changed []targets.Target) {
	urgent := !r.options.Incremental
	for _, target := range changed {
		if !target.Usable() {
			r.Log(event.LevelInfo, logTargetWithdrawn, "target", string(target.Instance), "address", string(target.Address), "gone", formatBool(target.Dead))
		}
		urgent = urgent || !target.Usable() || target.SlowStartMillis > 0
	}
	if len(changed) > 0 && urgent {
		r.pushToProxies(now)
	}
}

// expireTargets declares targets with overdue heartbeats dead, and removes those that have
// been dead for deadTargetRetention. An isolated registry expires none, as targets may be
// sending heartbeats to its peers; timeouts restart once it is no longer isolated.
func (r *Registry) expireTargets(now ids.Time) {
	if r.lease.isIsolated(now) {
		r.Targets.ExtendDeadlines(now)
	}
	expired := r.Targets.Tick(now)
	if r.options.Incremental {
		r.sendTargetsToPeers(expired)
	}
	for _, target := range expired {
		r.Log(event.LevelWarn, logTargetHeartbeatTimeout, "target", string(target.Instance), "service", string(target.Service), "address", string(target.Address))
	}
	r.Targets.PurgeDead(now, deadTargetRetention)
}
