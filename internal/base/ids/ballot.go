package ids

import "fmt"

// Ballot is the ballot number of a round on a register (CASPaxos, Rystsov 2018).
// Ballots are ordered by Counter, then by Proposer.
type Ballot struct {
	// Counter grows with each round that a proposer begins.
	Counter uint64
	// Proposer identifies one run of one proposer, so that a restarted proposer can't
	// use a ballot for two values.
	Proposer uint64
}

// Less reports whether b comes before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Counter != other.Counter {
		return b.Counter < other.Counter
	}
	return b.Proposer < other.Proposer
}

// Max gives the larger of two ballots.
func (b Ballot) Max(other Ballot) Ballot {
	if b.Less(other) {
		return other
	}
	return b
}

// IsZero reports whether the ballot is the zero value, which no round uses.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String gives the ballot as COUNTER.PROPOSER, the proposer in hexadecimal.
func (b Ballot) String() string { return fmt.Sprintf("%d.%x", b.Counter, b.Proposer) }
