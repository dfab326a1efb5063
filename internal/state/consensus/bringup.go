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
	// bringUpAfter is how long a value must have been chosen: before that, the
	// store's own Accept may be under way.
	bringUpAfter = 300 * time.Millisecond
	bringUpEvery = time.Second
)

// settledValue is a value that a majority is known to hold.
type settledValue struct {
	cachedValue
	at ids.Time
}

// noteSettled notes a value as chosen.
func (p *Proposer) noteSettled(now ids.Time, key ids.Key, b ids.Ballot, value []byte) {
	if isIdempotencyKey(key) || b.Count <= firstBallots || !p.settled[key].ballot.Less(b) {
		return
	}
	p.settled[key] = settledValue{cachedValue{b, value}, now}
}

// bringUp sends a store the chosen value that it missed.
func (p *Proposer) bringUp(now ids.Time, m Promise) {
	s, known := p.settled[m.Key]
	if !known || !m.Accepted.Less(s.ballot) || now.Since(s.at) < bringUpAfter {
		return
	}
	if r := p.rounds[m.Key]; r != nil && (r.phase == accepting || r.phase == replicating) {
		return
	}
	sent := p.broughtUp[m.Key]
	if sent == nil {
		sent = map[uint64]ids.Time{}
		p.broughtUp[m.Key] = sent
	}
	if at, ok := sent[m.Store]; ok && now.Since(at) < bringUpEvery {
		return
	}
	if s.ballot.Less(m.Promised) {
		// It promised more meanwhile and would decline that Accept. The value is
		// agreed on once more, by a ballot above all promises.
		sent[m.Store] = now
		p.high = max(p.high, m.Promised.Count)
		p.again[m.Key] = true
		return
	}
	ro := p.voterSet()
	for _, v := range ro.All() {
		if v.ID == m.Store && m.VoterSet == ro.Number {
			sent[m.Store] = now
			// A round's number of its own: its vote must count for no other.
			p.count++
			p.out.Send(v.Address, Accept{Key: m.Key, Ballot: s.ballot, VoterSet: ro.Number, Round: p.count, Value: s.value})
		}
	}
}
