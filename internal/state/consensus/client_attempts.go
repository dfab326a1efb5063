package consensus

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// attemptTimeout is how long an attempt is waited for before the next one is made.
	attemptTimeout = 400 * time.Millisecond
	// maxResponseTimeout bounds responseTimeout for stores that have been slow.
	maxResponseTimeout = 1200 * time.Millisecond
	// silentPenalty is how long a store that left an attempt unanswered is asked after
	// the others. Otherwise, while it is cut off, each call that begins with it loses
	// an attemptTimeout.
	silentPenalty = 10 * time.Second
	// responseTimeSmoothing is the divisor of the moving average of response times: the
	// newest counts for a quarter.
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

// responseTimeout returns how long a store may leave an attempt unanswered before it
// counts as silent: twice its mean response time, as it may be far away.
func (c *Client) responseTimeout(store ids.Address) time.Duration {
	return min(max(attemptTimeout, 2*c.meanResponseTime[store]), maxResponseTimeout)
}

// attemptOrder returns the stores to ask, with those that were silent last.
func (c *Client) attemptOrder(now ids.Time, key ids.RegisterKey) []ids.Address {
	var answering, silent []ids.Address
	for _, store := range c.StoreOrder(key) {
		if until, ok := c.silentUntil[store]; ok && now < until {
			silent = append(silent, store)
		} else {
			answering = append(answering, store)
		}
	}
	return append(answering, silent...)
}

// markSilentStores marks the stores that left attempts of a call unanswered for longer
// than their responseTimeout.
func (c *Client) markSilentStores(now ids.Time, call *pendingCall) {
	for number, sent := range call.attempts {
		if call.unresolved[number] && now.Sub(sent.sentAt) >= c.responseTimeout(sent.store) {
			c.silentUntil[sent.store] = now.Add(silentPenalty)
		}
	}
}

// HadSilentStore reports whether some store was silent of late: until twice the
// silentPenalty after it was marked, unless it has answered since.
func (c *Client) HadSilentStore(now ids.Time) bool {
	for _, until := range c.silentUntil {
		if now < until.Add(silentPenalty) {
			return true
		}
	}
	return false
}

// leastTriedStore returns the first of the stores that this call was sent to least often.
func (c *pendingCall) leastTriedStore(stores []ids.Address) ids.Address {
	attempts := map[ids.Address]int{}
	for _, sent := range c.attempts {
		attempts[sent.store]++
	}
	return slices.MinFunc(stores, func(a, b ids.Address) int { return cmp.Compare(attempts[a], attempts[b]) })
}
