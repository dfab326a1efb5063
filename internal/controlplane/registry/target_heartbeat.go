package registry

import (
	"net/http"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// goneTargetRetention is how long a target that is gone stays in the table, so that late
// heartbeats of its last incarnation are still recognized.
const goneTargetRetention = time.Hour

// unknownTargetGrace is for how long after its start a registry can't tell a target that there
// never was from one that it hasn't heard of yet: its peers' tables come with the digests of
// their heartbeats (a second each, and one may be lost), the targets' own heartbeats later.
const unknownTargetGrace = 3 * time.Second

// Keys of the JSON bodies that targets are answered with. The bodies are maps rather
// than structs: the recorded traces of testsupport/simulator and the adapter in
// platform tell the two apart.
const (
	// bodyKnown says whether the registry has taken the update.
	bodyKnown = "known"
	// bodyRegistrar has the address of the registry to send the next heartbeats to.
	bodyRegistrar = "keeper"
	// bodyEverywhere says whether every live proxy has applied a departure.
	bodyEverywhere = "everywhere"
)

// handleHeartbeat takes a target's heartbeat, and answers with the registry that its
// next ones should go to. One that says that the target leaves is answered once the
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
		// The heartbeat is merged, but the other registries don't hear of it and would
		// soon expire the target: it has to turn to one of them.
		r.replyUnavailable(call.ID)
		return
	}
	body := map[string]any{bodyKnown: len(changed) > 0}
	if registrar := r.registrarFor(now, target); registrar.Address != "" {
		body[bodyRegistrar] = registrar.Address
	}
	r.reply(call.ID, http.StatusOK, body)
}

// handleDeregister takes a target's final departure, given by its instance id alone.
func (r *Registry) handleDeregister(now ids.Time, call DeregisterCall) {
	target, known := r.Targets.Get(now, call.Instance)
	if !known && (!r.lease.isHeld(now) || now.Sub(r.startedAt) < unknownTargetGrace) {
		// The target has to tell a registry that knows it.
		r.replyUnavailable(call.ID)
		return
	}
	if !known {
		r.reply(call.ID, http.StatusOK, map[string]any{bodyKnown: false})
		return
	}
	// Other copies may have later heartbeats than this one, and some may still be on their way.
	target.Sequence = targets.FinalSequence
	target.Dead, target.Draining = true, true
	r.handleHeartbeat(now, HeartbeatCall{ID: call.ID, Target: target})
}

// handleChangedTargets logs the targets that can no longer be used, and pushes urgent
// changes to the proxies at once. A target that is new or at full capacity again waits
// for the next regular push: pushed one by one, four hundred targets that start together
// would cost four hundred pushes to every proxy.
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

// expireTargets marks the targets as gone whose heartbeats are overdue, and drops
// those that have been gone for long. An isolated registry expires none, as the
// targets that it doesn't hear may heartbeat to others; once it is no longer
// isolated, time-outs start anew.
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
	r.Targets.PurgeDead(now, goneTargetRetention)
}
