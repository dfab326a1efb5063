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
	// peerTimeout is how long after its last heartbeat a peer is considered running.
	peerTimeout = 4 * peerHeartbeatInterval
	// trustWithinAge is the age of a peer's last quorum read below which the peer
	// becomes trusted, and distrustAfterAge the age at which a trusted peer loses trust.
	// The hysteresis keeps the assignment of proxies and targets stable while some
	// quorum reads are slow.
	trustWithinAge   = 1200 * time.Millisecond
	distrustAfterAge = 2500 * time.Millisecond
	// compareAfterMismatches is the number of successive heartbeats with a different
	// digest after which the target tables are compared part by part. Before that, the
	// update that explains the difference may still be in flight.
	compareAfterMismatches = 3
	// sendAllAfterMismatches is the number of successive heartbeats with a different
	// digest after which the whole table is sent, for peers of versions that can't
	// compare parts.
	sendAllAfterMismatches = 15
	// relayInterval is the minimum interval between two relays of changed members.
	relayInterval = 150 * time.Millisecond
)

// maxQuorumReadAgeMillis limits the age in a PeerHeartbeat so that it fits its field.
const maxQuorumReadAgeMillis = 1 << 30

// peerSet holds the other registries' latest heartbeats. During a partition, the
// membership list may still show a peer as alive that no longer sends any.
type peerSet struct {
	byID            map[ids.DaemonID]peer
	nextHeartbeat   ids.Time
	heartbeatNumber ids.StreamNumber
	lastRelay       ids.Time
}

// peer is the state of another registry, based on its own heartbeats.
type peer struct {
	PeerHeartbeat
	receivedAt ids.Time
	// digestMismatches counts successive heartbeats whose target digest differed from this registry's.
	digestMismatches int
	// trusted peers push to proxies and act as registrars of targets.
	trusted bool
}

func newPeerSet() peerSet { return peerSet{byID: map[ids.DaemonID]peer{}} }

// isRunning reports whether a run of a peer has sent a heartbeat within peerTimeout.
func (s *peerSet) isRunning(now ids.Time, id ids.DaemonID, run ids.RunID) bool {
	p, known := s.byID[id]
	return known && p.RunID == run && now.Sub(p.receivedAt) < peerTimeout
}

// isTrusted reports whether a run of a peer is running and trusted.
func (s *peerSet) isTrusted(now ids.Time, id ids.DaemonID, run ids.RunID) bool {
	return s.isRunning(now, id, run) && s.byID[id].trusted
}

// tickPeers sends heartbeats to peers when they are due, and relays membership changes.
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
		ID:                  r.Self.ID,
		RunID:               r.Self.RunID,
		QuorumReadAgeMillis: uint32(min(r.lease.age(now)/time.Millisecond, maxQuorumReadAgeMillis)),
		TargetsDigest:       r.Targets.Digest(),
		Number:              r.peers.heartbeatNumber,
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

// recordPeer records a peer's heartbeat, and returns the number of successive heartbeats
// whose target digest differed from this registry's.
func (r *Registry) recordPeer(now ids.Time, heartbeat PeerHeartbeat, restarted bool) int {
	p := r.peers.byID[heartbeat.ID]
	p.PeerHeartbeat, p.receivedAt = heartbeat, now
	quorumReadAge := time.Duration(heartbeat.QuorumReadAgeMillis) * time.Millisecond
	p.trusted = shouldTrust(p.trusted && !restarted, quorumReadAge)
	if heartbeat.TargetsDigest == r.Targets.Digest() {
		p.digestMismatches = 0
	} else {
		p.digestMismatches++
	}
	r.peers.byID[heartbeat.ID] = p
	return p.digestMismatches
}

// reconcileTargets performs anti-entropy with a peer. A restarted peer is sent the whole
// target table; if any other peer's table keeps differing from this one, an update was lost.
func (r *Registry) reconcileTargets(now ids.Time, peer ids.Address, restarted bool, digestMismatches int) {
	switch {
	case restarted || isMultiple(digestMismatches, sendAllAfterMismatches):
		r.Send(peer, targets.Update{Targets: r.Targets.All(now)})
	case isMultiple(digestMismatches, compareAfterMismatches):
		r.Send(peer, TableDigest{Parts: r.Targets.PartDigests()})
	}
}

// isMultiple reports whether count is a positive multiple of step.
func isMultiple(count, step int) bool { return count > 0 && count%step == 0 }

// shouldTrust reports whether a peer is trusted, given whether it was trusted before and
// the age of its last quorum read.
func shouldTrust(wasTrusted bool, quorumReadAge time.Duration) bool {
	if wasTrusted {
		return quorumReadAge < distrustAfterAge
	}
	return quorumReadAge < trustWithinAge
}

// handleTableDigest replies to a peer's digests with the targets of the parts that differ.
func (r *Registry) handleTableDigest(now ids.Time, from ids.Address, digest TableDigest) {
	if differing := r.Targets.InDifferingParts(now, digest.Parts); len(differing) > 0 {
		r.Send(from, targets.Update{Targets: differing})
	}
}

// relayMembership sends changed members to the assigned proxies and to the other
// registries; the first registry of the assignment also sends them to the stores.
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
