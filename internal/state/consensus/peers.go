package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// peers is what a proposer knows of the stores that it asks.
type peers struct {
	stores map[uint64]*peer
	// settled holds values that a majority holds, broughtUp when a store that
	// missed one was given it.
	settled   map[ids.RegisterKey]settledValue
	broughtUp map[ids.RegisterKey]map[uint64]ids.Time
	// again holds registers whose value is to be agreed on once more as it is.
	again map[ids.RegisterKey]bool
}

// peer is one store.
type peer struct {
	// readsDifferences: it said so. One of an earlier version skips what it
	// doesn't know, and would never answer.
	readsDifferences bool
	// unanswered counts the rounds in a row that ended without its vote.
	unanswered int
	wholeAt    ids.Time
}

const (
	// mostUnanswered is when a store no longer counts as one that reads
	// differences: it may have gone back to an earlier version.
	mostUnanswered = 3
	// wholeEvery bounds how often a store that doesn't answer is sent a large
	// value: what it can't take now would queue up.
	wholeEvery = time.Second
)

func newPeers() peers {
	return peers{
		stores: map[uint64]*peer{}, settled: map[ids.RegisterKey]settledValue{}, broughtUp: map[ids.RegisterKey]map[uint64]ids.Time{},
		again: map[ids.RegisterKey]bool{},
	}
}

func (p *peers) peer(store uint64) *peer {
	if p.stores[store] == nil {
		p.stores[store] = &peer{}
	}
	return p.stores[store]
}

// answered notes a store's answer.
func (p *peers) answered(store uint64, readsDifferences bool) {
	x := p.peer(store)
	x.unanswered = 0
	x.readsDifferences = x.readsDifferences || readsDifferences
}

// missed notes the stores whose vote a round ended without.
func (p *peers) missed(voters []Voter, votes map[uint64]bool) {
	for _, s := range voters {
		if votes[s.ID] {
			continue
		}
		x := p.peer(s.ID)
		x.unanswered++
		if x.unanswered >= mostUnanswered {
			x.readsDifferences = false
		}
	}
}

// mayTakeWhole tells whether to send a large value now, and notes that it is.
func (x *peer) mayTakeWhole(now ids.Time) bool {
	if x.unanswered > 0 && x.wholeAt != 0 && now.Sub(x.wholeAt) < wholeEvery {
		return false
	}
	x.wholeAt = now
	return true
}
