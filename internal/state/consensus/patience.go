package consensus

import "time"

const (
	// minTransferRate is the slowest transfer, in bytes a second, that a sender waits
	// for before it sends a large message again. Sent again after a fixed time, a
	// message that takes longer than that to arrive would queue up behind itself.
	minTransferRate = 1 << 20
	// largeValueSize is the size from which a message's travel counts at all, and a
	// round's waits grow as it is sent again.
	largeValueSize = 64 << 10
	// assumedTransferRate is the transfer rate that a proposer counts on at first; its
	// waits grow where that was too much.
	assumedTransferRate = 8 * minTransferRate
	// maxResendDoublings bounds that growth, in doublings.
	maxResendDoublings = 4
)

// TransferTime is how long a large message of so many bytes may take to arrive.
func TransferTime(bytes int) time.Duration {
	if bytes < largeValueSize {
		return 0
	}
	return time.Duration(bytes) * time.Second / minTransferRate
}

// retryTimeout is how long a round waits before it sends its question again.
// Answers to a Prepare carry the register's value, whose size is not known
// before it is at hand.
func (p *Proposer) retryTimeout(r *round) time.Duration {
	size := len(r.value)
	if r.phase == preparing {
		size = len(p.cachedValues[r.key].value)
	}
	if size < largeValueSize {
		return resendTimeout
	}
	travel := TransferTime(size) * minTransferRate / assumedTransferRate
	return (resendTimeout + travel) << min(r.resendCount, maxResendDoublings)
}
