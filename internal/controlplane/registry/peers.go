package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// peerHeartbeatInterval is the interval between two heartbeats to each peer.
	peerHeartbeatInterval = 400 * time.Millisecond
	// peerTimeout is how long after its last heartbeat a peer counts as running: four
	// heartbeat intervals.
	peerTimeout = 4 * peerHeartbeatInterval
	// trustWithinAge is how old a peer's agreement may be for the peer to become
	// trusted, and distrustAfterAge the age at which a trusted one ceases to be. The
	// gap between them keeps the assignment of proxies and targets stable while
	// agreements take a little longer now and then.
	trustWithinAge   = 1200 * time.Millisecond
	distrustAfterAge = 2500 * time.Millisecond
	// compareAfterMismatches is the number of successive heartbeats with another
	// digest after which the target tables are compared part by part. Until then
	// the update that explains the difference may still be on its way.
	compareAfterMismatches = 3
	// sendAllAfterMismatches is the number of successive heartbeats with another
	// digest after which the whole table is sent, to a peer of a version that can't
	// compare parts: with any other, four comparisons have come before.
	sendAllAfterMismatches = 15
	// relayInterval is the interval at which changed members are relayed.
	relayInterval = 150 * time.Millisecond
)

// maxAgreementAgeMillis caps the age in a PeerHeartbeat so that it fits its field.
const maxAgreementAgeMillis = 1 << 30

// peerSet holds what the other registries say in their own heartbeats. During a
// partition the membership list may still show as alive a peer that is no longer heard.
type peerSet struct {
	byID            map[ids.DaemonID]peer
	nextHeartbeat   ids.Time
	heartbeatNumber ids.StreamNumber
	lastRelay       ids.Time
}

// peer is another registry as its own heartbeats show it.
type peer struct {
	PeerHeartbeat
	receivedAt ids.Time
	// digestMismatches counts successive heartbeats whose target digest wasn't ours.
	digestMismatches int
	// trusted peers push to proxies and act as registrars of targets.
	trusted bool
}

func newPeerSet() peerSet { return peerSet{byID: map[ids.DaemonID]peer{}} }

// isRunning tells whether a run of a peer has sent a heartbeat within peerTimeout.
func (s *peerSet) isRunning(now ids.Time, id ids.DaemonID, run ids.RunID) bool {
	p, known := s.byID[id]
	return known && p.RunID == run && now.Sub(p.receivedAt) < peerTimeout
}

// isTrusted tells whether a run of a peer is running and reaches a majority.
func (s *peerSet) isTrusted(now ids.Time, id ids.DaemonID, run ids.RunID) bool {
	return s.isRunning(now, id, run) && s.byID[id].trusted
}

// tickPeers sends the heartbeats to peers that are due, and relays membership changes.
func (r *Registry) tickPeers(now ids.Time) {
	if !r.options.Incremental {
		return
	}
	r.Targets.RenewRegistered(now, func(id ids.DaemonID, run ids.RunID) bool {
		return id != r.Self.ID && r.peers.isRunning(now, id, run)
	})
	r.relayMembership(now)
	if now < r.peers.nextHeartbeat {
		return
	}
	r.peers.nextHeartbeat = now.Add(peerHeartbeatInterval)
	r.peers.heartbeatNumber++
	r.sendToPeers(PeerHeartbeat{
		ID:                 r.Self.ID,
		RunID:              r.Self.RunID,
		AgreementAgeMillis: uint32(min(r.lease.age(now)/time.Millisecond, maxAgreementAgeMillis)),
		TargetsDigest:      r.Targets.Digest(),
		Number:             r.peers.heartbeatNumber,
	})
}

// sendToPeers sends a message to every other live registry.
func (r *Registry) sendToPeers(msg any) {
	for _, member := range r.Live(membership.Registry) {
		if member.ID != r.Self.ID {
			r.Send(member.Address, msg)
		}
	}
}

// handlePeerHeartbeat records a peer's heartbeat, and reconciles the target tables.
func (r *Registry) handlePeerHeartbeat(now ids.Time, heartbeat PeerHeartbeat) {
	restarted := r.peers.byID[heartbeat.ID].RunID != heartbeat.RunID
	digestMismatches := r.recordPeer(now, heartbeat, restarted)
	if member, known := r.Get(heartbeat.ID); known {
		r.reconcileTargets(now, member.Address, restarted, digestMismatches)
	}
}

// recordPeer records a peer's heartbeat, and returns how many in a row have had another
// digest of the targets than this registry.
func (r *Registry) recordPeer(now ids.Time, heartbeat PeerHeartbeat, restarted bool) int {
	p := r.peers.byID[heartbeat.ID]
	p.PeerHeartbeat, p.receivedAt = heartbeat, now
	agreementAge := time.Duration(heartbeat.AgreementAgeMillis) * time.Millisecond
	p.trusted = remainsTrusted(p.trusted && !restarted, agreementAge)
	if heartbeat.TargetsDigest == r.Targets.Digest() {
		p.digestMismatches = 0
	} else {
		p.digestMismatches++
	}
	r.peers.byID[heartbeat.ID] = p
	return p.digestMismatches
}

// reconcileTargets sends a peer what makes both target tables equal again. A peer that was
// restarted knows nothing yet; with any other whose table goes on differing from this
// one, an update was lost.
func (r *Registry) reconcileTargets(now ids.Time, peer ids.Address, restarted bool, digestMismatches int) {
	switch {
	case restarted || isMultiple(digestMismatches, sendAllAfterMismatches):
		r.Send(peer, targets.Update{Targets: r.Targets.All(now)})
	case isMultiple(digestMismatches, compareAfterMismatches):
		r.Send(peer, TableDigest{Parts: r.Targets.PartDigests()})
	}
}

// isMultiple tells whether a positive count is a multiple of step.
func isMultiple(count, step int) bool { return count > 0 && count%step == 0 }

// remainsTrusted tells whether a peer whose agreement has some age is trusted, given
// whether it was trusted before.
func remainsTrusted(before bool, agreementAge time.Duration) bool {
	if before {
		return agreementAge < distrustAfterAge
	}
	return agreementAge < trustWithinAge
}

// handleTableDigest answers a peer's digests with the targets of the parts that differ.
func (r *Registry) handleTableDigest(now ids.Time, from ids.Address, digest TableDigest) {
	if differing := r.Targets.InDifferingParts(now, digest.Parts); len(differing) > 0 {
		r.Send(from, targets.Update{Targets: differing})
	}
}

// relayMembership sends the members that have changed to the assigned proxies and
// to the other registries; the first registry of the assignment also sends them to
// the stores.
func (r *Registry) relayMembership(now ids.Time) {
	if now < r.peers.lastRelay.Add(relayInterval) {
		return
	}
	r.peers.lastRelay = now
	changed := r.DrainChanged()
	if len(changed) == 0 {
		return
	}
	delta := membership.Delta{Members: changed, Final: true}
	for _, proxy := range r.assignedProxies(now) {
		r.Send(proxy.Address, delta)
	}
	registries := r.assignment.registries
	isFirst := len(registries) > 0 && registries[0].ID == r.Self.ID
	for _, member := range r.All() {
		if member.Dead || member.ID == r.Self.ID {
			continue
		}
		if member.Role == membership.Registry || member.Role == membership.Store && isFirst {
			r.Send(member.Address, delta)
		}
	}
}
