package consensus

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// silentFor is how long a store that left a try unanswered is tried after the
// others: while it is cut off, each call that began with it would lose a try's
// whole span.
const silentFor = 10 * time.Second

const (
	// tryFor is how long a try of a call is waited for before the next one.
	tryFor = 400 * time.Millisecond
	// longestTry bounds how long a store may take that has been slow to answer.
	longestTry = 1200 * time.Millisecond
	// tookWeight is the weight of the past in the mean of a store's answers.
	tookWeight = 4
)

// note takes into account how long a store took to answer.
func (a *Client) note(store ids.Address, took time.Duration) {
	mean, known := a.took[store]
	if !known {
		mean = took
	}
	a.took[store] = mean + (took-mean)/tookWeight
}

// patience is how long a store may leave a try unanswered before it counts as
// silent: twice as long as it took of late, as it may be far from the others.
func (a *Client) patience(store ids.Address) time.Duration {
	return min(max(tryFor, 2*a.took[store]), longestTry)
}

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

// missed notes which of a call's tries were left unanswered for longer than
// their stores take. One that is far away answers late, and isn't silent.
func (a *Client) missed(now ids.Time, call *pendingCall) {
	for try, sent := range call.asked {
		if call.maybe[try] && now.Since(sent.at) >= a.patience(sent.to) {
			a.silent[sent.to] = now.Add(silentFor)
		}
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
	for _, sent := range w.asked {
		tries[sent.to]++
	}
	return slices.MinFunc(stores, func(a, b ids.Address) int { return cmp.Compare(tries[a], tries[b]) })
}
