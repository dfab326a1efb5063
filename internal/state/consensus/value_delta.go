package consensus

import (
	"bytes"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/ids"
)

// valueDelta is the delta by which a round's value follows from one that acceptors hold.
// It is zero where the value is sent whole.
type valueDelta struct {
	baseBallot ids.Ballot
	delta      []byte
	// wholeSentTo holds the ids of stores that asked for the value in place of the delta.
	wholeSentTo map[uint64]bool
}

// computeDelta returns the delta from the value that a round began with, if the ballot
// of that value is known and the delta is at most half as long as the new value.
func (p *Proposer) computeDelta(r *round, old []byte) valueDelta {
	base := p.cachedValues[r.key]
	small := len(old) < minDeltaValueSize || len(r.value) < minDeltaValueSize
	if r.firstValue || small || !bytes.Equal(base.value, old) {
		return valueDelta{}
	}
	difference := delta.Diff(old, r.value)
	if len(difference) > len(r.value)/2 {
		return valueDelta{}
	}
	return valueDelta{base.ballot, difference, map[uint64]bool{}}
}

// sendAccept asks a store to accept the round's value: by its delta if the store can
// read it, else whole.
func (p *Proposer) sendAccept(now ids.Time, to Voter, r *round, voterSetNumber uint64) {
	peer := p.peer(to.ID)
	if r.delta != nil && peer.readsDeltas && !r.wholeSentTo[to.ID] {
		p.out.Send(to.Address, AcceptDelta{
			Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: voterSetNumber,
			Round: r.id, BaseBallot: r.baseBallot, Delta: r.delta,
		})
		return
	}
	if len(r.value) < largeValueSize || peer.allowWholeValue(now) {
		p.out.Send(to.Address, Accept{
			Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: voterSetNumber,
			Round: r.id, Value: r.value, FirstValue: r.firstValue,
		})
	}
}

// sendWholeValue sends the value, once, to a store that doesn't hold the delta's base.
func (p *Proposer) sendWholeValue(now ids.Time, r *round, store uint64) {
	if r.wholeSentTo == nil || r.wholeSentTo[store] {
		return
	}
	r.wholeSentTo[store] = true
	set := p.voterSet()
	if v, ok := set.Voter(store); ok {
		p.sendAccept(now, v, r, set.Number)
	}
}

// notifySubscribers informs the register's subscribers of a value that was chosen.
func (p *Proposer) notifySubscribers(r *round) {
	for _, to := range p.Subscribers(r.key) {
		if r.delta != nil {
			p.out.Send(to, ChosenDelta{Key: r.key, Delta: r.delta})
		} else {
			p.out.Send(to, Chosen{Key: r.key, Value: r.value})
		}
	}
}
