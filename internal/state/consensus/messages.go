package consensus

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Prepare asks an acceptor to promise a ballot for a register. If ReadOnly is set, it only
// asks for the accepted value and requires no promise.
type Prepare struct {
	Key    ids.RegisterKey
	Ballot ids.Ballot
	// VoterSetNumber is the number of the voter set used for the round.
	VoterSetNumber uint64
	// Round identifies the proposer's round and is echoed in the response.
	Round    uint64
	ReadOnly bool
	// KnownBallot is the ballot of the value in the proposer's cache, zero for none.
	// An acceptor that holds the same value omits it from its promise.
	KnownBallot ids.Ballot
}

// Promise is the response to a Prepare. Unless the Prepare was read-only, a Promised ballot
// that differs from the prepared one means that it was rejected.
type Promise struct {
	Key   ids.RegisterKey
	Store uint64
	Round uint64
	// VoterSetNumber echoes that of the Prepare.
	VoterSetNumber uint64
	// Promised is the highest ballot that the acceptor has promised.
	Promised ids.Ballot
	// Accepted is the ballot under which Value was accepted, zero for none.
	Accepted ids.Ballot
	Value    []byte
	// MatchesKnown is set if Value is omitted because it was accepted under KnownBallot.
	MatchesKnown bool
	// SupportsDeltas is set if this store supports AcceptDelta.
	SupportsDeltas bool
}

// Accept asks an acceptor to accept a value and to promise NextBallot, so that the
// proposer's next change needs no prepare phase (the one-round-trip optimization of
// CASPaxos).
type Accept struct {
	Key        ids.RegisterKey
	Ballot     ids.Ballot
	NextBallot ids.Ballot
	// VoterSetNumber is the number of the voter set used for the round.
	VoterSetNumber uint64
	Round          uint64
	Value          []byte
	// FirstValue restricts the Accept to a register without a promised or accepted ballot.
	// Since it skips the prepare phase, the value is chosen only if all voters accept it.
	FirstValue bool
}

// Accepted is the response to an Accept or an AcceptDelta.
type Accepted struct {
	Key   ids.RegisterKey
	Store uint64
	Round uint64
	// VoterSetNumber echoes that of the Accept.
	VoterSetNumber uint64
	// OK reports whether the value was accepted.
	OK bool
	// Promised is the highest ballot that the acceptor has promised.
	Promised ids.Ballot
	// SupportsDeltas is set if this store supports AcceptDelta.
	SupportsDeltas bool
	// NeedsFullValue is set if this store doesn't hold the delta's base and requests an
	// Accept instead.
	NeedsFullValue bool
}

// AcceptDelta is an Accept whose value is encoded as a delta from the value accepted under
// BaseBallot. An acceptor that holds this base handles it like the equivalent Accept; any
// other changes nothing and responds with NeedsFullValue.
type AcceptDelta struct {
	Key            ids.RegisterKey
	Ballot         ids.Ballot
	NextBallot     ids.Ballot
	VoterSetNumber uint64
	Round          uint64
	BaseBallot     ids.Ballot
	Delta          []byte
}

// Chosen notifies a subscriber of a register's new value. Delivery isn't guaranteed.
type Chosen struct {
	Key   ids.RegisterKey
	Value []byte
}

// ChosenDelta is a Chosen whose value is encoded as a delta from the register's previous
// value.
type ChosenDelta struct {
	Key   ids.RegisterKey
	Delta []byte
}

// VoterSetUpdate sends the current voter set to a store that uses an older one.
type VoterSetUpdate struct{ VoterSet VoterSet }

// Hello lets stores discover one another, with or without a voter set.
type Hello struct {
	Store Voter
	// Blank is set if the store knows no voter set. Otherwise VoterSetNumber is the number
	// of its voter set.
	Blank          bool
	VoterSetNumber uint64
	// IsReply is set on a reply, to which no further reply is sent.
	IsReply bool
	// HasCopied is set if the store isn't a voter, but has copied the registers of a
	// quorum of the voters at least once.
	HasCopied bool
}

// ConfigurationQuery asks a proxy for the configuration that it holds.
type ConfigurationQuery struct{}

// ConfigurationReply is the response to a ConfigurationQuery.
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
	// TimeoutMillis is how long the client waits for the response, in milliseconds.
	TimeoutMillis uint32
	// Attempt is the number of this attempt to send the request, starting at 1. Each
	// Response refers to a single attempt.
	Attempt uint32
	// KnownChecksum is the Checksum of the value that the client holds, 0 for none. If a
	// read returns the same value, the Response omits it.
	KnownChecksum uint64
}

// Response is the response to a Request.
type Response struct {
	// ID and Attempt echo those of the Request.
	ID      uint64
	Outcome Outcome
	// Result is the result of the change function, or the value read.
	Result  []byte
	Attempt uint32
	// Unchanged is set if Result is omitted because the client already holds the value.
	Unchanged bool
}

// Op identifies a change function on the wire. Numbers from 1 belong to package
// configuration, 10 to package election, from 20 to package idempotency, and from 200 to the
// voter set's register.
type Op uint8

// Read returns the register's value without changing it.
const Read Op = 0

// Outcome is the outcome of a Request.
type Outcome uint8

const (
	// Succeeded means that the change was chosen, or that the value was read.
	Succeeded Outcome = iota + 1
	// Rejected means that the request has no effect, now or later.
	Rejected
	// Indeterminate means that the request may have taken effect, or still may.
	Indeterminate
)

// String returns a readable name of the outcome. The texts differ from the constants' names
// for compatibility with existing output.
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
