package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// minBackoff is how long a proposer rests at least after a round that it lost.
	minBackoff = 5 * time.Millisecond
	// initialBackoff bounds its first rest where stores stand close together.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff bounds every rest.
	maxBackoff = time.Second
	// maxBackoffDoublings bounds the doublings of the rest.
	maxBackoffDoublings = 5
)

// retryAfterBackoff gives a round up to a higher ballot and tries again after a rest.
func (p *Proposer) retryAfterBackoff(now ids.Time, r *round, seen ids.Ballot) {
	r.minCounter = max(r.minCounter, seen.Counter)
	r.phase, r.retryAt = idle, now.Add(p.backoffDelay(now, r, seen))
	delete(p.promisedBallots, r.key)
}

// backoffDelay draws how long to leave a register alone after a round that was lost to
// another proposer's ballot. The winner needs two round trips to the stores to
// end its own; a loser that comes back sooner takes its ballot away in turn, and
// neither ever ends. So the rest is drawn from a span that holds some of the
// round trips that were met, and doubles with each further loss. A round that
// nobody else's ballot ended rests for a moment only.
func (p *Proposer) backoffDelay(now ids.Time, r *round, seen ids.Ballot) time.Duration {
	if seen == r.ballot {
		return minBackoff + time.Duration(p.random.Int64N(int64(initialBackoff)))
	}
	roundTrip := now.Sub(r.startedAt)
	span := min((initialBackoff+2*roundTrip)<<min(r.consecutiveLosses, maxBackoffDoublings), maxBackoff)
	r.consecutiveLosses++
	return minBackoff + time.Duration(p.random.Int64N(int64(span)))
}
