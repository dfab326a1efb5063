package consensus

import (
	"bytes"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/ids"
)

// valueDelta encodes a round's value as a delta from the value accepted under baseBallot. It
// is zero if the round sends the full value.
type valueDelta struct {
	baseBallot ids.Ballot
	delta      []byte
	// fullValueSentTo holds the IDs of stores that requested the full value.
	fullValueSentTo map[uint64]bool
}

// computeDelta returns the delta from the round's old value to its new one. It is zero if a
// value is small, the old value's ballot isn't known, or the delta is longer than half of the
// new value.
func (p *Proposer) computeDelta(r *round, old []byte) valueDelta {
	base := p.cachedValues[r.key]
	small := len(old) < minDeltaValueSize || len(r.value) < minDeltaValueSize
	if r.firstValue || small || !bytes.Equal(base.value, old) {
		return valueDelta{}
	}
	encoded := delta.Diff(old, r.value)
	if len(encoded) > len(r.value)/2 {
		return valueDelta{}
	}
	return valueDelta{base.ballot, encoded, map[uint64]bool{}}
}

// sendAccept asks a store to accept the round's value. It sends a delta if there is one and
// the store supports it, and the full value otherwise.
func (p *Proposer) sendAccept(now ids.Time, to Voter, r *round, voterSetNumber uint64) {
	peer := p.peer(to.ID)
	if r.delta != nil && peer.supportsDeltas && !r.fullValueSentTo[to.ID] {
		p.out.Send(to.Address, AcceptDelta{
			Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: voterSetNumber,
			Round: r.id, BaseBallot: r.baseBallot, Delta: r.delta,
		})
		return
	}
	if len(r.value) < largeValueSize || peer.allowFullValue(now) {
		p.out.Send(to.Address, Accept{
			Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: voterSetNumber,
			Round: r.id, Value: r.value, FirstValue: r.firstValue,
		})
	}
}

// sendFullValue sends the full value to a store that doesn't hold the delta's base, at most
// once per round.
func (p *Proposer) sendFullValue(now ids.Time, r *round, store uint64) {
	if r.fullValueSentTo == nil || r.fullValueSentTo[store] {
		return
	}
	r.fullValueSentTo[store] = true
	set := p.voterSet()
	if v, ok := set.Voter(store); ok {
		p.sendAccept(now, v, r, set.Number)
	}
}

// notifySubscribers sends a chosen value to the register's subscribers.
func (p *Proposer) notifySubscribers(r *round) {
	for _, to := range p.Subscribers(r.key) {
		if r.delta != nil {
			p.out.Send(to, ChosenDelta{Key: r.key, Delta: r.delta})
		} else {
			p.out.Send(to, Chosen{Key: r.key, Value: r.value})
		}
	}
}
