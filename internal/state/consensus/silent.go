package consensus

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// silentPenalty is how long a store that left a try unanswered is tried after the
// others: while it is cut off, each call that began with it would lose a try's
// whole span.
const silentPenalty = 10 * time.Second

const (
	// attemptTimeout is how long a try of a call is waited for before the next one.
	attemptTimeout = 400 * time.Millisecond
	// maxResponseTimeout bounds how long a store may take that has been slow to answer.
	maxResponseTimeout = 1200 * time.Millisecond
	// responseTimeWeight is the weight of the past in the mean of a store's answers.
	responseTimeWeight = 4
)

// recordResponseTime takes into account how long a store took to answer.
func (c *Client) recordResponseTime(store ids.Address, responseTime time.Duration) {
	mean, known := c.meanResponseTime[store]
	if !known {
		mean = responseTime
	}
	c.meanResponseTime[store] = mean + (responseTime-mean)/responseTimeWeight
}

// responseTimeout is how long a store may leave a try unanswered before it counts as
// silent: twice as long as it took of late, as it may be far from the others.
func (c *Client) responseTimeout(store ids.Address) time.Duration {
	return min(max(attemptTimeout, 2*c.meanResponseTime[store]), maxResponseTimeout)
}

// attemptOrder gives the stores to try, those that were silent of late last.
func (c *Client) attemptOrder(now ids.Time, key ids.RegisterKey) []ids.Address {
	var answering, silent []ids.Address
	for _, at := range c.StoreOrder(key) {
		if until, ok := c.silentUntil[at]; ok && now < until {
			silent = append(silent, at)
		} else {
			answering = append(answering, at)
		}
	}
	return append(answering, silent...)
}

// markSilentStores notes which of a call's tries were left unanswered for longer than
// their stores take. One that is far away answers late, and isn't silent.
func (c *Client) markSilentStores(now ids.Time, call *pendingCall) {
	for try, sent := range call.attempts {
		if call.unresolved[try] && now.Sub(sent.sentAt) >= c.responseTimeout(sent.store) {
			c.silentUntil[sent.store] = now.Add(silentPenalty)
		}
	}
}

// HadSilentStore tells whether a store was silent of late.
func (c *Client) HadSilentStore(now ids.Time) bool {
	for _, until := range c.silentUntil {
		if now < until.Add(silentPenalty) {
			return true
		}
	}
	return false
}

// leastTriedStore gives the first of the stores that this call was sent to least often.
func (c *pendingCall) leastTriedStore(stores []ids.Address) ids.Address {
	tries := map[ids.Address]int{}
	for _, sent := range c.attempts {
		tries[sent.store]++
	}
	return slices.MinFunc(stores, func(a, b ids.Address) int { return cmp.Compare(tries[a], tries[b]) })
}
