package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// parting is a target's word that it leaves, which waits for its answer until
// every live proxy goes by it: this registry may die right after answering,
// and the target may stop as soon as it has the answer.
type departure struct {
	callID   uint64
	target   targets.Target
	arrived  ids.Time
	deadline ids.Time
	// awaitedPeers are the other registries that have not said yet that theirs go by it.
	awaitedPeers map[ids.DaemonID]bool
}

// partWithin bounds the wait. The answer says whether all have it.
const departureTimeout = 500 * time.Millisecond

// handleHeartbeat takes a target's word.
func (r *Registry) handleHeartbeat(now ids.Time, call HeartbeatCall) {
	if r.options.Incremental {
		// The one that it is told to speak to keeps it, from the first word on:
		// a keeper that changes is news for everybody.
		if old, ok := r.Targets.Get(now, call.Target.Instance); ok {
			call.Target.Registrar = old.Registrar
		}
		registrar := r.registrarFor(now, call.Target)
		call.Target.Registrar, call.Target.RegistrarRunID = registrar.ID, registrar.RunID
	}
	changed := r.Targets.Merge(now, call.Target)
	r.handleChangedTargets(now, changed)
	r.sendTargetsToPeers(changed)
	if !call.Target.Usable() && (len(changed) > 0 || r.options.Incremental) {
		// What proxies have to hold is the word at which it changed to them.
		if r.options.Incremental {
			call.Target.Sequence = r.Targets.ProxySequence(call.Target.Instance)
		}
		p := departure{callID: call.ID, target: call.Target, arrived: now, deadline: now.Add(departureTimeout), awaitedPeers: map[ids.DaemonID]bool{}}
		r.requestDepartureAcks(now, p)
		r.departures = append(r.departures, p)
		r.completeDepartures(now)
		return
	}
	if !r.hasLease(now) || r.options.Incremental && r.isolated(now) {
		// Its word is taken, but the other registries wouldn't hear of it and would
		// soon count it as gone: it is sent on to one of them.
		r.replyUnavailable(call.ID)
		return
	}
	body := map[string]any{"known": len(changed) > 0}
	if registrar := r.registrarFor(now, call.Target); registrar.Address != "" {
		body["keeper"] = registrar.Address
	}
	r.Emit(Response{ID: call.ID, Status: 200, Body: body})
}

// syncTargets keeps the other registries up to date with all targets. Thrifty ones
// tell one another of changes, and by their pulses whether one was lost.
func (r *Registry) syncTargets(now ids.Time) {
	if !r.options.Incremental {
		r.sendTargetsToPeers(r.Targets.All(now))
	}
}

// handleTargetUpdate takes what another registry tells of targets, and tells all where this
// one knows better.
func (r *Registry) handleTargetUpdate(now ids.Time, list []targets.Target) {
	changed := r.Targets.Merge(now, list...)
	r.handleChangedTargets(now, changed)
	if !r.options.Incremental {
		return
	}
	gone := map[ids.InstanceID]bool{}
	for _, t := range list {
		gone[t.Instance] = t.Gone
	}
	var insist []targets.Target
	for _, t := range changed {
		if !t.Gone && gone[t.Instance] {
			insist = append(insist, t)
		}
	}
	r.sendTargetsToPeers(insist)
}

// registrarFor names the registry that a target should speak to: one of its own
// zone or region, so that its words go no further than they have to, and by lot
// where several stand as near.
func (r *Registry) registrarFor(now ids.Time, t targets.Target) membership.Member {
	if !r.options.Incremental {
		return membership.Member{}
	}
	r.assignedProxies(now)
	var best membership.Member
	for _, m := range r.deliveryGroup {
		d, have := r.view.Distance(t.Zone, m.Zone), r.view.Distance(t.Zone, best.Zone)
		if best.ID == "" || d < have || d == have && r.isPreferredRegistrar(t, m.ID, best.ID) {
			best = m
		}
	}
	return best
}

// isPreferredRegistrar tells which of two registries that are as near keeps a target: the
// one that does already, or else by lot.
func (r *Registry) isPreferredRegistrar(t targets.Target, a, b ids.DaemonID) bool {
	if t.Registrar == a || t.Registrar == b {
		return t.Registrar == a
	}
	return rendezvousHash(ids.DaemonID(t.Instance), a) < rendezvousHash(ids.DaemonID(t.Instance), b)
}

// handleDeregister takes a target's word that it ends, where it says no more than its name.
func (r *Registry) handleDeregister(now ids.Time, call DeregisterCall) {
	t, ok := r.Targets.Get(now, call.Instance)
	if !ok && !r.hasLease(now) {
		r.replyUnavailable(call.ID)
		return
	}
	if !ok {
		r.Emit(Response{ID: call.ID, Status: 200, Body: map[string]any{"known": false}})
		return
	}
	if !t.Gone {
		t.Sequence, t.Gone, t.Leaving = r.Targets.LatestSequence(call.Instance)+1, true, true
	}
	r.handleHeartbeat(now, HeartbeatCall{ID: call.ID, Target: t})
}

// completeDepartures answers those whose word has reached every proxy, or is overdue.
func (r *Registry) completeDepartures(now ids.Time) {
	left := r.departures[:0]
	for _, pending := range r.departures {
		switch {
		case r.hasLease(now) && len(pending.awaitedPeers) == 0 && r.Distributor.AllAcknowledged(r.assignedProxies(now), pending.target):
			r.Emit(Response{ID: pending.callID, Status: 200, Body: map[string]any{"known": true, "everywhere": true}})
		case now >= pending.deadline && r.agreedSince(pending.arrived):
			r.Emit(Response{ID: pending.callID, Status: 200, Body: map[string]any{"known": true, "everywhere": false}})
		case now.Sub(pending.arrived) >= majorityTimeout:
			// The proxies on this side go by it; nobody may take it as known to all.
			r.replyUnavailable(pending.callID)
		default:
			left = append(left, pending)
		}
	}
	r.departures = left
	owes := r.owedAcks[:0]
	for _, o := range r.owedAcks {
		if r.Distributor.AllAcknowledged(r.assignedProxies(now), o.Target) {
			r.Send(o.Asker, DepartureAck{ID: r.Self.ID, Instance: o.Target.Instance, Sequence: o.Target.Sequence, Incarnation: o.Target.Incarnation})
		} else if len(r.owedAcks) < maxOwedAcks {
			owes = append(owes, o)
		}
	}
	r.owedAcks = owes
}

// maxOwedAcks bounds what is kept for askers that may be gone.
const maxOwedAcks = 4096

// requestDepartureAcks asks the registries that serve proxies beside this one.
func (r *Registry) requestDepartureAcks(now ids.Time, pending departure) {
	if !r.options.Incremental {
		return
	}
	r.assignedProxies(now)
	for _, m := range r.deliveryGroup {
		if m.ID != r.Self.ID {
			pending.awaitedPeers[m.ID] = true
			r.Send(m.Address, DepartureNotice{Asker: r.Self.Address, Target: pending.target})
		}
	}
}

// covers tells whether an acknowledgement is for this word of a target or for a
// later one. A registry of an earlier version doesn't say the incarnation.
func (a DepartureAck) covers(t targets.Target) bool {
	same := a.Incarnation == t.Incarnation || a.Incarnation == 0
	return a.Instance == t.Instance && same && a.Sequence >= t.Sequence
}

// handleDepartureAck takes another registry's word that all whom it serves go by it.
func (r *Registry) handleDepartureAck(now ids.Time, m DepartureAck) {
	for _, pending := range r.departures {
		if m.covers(pending.target) {
			delete(pending.awaitedPeers, m.ID)
		}
	}
	r.completeDepartures(now)
}
