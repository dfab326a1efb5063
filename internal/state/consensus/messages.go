// Package ledger keeps registers: each item is a compare-and-set register
// agreed on by a majority of stores, with no log and no leader, in the
// manner of CASPaxos (Rystsov). See docs/design.md for what was kept.
package consensus

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Store is one acceptor of the voter set. Its id is made with its data folder,
// so a blank disk can never vote as the one that was lost.
type Voter struct {
	ID      uint64
	Address ids.Address
}

// VoterSet names the acceptors. While Next is filled, both it and Stores must
// have a majority.
type VoterSet struct {
	Number   uint64
	Voters   []Voter
	Incoming []Voter
	// LossCount counts the times that disks were given up and marks with them.
	LossCount uint64
	// Learners are the ids of voters that have not yet said that their copy is
	// complete. Safety does not rest on it: a voter knows by its own disk whether
	// it may vote. It keeps a change from leaving too few that can.
	Learners []uint64
	// Previous are the voters before the last replacement, while its newcomer's
	// copy may be incomplete: a majority of them holds all that it lacks as well.
	Previous []Voter
}

// Prepare asks for a promise, Peek set only for what was accepted.
type Prepare struct {
	Key            ids.RegisterKey
	Ballot         ids.Ballot
	VoterSetNumber uint64
	Round          uint64
	ReadOnly       bool
	// KnownBallot is the ballot of a value that the proposer has at hand; one who holds
	// that very value needn't send it.
	KnownBallot ids.Ballot
}

// Promise answers Prepare. Promised above the asked ballot is a reject.
type Promise struct {
	Key            ids.RegisterKey
	Store          uint64
	Round          uint64
	VoterSetNumber uint64
	Promised       ids.Ballot
	Accepted       ids.Ballot
	Value          []byte
	// Same: the value is left out, as it is that of the Known ballot.
	MatchesKnown bool
	// ReadsDeltas tells that this store reads AcceptDifference.
	ReadsDeltas bool
}

// Accept asks for a value to be kept, and with it for a promise to Next, so
// that the proposer's next change needs no Prepare of its own.
type Accept struct {
	Key            ids.RegisterKey
	Ballot         ids.Ballot
	NextBallot     ids.Ballot
	VoterSetNumber uint64
	Round          uint64
	Value          []byte
	// First: only where nobody has promised or accepted anything yet. It takes
	// every store to choose such a value, not a majority.
	FirstValue bool
}

// Accepted answers Accept.
type Accepted struct {
	Key            ids.RegisterKey
	Store          uint64
	Round          uint64
	VoterSetNumber uint64
	OK             bool
	Promised       ids.Ballot
	// ReadsDeltas tells that this store reads AcceptDifference, Whole that it
	// doesn't hold the base of one and asks for the value itself.
	ReadsDeltas     bool
	NeedsWholeValue bool
}

// News carries a voter set to one who goes by an older one.
type VoterSetUpdate struct{ VoterSet VoterSet }

// Ask is a request to read or change a register, sent to any store.
type Request struct {
	ID  uint64
	Key ids.RegisterKey
	Op  Op
	Arg []byte
	// TimeoutMillis is how long the client will wait, in milliseconds.
	TimeoutMillis uint32
	// Attempt counts the times it was sent; an answer speaks for that one alone.
	Attempt uint32
	// Have sums up the value that the client holds; a read that finds the same
	// says so and leaves it out. 0 for none.
	HaveChecksum uint64
}

// Told answers Ask.
type Response struct {
	ID      uint64
	Outcome Outcome
	Result  []byte
	Attempt uint32
	// Same: Out is left out, as the client has it.
	Unchanged bool
}

// Op names a change function.
type Op uint8

// Read leaves the register as it is and gives its value.
const Read Op = 0

// Outcome says how an Ask ended.
type Outcome uint8

// Done: chosen. Rejected: surely without effect. Uncertain: may yet take
// effect. The three are never mixed.
const (
	Succeeded Outcome = iota + 1
	Rejected
	Indeterminate
)

// String names the state in logs.
func (o Outcome) String() string {
	return [...]string{"none", "done", "declined", "uncertain"}[min(o, 3)]
}

// Page asks a member for its records after a key, for a newcomer's copy.
type PageRequest struct {
	VoterSetNumber uint64
	AfterKey       ids.RegisterKey
	PageNumber     uint64
	// RunID and Since ask only for what changed since an earlier copy: the run
	// that answered then, and its count of changes when that copy began.
	RunID       uint64
	SinceChange uint64
}

// Leaf is one record in a page.
type PageRecord struct {
	Key      ids.RegisterKey
	Accepted ids.Ballot
	Value    []byte
}

// Leaves answers Page.
type PageResponse struct {
	Store          uint64
	VoterSetNumber uint64
	PageNumber     uint64
	Records        []PageRecord
	Last           bool
	// RunID names the run that answers, Changes its count of changes up to which
	// the records go: for a whole copy that of its first page, for one of changes
	// that of this page. Delta tells that these are changes alone.
	RunID       uint64
	ChangeCount uint64
	Delta       bool
}

// Hello is how blank and founded stores learn of one another.
type Hello struct {
	Store          Voter
	Blank          bool
	VoterSetNumber uint64
	// IsReply is set on the answer, which must not be answered again.
	IsReply bool
	// Copied: it has no vote, but has copied once what a majority of the voters hold.
	HasCopied bool
}

// Found hands the first voter set to a blank member.
type Bootstrap struct {
	VoterSet      VoterSet
	Configuration []byte
	// Round is the founding that the voter set comes from.
	Round uint64
}

// WhoHolds asks a proxy for the configuration it holds; Held answers.
type ConfigurationQuery struct{}

// Held is a proxy's copy of the configuration.
type ConfigurationReply struct {
	Revision      ids.Revision
	Configuration []byte
}

// Chosen tells registries of a register's new value.
type Chosen struct {
	Key   ids.RegisterKey
	Value []byte
}

var _ = wire.Register(20, Prepare{}) && wire.Register(21, Promise{}) &&
	wire.Register(22, Accept{}) && wire.Register(23, Accepted{}) &&
	wire.Register(24, VoterSetUpdate{}) && wire.Register(25, Request{}) &&
	wire.Register(26, Response{}) && wire.Register(27, PageRequest{}) &&
	wire.Register(28, PageResponse{}) && wire.Register(29, Hello{}) &&
	wire.Register(30, Bootstrap{}) && wire.Register(31, ConfigurationQuery{}) &&
	wire.Register(32, ConfigurationReply{}) && wire.Register(33, Chosen{})

// IsQuorum tells whether the stores that said yes suffice under the voter set.
func (s VoterSet) IsQuorum(yes map[uint64]bool) bool {
	half := func(list []Voter) bool {
		n := 0
		for _, s := range list {
			if yes[s.ID] {
				n++
			}
		}
		return n*2 > len(list)
	}
	return len(s.Voters) > 0 && half(s.Voters) && (len(s.Incoming) == 0 || half(s.Incoming))
}

// HasVoter tells whether a store votes under the voter set.
func (s VoterSet) HasVoter(id uint64) bool {
	for _, s := range s.AllVoters() {
		if s.ID == id {
			return true
		}
	}
	return false
}

// AllVoters gives each store once.
func (s VoterSet) AllVoters() []Voter {
	seen := map[uint64]bool{}
	var out []Voter
	for _, s := range append(append([]Voter{}, s.Voters...), s.Incoming...) {
		if !seen[s.ID] {
			seen[s.ID] = true
			out = append(out, s)
		}
	}
	return out
}
