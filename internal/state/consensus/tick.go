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
		r.queued = p.expire(now, r.queued)
		if r.phase != replicating {
			r.batch = p.expire(now, r.batch)
		}
		switch {
		case r.phase == replicating && now.Since(r.began) >= grace:
			p.missed(p.voterSet().All(), r.votes)
			p.finish(now, r)
		case r.phase == idle && now >= r.retryAt:
			p.begin(now, r)
		case r.phase != idle && len(r.batch) == 0 && len(r.queued) == 0:
			delete(p.rounds, k)
		case r.first && r.phase == accepting && now.Since(r.began) >= resendAfter/2:
			// Not every store answers: a full round settles it, and the change
			// knows itself where some of them have it already.
			p.retreat(now, r, r.ballot)
		case r.phase == reading && now.Since(r.began) >= resendAfter:
			// Copies differ or are silent: a full round settles it.
			r.floor++
			p.begin(now, r)
		case r.phase != idle && now >= r.resendAt:
			r.resent++
			p.send(now, r)
		}
	}
}
