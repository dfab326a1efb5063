package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// leastRest is how long a proposer rests at least after a round that it lost.
	leastRest = 5 * time.Millisecond
	// firstRest bounds its first rest where stores stand close together.
	firstRest = 20 * time.Millisecond
	// mostRest bounds every rest.
	mostRest = time.Second
	// mostLosses bounds the doublings of the rest.
	mostLosses = 5
)

// retreat gives a round up to a higher ballot and tries again after a rest.
func (p *Proposer) retreat(now ids.Time, r *round, seen ids.Ballot) {
	r.floor = max(r.floor, seen.Count)
	r.phase, r.retryAt = idle, now.Add(p.rest(now, r, seen))
	delete(p.promisedBallots, r.key)
}

// rest draws how long to leave a register alone after a round that was lost to
// another proposer's ballot. The winner needs two round trips to the stores to
// end its own; a loser that comes back sooner takes its ballot away in turn, and
// neither ever ends. So the rest is drawn from a span that holds some of the
// round trips that were met, and doubles with each further loss. A round that
// nobody else's ballot ended rests for a moment only.
func (p *Proposer) rest(now ids.Time, r *round, seen ids.Ballot) time.Duration {
	if seen == r.ballot {
		return leastRest + time.Duration(p.random.Int64N(int64(firstRest)))
	}
	roundTrip := now.Since(r.began)
	span := min((firstRest+2*roundTrip)<<min(r.losses, mostLosses), mostRest)
	r.losses++
	return leastRest + time.Duration(p.random.Int64N(int64(span)))
}
