package consensus

import "time"

const (
	// leastRate is the slowest transfer, in bytes a second, that a sender waits
	// for before it sends a large message again. Sent again after a fixed time, a
	// message that takes longer than that to arrive would queue up behind itself.
	leastRate = 1 << 20
	// largeValue is the size from which a message's travel counts at all, and a
	// round's waits grow as it is sent again.
	largeValue = 64 << 10
	// resendRate is the transfer rate that a proposer counts on at first; its
	// waits grow where that was too much.
	resendRate = 8 * leastRate
	// mostBackoff bounds that growth, in doublings.
	mostBackoff = 4
)

// TransferTime is how long a large message of so many bytes may take to arrive.
func TransferTime(bytes int) time.Duration {
	if bytes < largeValue {
		return 0
	}
	return time.Duration(bytes) * time.Second / leastRate
}

// patience is how long a round waits before it sends its question again.
// Answers to a Prepare carry the register's value, whose size is not known
// before it is at hand.
func (p *Proposer) patience(r *round) time.Duration {
	size := len(r.value)
	if r.phase == preparing {
		size = len(p.cachedValues[r.key].value)
	}
	if size < largeValue {
		return resendAfter
	}
	travel := TransferTime(size) * leastRate / resendRate
	return (resendAfter + travel) << min(r.resent, mostBackoff)
}
