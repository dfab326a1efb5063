package registry

import (
	"net/http"
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// departureTimeout is how long a call waits for all proxies once a majority is known to
	// be reachable. Callers wait for a second (docs/platform.md) and then try another registry.
	departureTimeout = 500 * time.Millisecond
	// unconfirmedDepartureTimeout is how long after a target's first notice its departure is
	// acknowledged although a proxy has not applied it. It is longer than the declaration of
	// death of a proxy takes, and shorter than the time within which targets must be
	// acknowledged (4 s on the platform).
	unconfirmedDepartureTimeout = 2500 * time.Millisecond
	// noticeLifetime is how long another registry's notice is kept. That registry stops waiting
	// earlier.
	noticeLifetime = time.Second
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

// receivedNotice is another registry's DepartureNotice that isn't acknowledged yet.
type receivedNotice struct {
	DepartureNotice
	receivedAt ids.Time
}

// departureTracker holds the departures in progress.
type departureTracker struct {
	// waiting holds the departures that this registry has to answer, oldest first.
	waiting []departure
	// unackedNotices holds notices of other registries that aren't acknowledged yet.
	unackedNotices []receivedNotice
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
		r.answerUnconfirmed(now, pending)
	case now.Sub(pending.arrived) >= majorityTimeout:
		// Without a majority, proxies on the other side of a partition may not have
		// applied the departure.
		r.replyUnavailable(pending.callID)
	default:
		return false
	}
	return true
}

// answerUnconfirmed answers a departure that some proxy has not applied. The target must announce
// it again, so that the proxy has more time, until unconfirmedDepartureTimeout has passed.
func (r *Registry) answerUnconfirmed(now ids.Time, pending departure) {
	departedAt := r.Targets.DepartedAt(pending.target.Instance)
	if departedAt != 0 && now.Sub(departedAt) < unconfirmedDepartureTimeout {
		r.replyRetry(pending.callID, http.StatusServiceUnavailable, "not all proxies have applied the departure yet")
		return
	}
	r.Log(event.LevelWarn, logDepartureUnconfirmed, "target", string(pending.target.Instance),
		"registries", strconv.Itoa(len(pending.awaitedPeers)), "proxies", strconv.Itoa(r.proxiesWithout(now, pending.target)))
	r.reply(pending.callID, http.StatusOK, map[string]any{bodyKnown: true, bodyEverywhere: false})
}

// proxiesWithout returns the number of proxies assigned to this registry that have not
// acknowledged a target's departure.
func (r *Registry) proxiesWithout(now ids.Time, target targets.Target) int {
	count := 0
	for _, proxy := range r.assignedProxies(now) {
		if !r.Distributor.AllAcknowledged([]membership.Member{proxy}, target) {
			count++
		}
	}
	return count
}

// sendDepartureAcks acknowledges the notices of other registries whose departures the
// assigned proxies have applied. The rest are kept for noticeLifetime.
func (r *Registry) sendDepartureAcks(now ids.Time) {
	remaining := r.departures.unackedNotices[:0]
	for _, notice := range r.departures.unackedNotices {
		if !r.acknowledgeNotice(now, notice.DepartureNotice) && now.Sub(notice.receivedAt) < noticeLifetime {
			remaining = append(remaining, notice)
		}
	}
	r.departures.unackedNotices = remaining
}

// acknowledgeNotice acknowledges a notice if all assigned proxies have applied the departure, and
// reports whether it did.
func (r *Registry) acknowledgeNotice(now ids.Time, notice DepartureNotice) bool {
	target := notice.Target
	if !r.appliedByAssignedProxies(now, target) {
		return false
	}
	r.Send(notice.Requester, DepartureAck{ID: r.Self.ID, Instance: target.Instance, Sequence: target.Sequence, Incarnation: target.Incarnation})
	return true
}

// appliedByAssignedProxies reports whether every proxy that this registry pushes to has
// acknowledged a target's departure.
func (r *Registry) appliedByAssignedProxies(now ids.Time, target targets.Target) bool {
	return r.Distributor.AllAcknowledged(r.assignedProxies(now), target)
}

// handleDepartureNotice acknowledges another registry's notice, or records that it waits. The
// update that announced the departure may have been lost, so it is merged from the notice too.
func (r *Registry) handleDepartureNotice(now ids.Time, notice DepartureNotice) {
	r.handleTargetUpdate(now, []targets.Target{notice.Target})
	if !r.acknowledgeNotice(now, notice) {
		r.departures.unackedNotices = append(r.departures.unackedNotices, receivedNotice{notice, now})
	}
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
