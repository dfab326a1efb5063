package consensus

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// attemptTimeout is the delay before the next attempt if a store doesn't respond.
	attemptTimeout = 400 * time.Millisecond
	// maxResponseTimeout bounds responseTimeout for slow stores.
	maxResponseTimeout = 1200 * time.Millisecond
	// unresponsivePenalty is how long a store that didn't respond to an attempt is tried
	// after the others. Otherwise each call that starts with an unreachable store would
	// lose an attemptTimeout.
	unresponsivePenalty = 10 * time.Second
	// responseTimeSmoothing is the divisor of the exponential moving average of response
	// times.
	responseTimeSmoothing = 4
)

// recordResponseTime adds a response time to a store's moving average.
func (c *Client) recordResponseTime(store ids.Address, responseTime time.Duration) {
	mean, known := c.meanResponseTime[store]
	if !known {
		mean = responseTime
	}
	c.meanResponseTime[store] = mean + (responseTime-mean)/responseTimeSmoothing
}

// responseTimeout returns how long a store may take to respond before it is considered
// unresponsive: twice its mean response time, to allow for distant stores.
func (c *Client) responseTimeout(store ids.Address) time.Duration {
	return min(max(attemptTimeout, 2*c.meanResponseTime[store]), maxResponseTimeout)
}

// attemptOrder returns the stores to try, with unresponsive ones last.
func (c *Client) attemptOrder(now ids.Time, key ids.RegisterKey) []ids.Address {
	var responsive, unresponsive []ids.Address
	for _, store := range c.StoreOrder(key) {
		if until, ok := c.unresponsiveUntil[store]; ok && now < until {
			unresponsive = append(unresponsive, store)
		} else {
			responsive = append(responsive, store)
		}
	}
	return append(responsive, unresponsive...)
}

// markUnresponsiveStores marks the stores that didn't respond to an attempt of a call within
// their responseTimeout.
func (c *Client) markUnresponsiveStores(now ids.Time, call *pendingCall) {
	for number, sent := range call.attempts {
		if call.unresolved[number] && now.Sub(sent.sentAt) >= c.responseTimeout(sent.store) {
			c.unresponsiveUntil[sent.store] = now.Add(unresponsivePenalty)
		}
	}
}

// HadUnresponsiveStore reports whether a store was marked as unresponsive within the last two
// unresponsivePenalty periods and hasn't responded since.
func (c *Client) HadUnresponsiveStore(now ids.Time) bool {
	for _, until := range c.unresponsiveUntil {
		if now < until.Add(unresponsivePenalty) {
			return true
		}
	}
	return false
}

// leastTriedStore returns the first store among those with the fewest attempts of this call.
func (c *pendingCall) leastTriedStore(stores []ids.Address) ids.Address {
	attempts := map[ids.Address]int{}
	for _, sent := range c.attempts {
		attempts[sent.store]++
	}
	return slices.MinFunc(stores, func(a, b ids.Address) int { return cmp.Compare(attempts[a], attempts[b]) })
}
