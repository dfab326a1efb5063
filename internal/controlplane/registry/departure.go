package registry

import (
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// departureTimeout is how long a departure waits for all proxies once a majority
	// is known to be reachable. Targets are guaranteed an answer within a second
	// (docs/platform.md), which states whether all proxies have applied the departure.
	departureTimeout = 500 * time.Millisecond
	// maxUnackedNotices limits the number of stored notices, as the registries that sent them
	// may have stopped in the meantime.
	maxUnackedNotices = 4096
)

// departure is a target's draining notice whose answer is delayed until every live proxy
// has applied it: the target may exit as soon as it is answered, and this registry may
// crash right after answering.
type departure struct {
	callID   uint64
	target   targets.Target
	arrived  ids.Time
	deadline ids.Time
	// awaitedPeers holds the registries whose DepartureAck is outstanding.
	awaitedPeers map[ids.DaemonID]bool
}

// departureTracker holds the departures in progress.
type departureTracker struct {
	// waiting holds the departures that this registry has to answer, oldest first.
	waiting []departure
	// unackedNotices holds notices of other registries that aren't acknowledged yet.
	unackedNotices []DepartureNotice
}

// startDeparture asks the other registries to acknowledge a target's departure, and
// answers the call once the proxies have applied it.
func (r *Registry) startDeparture(now ids.Time, callID uint64, target targets.Target) {
	if r.options.Incremental {
		// Proxies acknowledge the sequence of the last change that is relevant to them.
		target.Sequence = r.Targets.ProxySequence(target.Instance)
	}
	started := departure{
		callID:       callID,
		target:       target,
		arrived:      now,
		deadline:     now.Add(departureTimeout),
		awaitedPeers: map[ids.DaemonID]bool{},
	}
	r.sendDepartureNotices(now, started)
	r.departures.waiting = append(r.departures.waiting, started)
	r.completeDepartures(now)
}

// sendDepartureNotices asks the other registries that push to proxies for a DepartureAck.
func (r *Registry) sendDepartureNotices(now ids.Time, started departure) {
	if !r.options.Incremental {
		return
	}
	r.updateAssignment(now)
	for _, member := range r.assignment.registries {
		if member.ID != r.Self.ID {
			started.awaitedPeers[member.ID] = true
			r.Send(member.Address, DepartureNotice{Requester: r.Self.Address, Target: started.target})
		}
	}
}

// completeDepartures answers the departures that all proxies have applied or that are
// overdue, and sends the acknowledgements due to other registries.
func (r *Registry) completeDepartures(now ids.Time) {
	waiting := r.departures.waiting[:0]
	for _, pending := range r.departures.waiting {
		if !r.completeDeparture(now, pending) {
			waiting = append(waiting, pending)
		}
	}
	r.departures.waiting = waiting
	r.sendDepartureAcks(now)
}

// completeDeparture answers a departure if it can be answered now.
func (r *Registry) completeDeparture(now ids.Time, pending departure) bool {
	switch {
	case r.lease.isHeld(now) && len(pending.awaitedPeers) == 0 && r.appliedByAssignedProxies(now, pending.target):
		r.reply(pending.callID, http.StatusOK, map[string]any{bodyKnown: true, bodyEverywhere: true})
	case now >= pending.deadline && r.lease.renewedSince(pending.arrived):
		r.reply(pending.callID, http.StatusOK, map[string]any{bodyKnown: true, bodyEverywhere: false})
	case now.Sub(pending.arrived) >= majorityTimeout:
		// Without a majority, proxies on the other side of a partition may not have
		// applied the departure.
		r.replyUnavailable(pending.callID)
	default:
		return false
	}
	return true
}

// sendDepartureAcks acknowledges the notices of other registries whose departures the
// assigned proxies have applied. The rest are kept, or dropped if there were
// maxUnackedNotices or more; the requesting registries then answer their targets after a
// timeout.
func (r *Registry) sendDepartureAcks(now ids.Time) {
	remaining := r.departures.unackedNotices[:0]
	for _, notice := range r.departures.unackedNotices {
		if r.appliedByAssignedProxies(now, notice.Target) {
			target := notice.Target
			r.Send(notice.Requester, DepartureAck{ID: r.Self.ID, Instance: target.Instance, Sequence: target.Sequence, Incarnation: target.Incarnation})
		} else if len(r.departures.unackedNotices) < maxUnackedNotices {
			remaining = append(remaining, notice)
		}
	}
	r.departures.unackedNotices = remaining
}

// appliedByAssignedProxies reports whether every proxy that this registry pushes to has
// acknowledged a target's departure.
func (r *Registry) appliedByAssignedProxies(now ids.Time, target targets.Target) bool {
	return r.Distributor.AllAcknowledged(r.assignedProxies(now), target)
}

// handleDepartureNotice records that another registry waits for an acknowledgement.
func (r *Registry) handleDepartureNotice(now ids.Time, notice DepartureNotice) {
	r.departures.unackedNotices = append(r.departures.unackedNotices, notice)
	r.completeDepartures(now)
}

// handleDepartureAck records that all proxies assigned to another registry have applied
// a departure.
func (r *Registry) handleDepartureAck(now ids.Time, ack DepartureAck) {
	for _, pending := range r.departures.waiting {
		if ack.covers(pending.target) {
			delete(pending.awaitedPeers, ack.ID)
		}
	}
	r.completeDepartures(now)
}
