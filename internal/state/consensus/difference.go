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
	Key        ids.RegisterKey
	Ballot     ids.Ballot
	NextBallot ids.Ballot
	VoterSet   uint64
	Round      uint64
	Base       ids.Ballot
	Difference []byte
}

// ChosenDifference tells registries of a register's new value, as the difference
// to the one before it.
type ChosenDifference struct {
	Key        ids.RegisterKey
	Difference []byte
}

var _ = wire.Register(34, AcceptDifference{}) && wire.Register(35, ChosenDifference{})

// differing is how a round's value follows from one that others hold.
type differing struct {
	base       ids.Ballot
	difference []byte
	// whole holds the stores that asked for the value itself.
	whole map[uint64]bool
}

// differ gives the difference from the value that a round began with, if that is
// one whose ballot is known, and if it is worth it.
func (p *Proposer) differ(r *round, old []byte) differing {
	base := p.cachedValues[r.key]
	if r.first || len(old) < differencesFrom || len(r.value) < differencesFrom || !bytes.Equal(base.value, old) {
		return differing{}
	}
	difference := delta.Diff(old, r.value)
	if len(difference) > len(r.value)/2 {
		return differing{}
	}
	return differing{base.ballot, difference, map[uint64]bool{}}
}

// sendAccept asks a store to keep the round's value.
func (p *Proposer) sendAccept(now ids.Time, s Voter, r *round, number uint64) {
	if r.difference != nil && p.peer(s.ID).readsDifferences && !r.whole[s.ID] {
		p.out.Send(s.Address, AcceptDifference{
			Key: r.key, Ballot: r.ballot, NextBallot: r.next, VoterSet: number, Round: r.id,
			Base: r.base, Difference: r.difference,
		})
		return
	}
	if len(r.value) < largeValue || p.peer(s.ID).mayTakeWhole(now) {
		p.out.Send(s.Address, Accept{Key: r.key, Ballot: r.ballot, NextBallot: r.next, VoterSet: number, Round: r.id, Value: r.value, First: r.first})
	}
}

// sendWhole gives the value to a store that doesn't hold the base.
func (p *Proposer) sendWhole(now ids.Time, r *round, store uint64) {
	if r.whole == nil || r.whole[store] {
		return
	}
	r.whole[store] = true
	ro := p.voterSet()
	for _, s := range ro.All() {
		if s.ID == store {
			p.sendAccept(now, s, r, ro.Number)
		}
	}
}

// sendChosen tells those who must hear of it that a round's value is chosen.
func (p *Proposer) sendChosen(r *round) {
	for _, to := range p.Subscribers(r.key) {
		if r.difference != nil {
			p.out.Send(to, ChosenDifference{Key: r.key, Difference: r.difference})
		} else {
			p.out.Send(to, Chosen{Key: r.key, Value: r.value})
		}
	}
}

// AcceptDifference keeps the value that a difference leads to.
func (a *Acceptor) AcceptDifference(from ids.Address, m AcceptDifference) {
	if a.stale(from, m.VoterSet) {
		return
	}
	s := a.slot(m.Key)
	whole := Accept{Key: m.Key, Ballot: m.Ballot, NextBallot: m.NextBallot, VoterSet: m.VoterSet, Round: m.Round}
	if s.Accepted == m.Ballot || m.Ballot.Less(s.Promised) {
		// Taken before, or rejected: the value isn't looked at.
		a.Accept(from, whole)
		return
	}
	var err error
	if s.Accepted == m.Base {
		whole.Value, err = delta.Apply(s.Value, m.Difference)
	}
	if s.Accepted != m.Base || err != nil {
		a.AfterSync(event.Send{To: from, Msg: Accepted{
			Key: m.Key, Store: a.store, Round: m.Round, VoterSet: m.VoterSet,
			Promised: s.Promised, Differences: true, Whole: true,
		}})
		return
	}
	a.Accept(from, whole)
}
