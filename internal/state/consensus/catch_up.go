package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Catch-up updates voters that were unreachable for a while. New stores copy all registers
// instead (Copier).
//
// A store that returns votes again at once, but holds outdated values until they change, so
// the latest value has one replica fewer than intended. A proposer that detects such a store
// while reading sends it the Accept that it missed; a delayed duplicate of an Accept is always
// safe. If the store has promised a higher ballot since, it would reject the Accept, so the
// next read runs a full round that rewrites the value.

const (
	// catchUpMinAge is the minimum age of a chosen value. Before that, the store's own
	// Accept may still be in flight.
	catchUpMinAge = 300 * time.Millisecond
	// catchUpInterval is the minimum time between two attempts for one register and store.
	catchUpInterval = time.Second
)

// chosenValue is a value that a quorum is known to have held since chosenAt.
type chosenValue struct {
	cachedValue
	chosenAt ids.Time
}

// recordChosen records a chosen value for catchUp. It skips idempotency keys, which are too
// numerous, and first values, which a quorum alone doesn't choose.
func (p *Proposer) recordChosen(now ids.Time, key ids.RegisterKey, ballot ids.Ballot, value []byte) {
	if isIdempotencyKey(key) || ballot.Counter <= maxFirstValueCounter || !p.chosen[key].ballot.Less(ballot) {
		return
	}
	p.chosen[key] = chosenValue{cachedValue{ballot, value}, now}
}

// catchUp sends a store the chosen value that its promise shows to be missing.
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
	// The new round ID keeps the vote from counting for another round.
	p.lastRoundID++
	p.out.Send(voter.Address, Accept{
		Key: m.Key, Ballot: missing.ballot, VoterSetNumber: set.Number, Round: p.lastRoundID, Value: missing.value,
	})
}
