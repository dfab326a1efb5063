package consensus

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Clock resends, gives up on asks whose time is over, and ends graces.
func (p *Proposer) Tick(now ids.Time) {
	for _, k := range slices.Sorted(maps.Keys(p.rounds)) {
		r := p.rounds[k]
		r.queued = p.expireRequests(now, r.queued)
		if r.phase != replicating {
			r.batch = p.expireRequests(now, r.batch)
		}
		switch {
		case r.phase == replicating && now.Sub(r.startedAt) >= replicationGrace:
			p.recordMissedVotes(p.voterSet().AllVoters(), r.votes)
			p.finishRound(now, r)
		case r.phase == idle && now >= r.retryAt:
			p.beginRound(now, r)
		case r.phase != idle && len(r.batch) == 0 && len(r.queued) == 0:
			delete(p.rounds, k)
		case r.firstValue && r.phase == accepting && now.Sub(r.startedAt) >= resendTimeout/2:
			// Not every store answers: a full round settles it, and the change
			// knows itself where some of them have it already.
			p.retryAfterBackoff(now, r, r.ballot)
		case r.phase == reading && now.Sub(r.startedAt) >= resendTimeout:
			// Copies differ or are silent: a full round settles it.
			r.minCounter++
			p.beginRound(now, r)
		case r.phase != idle && now >= r.resendAt:
			r.resendCount++
			p.sendPhaseRequests(now, r)
		}
	}
}
