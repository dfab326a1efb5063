package consensus

import (
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// valueCache is what a proposer remembers of registers between rounds.
type valueCache struct {
	// promisedBallots are the ballots that a quorum promised when it accepted this
	// proposer's last value: the next change may begin with the accept phase.
	promisedBallots map[ids.RegisterKey]promisedBallot
	// promisedOrder lists the keys of promisedBallots, oldest first.
	promisedOrder []ids.RegisterKey
	// cachedValues are the latest values met of registers other than idempotency keys,
	// which are large and read far more often than changed.
	cachedValues map[ids.RegisterKey]cachedValue
}

// cachedValue is a value and the ballot under which it was accepted.
type cachedValue struct {
	ballot ids.Ballot
	value  []byte
}

// promisedBallot is a ballot that a quorum promised, and the value that this quorum
// accepted along with it: what the ballot's own value has to follow from.
type promisedBallot struct {
	ballot ids.Ballot
	value  []byte
}

const (
	// maxPromisedBallots bounds the memory for promisedBallots, the oldest of which are
	// dropped. A change to a dropped register only needs a prepare phase again.
	maxPromisedBallots = 4096
	// maxPromisedValueSize is the size in bytes up to which the value of an idempotency
	// key is cached. Larger ones are the outcomes of requests, which don't change again.
	maxPromisedValueSize = 2048
)

func newValueCache() valueCache {
	return valueCache{
		promisedBallots: map[ids.RegisterKey]promisedBallot{},
		cachedValues:    map[ids.RegisterKey]cachedValue{},
	}
}

// cacheValue caches the value of a ballot. A ballot stands for one value for ever.
func (c *valueCache) cacheValue(key ids.RegisterKey, ballot ids.Ballot, value []byte) {
	if !isIdempotencyKey(key) && !ballot.IsZero() {
		c.cachedValues[key] = cachedValue{ballot, value}
	}
}

// cachePromisedBallot keeps the ballot that was promised along with a round's value.
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

// forgetPromisedBallots drops all promised ballots, as those of an earlier voter set say
// nothing about a quorum of the next one.
func (c *valueCache) forgetPromisedBallots() {
	clear(c.promisedBallots)
	c.promisedOrder = nil
}

// Checksum returns the checksum by which a client says which value it holds
// (Request.HaveChecksum). It is never 0, which stands for no value.
func Checksum(value []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(value) // a hash never fails
	return h.Sum64() | 1
}
