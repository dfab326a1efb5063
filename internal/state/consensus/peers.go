package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// replicaTracker is what a proposer knows of the stores that it asks.
type replicaTracker struct {
	peers map[uint64]*peerState
	// chosen holds values that a majority holds, broughtUp when a store that
	// missed one was given it.
	chosen        map[ids.RegisterKey]chosenValue
	catchUpSentAt map[ids.RegisterKey]map[uint64]ids.Time
	// mustRewrite holds registers whose value is to be agreed on once more as it is.
	mustRewrite map[ids.RegisterKey]bool
}

// peerState is one store.
type peerState struct {
	// readsDifferences: it said so. One of an earlier version skips what it
	// doesn't know, and would never answer.
	readsDeltas bool
	// missedRounds counts the rounds in a row that ended without its vote.
	missedRounds     int
	lastWholeValueAt ids.Time
}

const (
	// maxMissedRounds is when a store no longer counts as one that reads
	// differences: it may have gone back to an earlier version.
	maxMissedRounds = 3
	// wholeValueInterval bounds how often a store that doesn't answer is sent a large
	// value: what it can't take now would queue up.
	wholeValueInterval = time.Second
)

func newReplicaTracker() replicaTracker {
	return replicaTracker{
		peers: map[uint64]*peerState{}, chosen: map[ids.RegisterKey]chosenValue{}, catchUpSentAt: map[ids.RegisterKey]map[uint64]ids.Time{},
		mustRewrite: map[ids.RegisterKey]bool{},
	}
}

func (t *replicaTracker) peer(store uint64) *peerState {
	if t.peers[store] == nil {
		t.peers[store] = &peerState{}
	}
	return t.peers[store]
}

// recordResponse notes a store's answer.
func (t *replicaTracker) recordResponse(store uint64, readsDifferences bool) {
	x := t.peer(store)
	x.missedRounds = 0
	x.readsDeltas = x.readsDeltas || readsDifferences
}

// recordMissedVotes notes the stores whose vote a round ended without.
func (t *replicaTracker) recordMissedVotes(voters []Voter, votes map[uint64]bool) {
	for _, s := range voters {
		if votes[s.ID] {
			continue
		}
		x := t.peer(s.ID)
		x.missedRounds++
		if x.missedRounds >= maxMissedRounds {
			x.readsDeltas = false
		}
	}
}

// allowWholeValue tells whether to send a large value now, and notes that it is.
func (p *peerState) allowWholeValue(now ids.Time) bool {
	if p.missedRounds > 0 && p.lastWholeValueAt != 0 && now.Sub(p.lastWholeValueAt) < wholeValueInterval {
		return false
	}
	p.lastWholeValueAt = now
	return true
}
