package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Backoff after a round that was lost.
const (
	// minBackoff is the least time that a proposer leaves a register alone.
	minBackoff = 5 * time.Millisecond
	// initialBackoff bounds the first backoff where stores are close to one another.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff bounds every backoff.
	maxBackoff = time.Second
	// maxBackoffDoublings bounds the exponent of the backoff.
	maxBackoffDoublings = 5
)

// Retransmission of large messages. Repeated after a fixed time, a message that takes
// longer than that to arrive would queue up behind itself.
const (
	// minTransferRate is the slowest transfer, in bytes a second, that is waited for.
	minTransferRate = 1 << 20
	// largeValueSize is the size in bytes from which the time of transfer counts, and
	// from which a round's time-outs grow with each repetition.
	largeValueSize = 64 << 10
	// assumedTransferRate is the rate, in bytes a second, that a proposer expects at
	// first. Its time-outs grow where that was too much.
	assumedTransferRate = 8 * minTransferRate
	// maxResendDoublings bounds that growth.
	maxResendDoublings = 4
)

// retryAfterBackoff gives up a round for a higher ballot and begins anew after a backoff.
func (p *Proposer) retryAfterBackoff(now ids.Time, r *round, seen ids.Ballot) {
	r.minCounter = max(r.minCounter, seen.Counter)
	r.phase, r.retryAt = idle, now.Add(p.backoffDelay(now, r, seen))
	delete(p.promisedBallots, r.key)
}

// backoffDelay returns how long to leave a register alone after a lost round. The winner
// needs two round trips to finish its own round; a loser that returns sooner pre-empts it
// in turn, and neither ever ends. So the delay is random within a span that covers some
// of the observed round trips, and the span doubles with each further loss. After a round
// that no other proposer's ballot ended, the delay is short.
func (p *Proposer) backoffDelay(now ids.Time, r *round, seen ids.Ballot) time.Duration {
	if seen == r.ballot {
		return minBackoff + time.Duration(p.random.Int64N(int64(initialBackoff)))
	}
	roundTrip := now.Sub(r.startedAt)
	span := min((initialBackoff+2*roundTrip)<<min(r.consecutiveLosses, maxBackoffDoublings), maxBackoff)
	r.consecutiveLosses++
	return minBackoff + time.Duration(p.random.Int64N(int64(span)))
}

// retryTimeout returns how long a round waits for answers before it repeats its messages.
// The promises that answer a Prepare carry the register's value, whose size is known only
// if it is cached.
func (p *Proposer) retryTimeout(r *round) time.Duration {
	size := len(r.value)
	if r.phase == preparing {
		size = len(p.cachedValues[r.key].value)
	}
	if size < largeValueSize {
		return resendTimeout
	}
	transfer := TransferTime(size) * minTransferRate / assumedTransferRate
	return (resendTimeout + transfer) << min(r.resendCount, maxResendDoublings)
}

// TransferTime returns how long a message of so many bytes may take to arrive at the
// slowest rate that is waited for; nothing for a small one.
func TransferTime(bytes int) time.Duration {
	if bytes < largeValueSize {
		return 0
	}
	return time.Duration(bytes) * time.Second / minTransferRate
}
