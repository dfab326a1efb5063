package consensus

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/ids"
)

// silentFor is how long a store that left a try unanswered is tried after the
// others: while it is cut off, each call that began with it would lose a try's
// whole span.
const silentFor = 10 * time.Second

// order gives the stores to try, those that were silent of late last.
func (a *Client) order(now ids.Time, key ids.Key) []ids.Address {
	var answering, silent []ids.Address
	for _, at := range a.Order(key) {
		if until, ok := a.silent[at]; ok && now < until {
			silent = append(silent, at)
		} else {
			answering = append(answering, at)
		}
	}
	return append(answering, silent...)
}

// missed notes that a call's last try was not answered within its span.
func (a *Client) missed(now ids.Time, call *pendingCall) {
	if call.maybe[call.Try] {
		a.silent[call.asked[call.Try]] = now.Add(silentFor)
	}
}

// Strained tells whether a store was silent of late.
func (a *Client) Strained(now ids.Time) bool {
	for _, until := range a.silent {
		if now < until.Add(silentFor) {
			return true
		}
	}
	return false
}

// leastTried gives the first of the stores that this call was sent to least often.
func (w *pendingCall) leastTried(stores []ids.Address) ids.Address {
	tries := map[ids.Address]int{}
	for _, at := range w.asked {
		tries[at]++
	}
	return slices.MinFunc(stores, func(a, b ids.Address) int { return cmp.Compare(tries[a], tries[b]) })
}
