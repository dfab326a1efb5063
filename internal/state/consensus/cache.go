package consensus

import (
	"hash/fnv"

	"dunlinwell/internal/base/ids"
)

// Sum sums up a value, so that one who has it needn't be sent it again.
func Checksum(value []byte) uint64 {
	h := fnv.New64a()
	h.Write(value)
	return h.Sum64() | 1
}

// meet notes a value by its ballot. A ballot stands for one value for ever.
func (p *Proposer) cacheValue(key ids.Key, b ids.Ballot, value []byte) {
	if !isIdempotencyKey(key) && !b.Zero() {
		p.cachedValues[key] = cachedValue{b, value}
	}
}
