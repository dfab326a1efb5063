package consensus

import (
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// valueCache holds a proposer's knowledge about registers between rounds.
type valueCache struct {
	// promisedBallots holds the ballots that a quorum promised when it accepted this
	// proposer's last value. They allow the next change to skip the prepare phase.
	promisedBallots map[ids.RegisterKey]promisedBallot
	// promisedOrder lists the keys of promisedBallots, oldest first.
	promisedOrder []ids.RegisterKey
	// cachedValues holds the latest known values of registers other than idempotency keys.
	// These values may be large and are read far more often than changed.
	cachedValues map[ids.RegisterKey]cachedValue
}

// cachedValue is a value and the ballot under which it was accepted.
type cachedValue struct {
	ballot ids.Ballot
	value  []byte
}

// promisedBallot is a ballot that a quorum promised, and the value that the quorum accepted
// at the same time. The ballot's own value must be derived from it.
type promisedBallot struct {
	ballot ids.Ballot
	value  []byte
}

const (
	// maxPromisedBallots bounds the size of promisedBallots. The oldest are dropped first;
	// the next change to their registers needs a prepare phase.
	maxPromisedBallots = 4096
	// maxPromisedValueSize is the maximum size in bytes of an idempotency key's value in
	// promisedBallots. Larger values hold responses to requests and don't change again.
	maxPromisedValueSize = 2048
)

func newValueCache() valueCache {
	return valueCache{
		promisedBallots: map[ids.RegisterKey]promisedBallot{},
		cachedValues:    map[ids.RegisterKey]cachedValue{},
	}
}

// cacheValue caches the value that was accepted under a ballot.
func (c *valueCache) cacheValue(key ids.RegisterKey, ballot ids.Ballot, value []byte) {
	if !isIdempotencyKey(key) && !ballot.IsZero() {
		c.cachedValues[key] = cachedValue{ballot, value}
	}
}

// cachePromisedBallot stores the ballot that was promised along with a round's value.
func (c *valueCache) cachePromisedBallot(r *round) {
	if isIdempotencyKey(r.key) && len(r.value) > maxPromisedValueSize {
		return
	}
	if _, known := c.promisedBallots[r.key]; !known {
		c.promisedOrder = append(c.promisedOrder, r.key)
	}
	c.promisedBallots[r.key] = promisedBallot{r.nextBallot, r.value}
	for len(c.promisedOrder) > maxPromisedBallots {
		delete(c.promisedBallots, c.promisedOrder[0])
		c.promisedOrder = c.promisedOrder[1:]
	}
}

// forgetPromisedBallots drops all promised ballots. Promises by a quorum of one voter set
// aren't valid for the next one.
func (c *valueCache) forgetPromisedBallots() {
	clear(c.promisedBallots)
	c.promisedOrder = nil
}

// Checksum returns the checksum that identifies the value held by a client
// (Request.KnownChecksum). It is never 0, which means no value.
func Checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value) // hash.Hash never returns an error
	return h.Sum64() | 1
}
