package consensus

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// Backoff after a failed round.
const (
	// minBackoff is the minimum backoff.
	minBackoff = 5 * time.Millisecond
	// initialBackoff is the span of the first random backoff, without the part that
	// depends on the round trip.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff bounds the span of the random backoff.
	maxBackoff = time.Second
	// maxBackoffDoublings bounds how often the span is doubled.
	maxBackoffDoublings = 5
)

// Retransmission of large messages. With a fixed timeout, a message with a longer transfer
// time would be resent before it arrives, and the copies would fill the send queue.
const (
	// minTransferRate is the slowest transfer rate that timeouts allow for, in bytes per
	// second.
	minTransferRate = 1 << 20
	// largeValueSize is the size in bytes from which timeouts include the transfer time,
	// and from which a round's timeout doubles with each resend.
	largeValueSize = 64 << 10
	// assumedTransferRate is the transfer rate assumed for a round's first timeout, in
	// bytes per second.
	assumedTransferRate = 8 * minTransferRate
	// maxResendDoublings bounds how often a round's timeout is doubled.
	maxResendDoublings = 4
)

// retryAfterBackoff aborts a round and schedules another, with a ballot above seen, after a
// backoff.
func (p *Proposer) retryAfterBackoff(now ids.Time, r *round, seen ids.Ballot) {
	r.minCounter = max(r.minCounter, seen.Counter)
	r.phase, r.retryAt = idle, now.Add(p.backoffDelay(now, r, seen))
	delete(p.promisedBallots, r.key)
}

// backoffDelay returns how long to wait before retrying a round. If another proposer's higher
// ballot preempted the round, that proposer needs two round trips to finish its own; retrying
// sooner would preempt it, and neither would make progress. The delay is therefore random
// within a span that includes the observed round trip and doubles with each consecutive loss.
// If no other ballot was seen, the delay is short.
func (p *Proposer) backoffDelay(now ids.Time, r *round, seen ids.Ballot) time.Duration {
	if seen == r.ballot {
		return minBackoff + time.Duration(p.random.Int64N(int64(initialBackoff)))
	}
	roundTrip := now.Sub(r.startedAt)
	span := min((initialBackoff+2*roundTrip)<<min(r.consecutiveLosses, maxBackoffDoublings), maxBackoff)
	r.consecutiveLosses++
	return minBackoff + time.Duration(p.random.Int64N(int64(span)))
}

// resendDelay returns how long a round waits for responses before it resends its messages.
// Promises carry the register's value, whose size is only known if it is cached.
func (p *Proposer) resendDelay(r *round) time.Duration {
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

// TransferTime returns how long the transfer of a message of the given size takes at
// minTransferRate, 0 for a small message.
func TransferTime(bytes int) time.Duration {
	if bytes < largeValueSize {
		return 0
	}
	return time.Duration(bytes) * time.Second / minTransferRate
}
