package ledger

import (
	"hash/fnv"

	"dunlinwell/internal/ticket"
)

// Sum sums up a value, so that one who has it needn't be sent it again.
func Sum(value []byte) uint64 {
	h := fnv.New64a()
	h.Write(value)
	return h.Sum64() | 1
}

// meet notes a value by its ballot. A ballot stands for one value for ever.
func (p *Proposer) meet(key ticket.Key, b ticket.Ballot, value []byte) {
	if !isMark(key) && !b.Zero() {
		p.seen[key] = held{b, value}
	}
}
