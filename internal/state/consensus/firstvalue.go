package consensus

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// firstBallots is below every ballot of a full round, so a register's first
// value never outranks what was agreed on later.
const firstBallots = 1 << 40

// mayBeFirst tells whether to try a value with no promise: a mark that this
// proposer knows nothing of, once, and with every store of a settled voter set up.
func (p *Proposer) mayBeFirst(r *round) bool {
	ro := p.voterSet()
	if !isIdempotencyKey(r.key) || r.tried || r.floor > 0 || len(ro.Incoming) > 0 {
		return false
	}
	for _, s := range ro.Voters {
		if !p.IsReachable(s.ID) {
			return false
		}
	}
	r.tried = true
	return true
}

// all tells whether every store has taken the round's value.
func (p *Proposer) all(r *round) bool {
	for _, s := range p.voterSet().All() {
		if !r.votes[s.ID] {
			return false
		}
	}
	return true
}

// Restart runs every round anew, as a new voter set asks.
func (p *Proposer) Restart(now ids.Time) {
	clear(p.promisedBallots)
	p.order = nil
	for _, k := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[k]
		if r.phase != idle {
			r.floor = max(r.floor, r.ballot.Count)
			r.phase, r.retryAt = idle, now
		}
	}
}
