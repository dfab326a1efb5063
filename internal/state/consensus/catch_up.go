package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Catching up is for voters that were away for a while. What a new store goes through
// before it may vote is a copy (Copier).
//
// A store that was away votes again at once, but holds old values until they change.
// Meanwhile one store less than intended holds the newest value. So a proposer that finds
// such a store while reading sends it the Accept that it missed. A late copy of an Accept
// does no harm at any time. If the store has promised a higher ballot since, it would
// reject the Accept, and the next reading agrees on the value anew.

const (
	// catchUpMinAge is how long ago a value must have been chosen. Before that, the
	// store's own Accept may still be on its way.
	catchUpMinAge = 300 * time.Millisecond
	// catchUpInterval is the least time between two attempts for one register and store.
	catchUpInterval = time.Second
)

// chosenValue is a value that a quorum is known to hold since chosenAt.
type chosenValue struct {
	cachedValue
	chosenAt ids.Time
}

// recordChosen notes a chosen value for catchUp. Idempotency keys and first values are
// left out: the former are too many, and the latter are not final for a quorum alone.
func (p *Proposer) recordChosen(now ids.Time, key ids.RegisterKey, ballot ids.Ballot, value []byte) {
	if isIdempotencyKey(key) || ballot.Counter <= maxFirstValueCounter || !p.chosen[key].ballot.Less(ballot) {
		return
	}
	p.chosen[key] = chosenValue{cachedValue{ballot, value}, now}
}

// catchUp sends a store the chosen value that it lacks according to its promise.
func (p *Proposer) catchUp(now ids.Time, m Promise) {
	missing, known := p.chosen[m.Key]
	if !known || !m.Accepted.Less(missing.ballot) || now.Sub(missing.chosenAt) < catchUpMinAge {
		return
	}
	if r := p.rounds[m.Key]; r != nil && (r.phase == accepting || r.phase == replicating) {
		return
	}
	sentAt := p.catchUpSentAt[m.Key]
	if sentAt == nil {
		sentAt = map[uint64]ids.Time{}
		p.catchUpSentAt[m.Key] = sentAt
	}
	if at, sent := sentAt[m.Store]; sent && now.Sub(at) < catchUpInterval {
		return
	}
	if missing.ballot.Less(m.Promised) {
		sentAt[m.Store] = now
		p.highestCounter = max(p.highestCounter, m.Promised.Counter)
		p.mustRewrite[m.Key] = true
		return
	}
	set := p.voterSet()
	voter, ok := set.Voter(m.Store)
	if !ok || m.VoterSetNumber != set.Number {
		return
	}
	sentAt[m.Store] = now
	// A round id of its own, so that the vote counts for no other round.
	p.lastRoundID++
	p.out.Send(voter.Address, Accept{
		Key: m.Key, Ballot: missing.ballot, VoterSetNumber: set.Number, Round: p.lastRoundID, Value: missing.value,
	})
}
