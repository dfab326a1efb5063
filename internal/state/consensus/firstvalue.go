package consensus

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// maxFirstValueCounter is below every ballot of a full round, so a register's first
// value never outranks what was agreed on later.
const maxFirstValueCounter = 1 << 40

// mayProposeFirstValue tells whether to try a value with no promise: a mark that this
// proposer knows nothing of, once, and with every store of a settled voter set up.
func (p *Proposer) mayProposeFirstValue(r *round) bool {
	ro := p.voterSet()
	if !isIdempotencyKey(r.key) || r.firstValueTried || r.minCounter > 0 || len(ro.Incoming) > 0 {
		return false
	}
	for _, s := range ro.Voters {
		if !p.IsReachable(s.ID) {
			return false
		}
	}
	r.firstValueTried = true
	return true
}

// votedByAll tells whether every store has taken the round's value.
func (p *Proposer) votedByAll(r *round) bool {
	for _, s := range p.voterSet().AllVoters() {
		if !r.votes[s.ID] {
			return false
		}
	}
	return true
}

// RestartRounds runs every round anew, as a new voter set asks.
func (p *Proposer) RestartRounds(now ids.Time) {
	clear(p.promisedBallots)
	p.promisedOrder = nil
	for _, k := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[k]
		if r.phase != idle {
			r.minCounter = max(r.minCounter, r.ballot.Counter)
			r.phase, r.retryAt = idle, now
		}
	}
}
