package ids

import "fmt"

// Ballot is the ballot number of a CASPaxos round on a register (Rystsov 2018). Ballots
// are ordered by Counter, then by Proposer.
type Ballot struct {
	// Counter increases with each round that a proposer starts.
	Counter uint64
	// Proposer identifies one run of one proposer, so that a restarted proposer can't
	// reuse a ballot for a different value.
	Proposer uint64
}

// Less reports whether b is less than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// Max returns the larger of two ballots.
func (b Ballot) Max(other Ballot) Ballot {
	if b.Less(other) {
		return other
	}
	return b
}

// IsZero reports whether b is the zero value, which no round uses.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String returns the ballot as COUNTER.PROPOSER, the proposer in hexadecimal.
func (b Ballot) String() string { return fmt.Sprintf("%d.%x", b.Counter, b.Proposer) }
