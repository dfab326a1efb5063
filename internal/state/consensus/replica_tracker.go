package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// replicaTracker is what a proposer knows of the stores that it sends to, and of the
// chosen values that some of them may lack.
type replicaTracker struct {
	peers map[uint64]*peerState
	// chosen holds the newest value of each register that a quorum is known to hold, and
	// catchUpSentAt when a store that lacked it was last sent it.
	chosen        map[ids.RegisterKey]chosenValue
	catchUpSentAt map[ids.RegisterKey]map[uint64]ids.Time
	// mustRewrite holds registers whose value is to be agreed on once more, unchanged,
	// under a higher ballot.
	mustRewrite map[ids.RegisterKey]bool
}

// peerState is what is known of one store.
type peerState struct {
	// readsDeltas says that the store announced it. A store of an earlier version skips
	// messages that it doesn't know, and would never answer.
	readsDeltas bool
	// missedRounds counts the rounds in a row that ended without the store's vote.
	missedRounds     int
	lastWholeValueAt ids.Time
}

const (
	// maxMissedRounds is when a store no longer counts as one that reads deltas, as it
	// may have been downgraded.
	maxMissedRounds = 3
	// wholeValueInterval is the least time between large values to a store that doesn't
	// answer: what it can't receive now would queue up.
	wholeValueInterval = time.Second
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

// recordResponse notes that a store answered.
func (t *replicaTracker) recordResponse(store uint64, readsDeltas bool) {
	peer := t.peer(store)
	peer.missedRounds = 0
	peer.readsDeltas = peer.readsDeltas || readsDeltas
}

// recordMissedVotes notes the voters whose vote a round ended without.
func (t *replicaTracker) recordMissedVotes(voters []Voter, votes map[uint64]bool) {
	for _, v := range voters {
		if votes[v.ID] {
			continue
		}
		peer := t.peer(v.ID)
		peer.missedRounds++
		if peer.missedRounds >= maxMissedRounds {
			peer.readsDeltas = false
		}
	}
}

// allowWholeValue reports whether to send a large value now, and if so notes that it is.
func (p *peerState) allowWholeValue(now ids.Time) bool {
	if p.missedRounds > 0 && p.lastWholeValueAt != 0 && now.Sub(p.lastWholeValueAt) < wholeValueInterval {
		return false
	}
	p.lastWholeValueAt = now
	return true
}
