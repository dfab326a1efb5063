package consensus

import (
	"bytes"

	"dunlinwell/internal/base/delta"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// AcceptDifference is an Accept that carries its value as the difference to the
// one accepted under the ballot Base. An acceptor that holds exactly that base
// gets the very bytes that an Accept would have brought, and does as if it had;
// any other asks for the value whole and does nothing.
type AcceptDifference struct {
	Key            ids.RegisterKey
	Ballot         ids.Ballot
	NextBallot     ids.Ballot
	VoterSetNumber uint64
	Round          uint64
	BaseBallot     ids.Ballot
	Delta          []byte
}

// ChosenDifference tells registries of a register's new value, as the difference
// to the one before it.
type ChosenDifference struct {
	Key   ids.RegisterKey
	Delta []byte
}

var _ = wire.Register(34, AcceptDifference{}) && wire.Register(35, ChosenDifference{})

// valueDelta is how a round's value follows from one that others hold.
type valueDelta struct {
	baseBallot ids.Ballot
	delta      []byte
	// wholeSentTo holds the stores that asked for the value itself.
	wholeSentTo map[uint64]bool
}

// computeDelta gives the difference from the value that a round began with, if that is
// one whose ballot is known, and if it is worth it.
func (p *Proposer) computeDelta(r *round, old []byte) valueDelta {
	base := p.cachedValues[r.key]
	if r.firstValue || len(old) < minDeltaValueSize || len(r.value) < minDeltaValueSize || !bytes.Equal(base.value, old) {
		return valueDelta{}
	}
	difference := delta.Diff(old, r.value)
	if len(difference) > len(r.value)/2 {
		return valueDelta{}
	}
	return valueDelta{base.ballot, difference, map[uint64]bool{}}
}

// sendAccept asks a store to keep the round's value.
func (p *Proposer) sendAccept(now ids.Time, s Voter, r *round, number uint64) {
	if r.delta != nil && p.peer(s.ID).readsDeltas && !r.wholeSentTo[s.ID] {
		p.out.Send(s.Address, AcceptDifference{
			Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: number, Round: r.id,
			BaseBallot: r.baseBallot, Delta: r.delta,
		})
		return
	}
	if len(r.value) < largeValueSize || p.peer(s.ID).allowWholeValue(now) {
		p.out.Send(s.Address, Accept{Key: r.key, Ballot: r.ballot, NextBallot: r.nextBallot, VoterSetNumber: number, Round: r.id, Value: r.value, FirstValue: r.firstValue})
	}
}

// sendWholeValue gives the value to a store that doesn't hold the base.
func (p *Proposer) sendWholeValue(now ids.Time, r *round, store uint64) {
	if r.wholeSentTo == nil || r.wholeSentTo[store] {
		return
	}
	r.wholeSentTo[store] = true
	ro := p.voterSet()
	for _, s := range ro.AllVoters() {
		if s.ID == store {
			p.sendAccept(now, s, r, ro.Number)
		}
	}
}

// notifySubscribers tells those who must hear of it that a round's value is chosen.
func (p *Proposer) notifySubscribers(r *round) {
	for _, to := range p.Subscribers(r.key) {
		if r.delta != nil {
			p.out.Send(to, ChosenDifference{Key: r.key, Delta: r.delta})
		} else {
			p.out.Send(to, Chosen{Key: r.key, Value: r.value})
		}
	}
}

// HandleAcceptDifference keeps the value that a difference leads to.
func (a *Acceptor) HandleAcceptDifference(from ids.Address, m AcceptDifference) {
	if a.abstains(from, m.VoterSetNumber) {
		return
	}
	s := a.registerState(m.Key)
	whole := Accept{Key: m.Key, Ballot: m.Ballot, NextBallot: m.NextBallot, VoterSetNumber: m.VoterSetNumber, Round: m.Round}
	if s.Accepted == m.Ballot || m.Ballot.Less(s.Promised) {
		// Taken before, or rejected: the value isn't looked at.
		a.HandleAccept(from, whole)
		return
	}
	var err error
	if s.Accepted == m.BaseBallot {
		whole.Value, err = delta.Apply(s.Value, m.Delta)
	}
	if s.Accepted != m.BaseBallot || err != nil {
		a.AfterSync(event.Send{To: from, Msg: Accepted{
			Key: m.Key, Store: a.storeID, Round: m.Round, VoterSetNumber: m.VoterSetNumber,
			Promised: s.Promised, ReadsDeltas: true, NeedsWholeValue: true,
		}})
		return
	}
	a.HandleAccept(from, whole)
}
