package consensus

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Prepare asks an acceptor to promise a ballot for a register. With ReadOnly it asks
// for the accepted value alone and promises nothing.
type Prepare struct {
	Key    ids.RegisterKey
	Ballot ids.Ballot
	// VoterSetNumber is the voter set that the proposer runs the round under.
	VoterSetNumber uint64
	// Round identifies the proposer's round and is repeated by the answer.
	Round    uint64
	ReadOnly bool
	// KnownBallot is the ballot of the value in the proposer's cache, zero for none.
	// An acceptor that holds the value of that ballot leaves it out of its promise.
	KnownBallot ids.Ballot
}

// Promise answers a Prepare. A Promised ballot other than the prepared one rejects it.
type Promise struct {
	Key   ids.RegisterKey
	Store uint64
	Round uint64
	// VoterSetNumber repeats the Prepare's.
	VoterSetNumber uint64
	// Promised is the highest ballot that the acceptor has promised.
	Promised ids.Ballot
	// Accepted is the ballot under which Value was accepted, zero if nothing was.
	Accepted ids.Ballot
	Value    []byte
	// MatchesKnown says that Value is left out, as it is that of the KnownBallot.
	MatchesKnown bool
	// ReadsDeltas says that this store understands AcceptDelta.
	ReadsDeltas bool
}

// Accept asks an acceptor to accept a value, and to promise NextBallot along with it,
// so that the proposer's next change needs no prepare phase (the one-round-trip
// optimization of CASPaxos).
type Accept struct {
	Key        ids.RegisterKey
	Ballot     ids.Ballot
	NextBallot ids.Ballot
	// VoterSetNumber is the voter set that the proposer runs the round under.
	VoterSetNumber uint64
	Round          uint64
	Value          []byte
	// FirstValue restricts the Accept to a register that has promised and accepted
	// nothing. Without a prepare phase, only all voters together choose such a value.
	FirstValue bool
}

// Accepted answers an Accept or an AcceptDelta.
type Accepted struct {
	Key   ids.RegisterKey
	Store uint64
	Round uint64
	// VoterSetNumber repeats the Accept's.
	VoterSetNumber uint64
	// OK says that the value was accepted; without it this is a rejection.
	OK bool
	// Promised is the highest ballot that the acceptor has promised.
	Promised ids.Ballot
	// ReadsDeltas says that this store understands AcceptDelta.
	ReadsDeltas bool
	// NeedsWholeValue says that this store doesn't hold the base of the delta that it
	// was sent, and asks for an Accept in its place.
	NeedsWholeValue bool
}

// AcceptDelta is an Accept that carries its value as the delta from the value
// accepted under BaseBallot. An acceptor that holds that base does exactly as for the
// equivalent Accept; any other changes nothing and answers with NeedsWholeValue.
type AcceptDelta struct {
	Key            ids.RegisterKey
	Ballot         ids.Ballot
	NextBallot     ids.Ballot
	VoterSetNumber uint64
	Round          uint64
	BaseBallot     ids.Ballot
	Delta          []byte
}

// Chosen informs a subscriber of a register's new value. It may be lost.
type Chosen struct {
	Key   ids.RegisterKey
	Value []byte
}

// ChosenDelta is a Chosen that carries the value as the delta from the register's
// value before it.
type ChosenDelta struct {
	Key   ids.RegisterKey
	Delta []byte
}

// VoterSetUpdate brings a voter set to a store that uses an older one.
type VoterSetUpdate struct{ VoterSet VoterSet }

// Hello is how stores with and without a voter set find one another.
type Hello struct {
	Store Voter
	// Blank says that the store knows no voter set, else VoterSetNumber is that of its own.
	Blank          bool
	VoterSetNumber uint64
	// IsReply is set on the answer, which must not be answered again.
	IsReply bool
	// HasCopied says that the store is no voter, but has copied once what a quorum of
	// the voters holds.
	HasCopied bool
}

// ConfigurationQuery asks a proxy for the configuration that it holds.
type ConfigurationQuery struct{}

// ConfigurationReply answers a ConfigurationQuery.
type ConfigurationReply struct {
	Revision      ids.Revision
	Configuration []byte
}

// Request asks any store to read or change a register.
type Request struct {
	// ID identifies the call at the client that sent it.
	ID  uint64
	Key ids.RegisterKey
	Op  Op
	// Arg is the argument of the change function.
	Arg []byte
	// TimeoutMillis is how long the client will wait for the answer, in milliseconds.
	TimeoutMillis uint32
	// Attempt counts the times that the request was sent, from 1 on. A Response answers
	// its attempt alone.
	Attempt uint32
	// HaveChecksum is the Checksum of the value that the client holds, 0 for none. A
	// read that finds the same value leaves it out of the Response.
	HaveChecksum uint64
}

// Response answers a Request.
type Response struct {
	// ID and Attempt repeat the Request's.
	ID      uint64
	Outcome Outcome
	// Result is what the change function returned, or the value that was read.
	Result  []byte
	Attempt uint32
	// Unchanged says that Result is left out, as the client holds that value.
	Unchanged bool
}

// Op identifies a change function. The numbers go over the wire. 1 and up belong to package
// configuration, 10 to package election, 20 and up to package idempotency, 200 and up to
// the voter set's register.
type Op uint8

// Read leaves the register as it is and returns its value.
const Read Op = 0

// Outcome is how a Request ended.
type Outcome uint8

const (
	// Succeeded means that the change is chosen, or that the value was read.
	Succeeded Outcome = iota + 1
	// Rejected means that the request surely has no effect, now or later.
	Rejected
	// Indeterminate means that the request may have taken effect, or still may.
	Indeterminate
)

// String returns the outcome's name for people to read. The words are older than the
// names of the constants.
func (o Outcome) String() string {
	return [...]string{"none", "done", "declined", "uncertain"}[min(o, 3)]
}

var _ = wire.Register(20, Prepare{}) && wire.Register(21, Promise{}) &&
	wire.Register(22, Accept{}) && wire.Register(23, Accepted{}) &&
	wire.Register(24, VoterSetUpdate{}) && wire.Register(25, Request{}) &&
	wire.Register(26, Response{}) && wire.Register(29, Hello{}) &&
	wire.RegisterNamed(31, "consensus.PolicyQuery", ConfigurationQuery{}) && wire.RegisterNamed(32, "consensus.PolicyReply", ConfigurationReply{}) &&
	wire.Register(33, Chosen{}) && wire.RegisterNamed(34, "consensus.AcceptDifference", AcceptDelta{}) &&
	wire.RegisterNamed(35, "consensus.ChosenDifference", ChosenDelta{})
