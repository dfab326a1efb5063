package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// A store that was away takes part again at once, but holds old values until the
// next change. Meanwhile one copy less than agreed holds the newest one, so
// whoever reads and finds such a store gives it the value: it sends it the Accept
// that it missed. A late copy of an Accept is always harmless. Where the store has
// promised a higher ballot since, the next reading agrees on the value anew.

const (
	// catchUpMinAge is how long a value must have been chosen: before that, the
	// store's own Accept may be under way.
	catchUpMinAge   = 300 * time.Millisecond
	catchUpInterval = time.Second
)

// chosenValue is a value that a majority is known to hold.
type chosenValue struct {
	cachedValue
	chosenAt ids.Time
}

// recordChosen notes a value as chosen.
func (p *Proposer) recordChosen(now ids.Time, key ids.RegisterKey, b ids.Ballot, value []byte) {
	if isIdempotencyKey(key) || b.Counter <= maxFirstValueCounter || !p.chosen[key].ballot.Less(b) {
		return
	}
	p.chosen[key] = chosenValue{cachedValue{b, value}, now}
}

// catchUp sends a store the chosen value that it missed.
func (p *Proposer) catchUp(now ids.Time, m Promise) {
	s, known := p.chosen[m.Key]
	if !known || !m.Accepted.Less(s.ballot) || now.Sub(s.chosenAt) < catchUpMinAge {
		return
	}
	if r := p.rounds[m.Key]; r != nil && (r.phase == accepting || r.phase == replicating) {
		return
	}
	sent := p.catchUpSentAt[m.Key]
	if sent == nil {
		sent = map[uint64]ids.Time{}
		p.catchUpSentAt[m.Key] = sent
	}
	if at, ok := sent[m.Store]; ok && now.Sub(at) < catchUpInterval {
		return
	}
	if s.ballot.Less(m.Promised) {
		// It promised more meanwhile and would reject that Accept. The value is
		// agreed on once more, by a ballot above all promises.
		sent[m.Store] = now
		p.highestCounter = max(p.highestCounter, m.Promised.Counter)
		p.mustRewrite[m.Key] = true
		return
	}
	ro := p.voterSet()
	for _, v := range ro.AllVoters() {
		if v.ID == m.Store && m.VoterSetNumber == ro.Number {
			sent[m.Store] = now
			// A round's number of its own: its vote must count for no other.
			p.lastRoundID++
			p.out.Send(v.Address, Accept{Key: m.Key, Ballot: s.ballot, VoterSetNumber: ro.Number, Round: p.lastRoundID, Value: s.value})
		}
	}
}
