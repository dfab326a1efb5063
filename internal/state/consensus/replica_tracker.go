package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// replicaTracker is a proposer's knowledge about the stores that it sends to, and about
// chosen values that some of them may lack.
type replicaTracker struct {
	peers map[uint64]*peerState
	// chosen holds the latest value of each register that a quorum is known to hold.
	// catchUpSentAt holds the time of the last catch-up attempt by register and store.
	chosen        map[ids.RegisterKey]chosenValue
	catchUpSentAt map[ids.RegisterKey]map[uint64]ids.Time
	// mustRewrite holds registers whose value must be proposed again, unchanged, under a
	// higher ballot.
	mustRewrite map[ids.RegisterKey]bool
}

// peerState is a proposer's knowledge about one store.
type peerState struct {
	// supportsDeltas is set if the store has reported that it supports AcceptDelta. A store
	// of an earlier version ignores unknown messages and would never respond.
	supportsDeltas bool
	// missedRounds counts consecutive rounds that ended without the store's vote.
	missedRounds    int
	lastFullValueAt ids.Time
}

const (
	// maxMissedRounds is the number of missed rounds after which a store is sent no more
	// deltas, as it may have been downgraded.
	maxMissedRounds = 3
	// fullValueInterval is the minimum time between large values sent to a store that
	// doesn't respond, to limit the send queue.
	fullValueInterval = time.Second
)

func newReplicaTracker() replicaTracker {
	return replicaTracker{
		peers:         map[uint64]*peerState{},
		chosen:        map[ids.RegisterKey]chosenValue{},
		catchUpSentAt: map[ids.RegisterKey]map[uint64]ids.Time{},
		mustRewrite:   map[ids.RegisterKey]bool{},
	}
}

func (t *replicaTracker) peer(store uint64) *peerState {
	if t.peers[store] == nil {
		t.peers[store] = &peerState{}
	}
	return t.peers[store]
}

// recordResponse records a response from a store.
func (t *replicaTracker) recordResponse(store uint64, supportsDeltas bool) {
	peer := t.peer(store)
	peer.missedRounds = 0
	peer.supportsDeltas = peer.supportsDeltas || supportsDeltas
}

// recordMissedVotes records the voters that hadn't voted when a round ended.
func (t *replicaTracker) recordMissedVotes(voters []Voter, votes map[uint64]bool) {
	for _, v := range voters {
		if votes[v.ID] {
			continue
		}
		peer := t.peer(v.ID)
		peer.missedRounds++
		if peer.missedRounds >= maxMissedRounds {
			peer.supportsDeltas = false
		}
	}
}

// allowFullValue reports whether a large value may be sent now, and if so records the time.
func (p *peerState) allowFullValue(now ids.Time) bool {
	if p.missedRounds > 0 && p.lastFullValueAt != 0 && now.Sub(p.lastFullValueAt) < fullValueInterval {
		return false
	}
	p.lastFullValueAt = now
	return true
}
