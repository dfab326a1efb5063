package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// bootstrapState is the state of a blank store that may form the initial voter set. A
// bootstrap needs permission on every seed (the option, or its record on disk), no
// evidence of an existing cluster at any of them, and a synced promise of every seed to
// the same proposal. A model test in package consensus explores the protocol.
type bootstrapState struct {
	// allowed is whether this store is permitted to bootstrap, by its option or its disk.
	allowed bool
	// recorded is whether the record is on disk or being written.
	recorded bool
	record   consensus.BootstrapRecord
	// proposal is the current proposal of this store, which only the seed with the lowest
	// address makes; its Round is 0 if there is none.
	proposal consensus.BootstrapRequest
	// proposedAt is when the proposal was made.
	proposedAt ids.Time
	// promised holds the IDs of the stores that promised the proposal.
	promised map[uint64]bool
	// waitReason is why the last call of prepareProposal made no proposal; empty if it
	// made or kept one.
	waitReason string
}

const (
	bootstrapRecordKey = ids.RegisterKey("meta/founding")
	// bootstrapDelay is the minimum time between a proposal and the bootstrap. It leaves
	// the membership list time to deliver evidence of an existing cluster, and spans three
	// calls of manageVoters.
	bootstrapDelay = 1500 * time.Millisecond
)

// loadBootstrapState reads the record of an earlier run from disk. A record grants
// permission to bootstrap, unless it names an existing cluster.
func loadBootstrapState(disk consensus.Storage, allowed bool) bootstrapState {
	raw, _ := disk.Get(bootstrapRecordKey)
	_, msg, err := wire.ReadBytes(raw)
	record, ok := msg.(consensus.BootstrapRecord)
	ok = ok && err == nil
	return bootstrapState{allowed: allowed || ok, recorded: ok, record: record, promised: map[uint64]bool{}}
}

// tryBootstrap advances the bootstrap of a blank store; manageVoters calls it.
func (s *Store) tryBootstrap(now ids.Time) {
	if s.bootstrap.allowed && !s.bootstrap.recorded {
		s.bootstrap.recorded = true
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
	s.recordExistingCluster()
	s.logWaitReason(s.prepareProposal(now))
	if s.bootstrap.proposal.Round != 0 && s.bootstrap.waitReason == "" {
		s.advanceProposal(now)
	}
}

// logWaitReason logs why there is no proposal, whenever the reason changes.
func (s *Store) logWaitReason(reason string) {
	if reason != "" && reason != s.bootstrap.waitReason {
		s.Log(event.LevelInfo, logBootstrapWaiting, "reason", reason)
	}
	s.bootstrap.waitReason = reason
}

// prepareProposal makes or keeps a proposal of all seeds as voters, or returns why there
// can be none.
func (s *Store) prepareProposal(now ids.Time) string {
	if reason := s.reasonNotToPropose(); reason != "" {
		return reason
	}
	initial := consensus.VoterSet{Number: 1}
	for _, address := range s.bootstrapSeeds {
		store, ok := s.blankStoreAt(now, address)
		if !ok {
			s.bootstrap.proposal = consensus.BootstrapRequest{}
			return "no recent hello from a blank store at " + string(address)
		}
		initial.Voters = append(initial.Voters, store)
	}
	if s.bootstrap.proposal.Round == 0 || !s.bootstrap.proposal.VoterSet.SameVoters(initial) {
		s.beginProposal(now, s.bootstrap.record.Round+1, initial)
	}
	return ""
}

// reasonNotToPropose returns why this store must not propose regardless of the other
// seeds, or "" if it may. Only one of the seeds proposes, so that proposals don't compete.
func (s *Store) reasonNotToPropose() string {
	switch {
	case !s.bootstrap.allowed:
		return "bootstrap not permitted on this store: waiting to join a voter set"
	case s.bootstrap.record.ExistingCluster != "":
		return s.bootstrap.record.ExistingCluster
	case len(s.bootstrapSeeds) == 0 || s.Self.Address != slices.Min(s.bootstrapSeeds):
		return "only the seed with the lowest address proposes"
	}
	return ""
}

// blankStoreAt returns the blank store that recently sent a hello from an address, and
// false if there is none. Unlike isRecent, it accepts a hello exactly helloLifetime old.
func (s *Store) blankStoreAt(now ids.Time, address ids.Address) (consensus.Voter, bool) {
	hello, ok := s.hellos[address]
	if !ok || now.Sub(hello.receivedAt) > helloLifetime || !hello.Blank {
		return consensus.Voter{}, false
	}
	return hello.Store, true
}

// beginProposal starts a new proposal, without the promises to an earlier one.
func (s *Store) beginProposal(now ids.Time, round uint64, initial consensus.VoterSet) {
	s.bootstrap.proposal = consensus.BootstrapRequest{Round: round, VoterSet: initial}
	s.bootstrap.proposedAt = now
	s.bootstrap.promised = map[uint64]bool{}
}

// advanceProposal sends the proposal to the seeds that haven't promised it yet. Once all
// have promised and bootstrapDelay has passed, it forms the voter set.
func (s *Store) advanceProposal(now ids.Time) {
	proposal := s.bootstrap.proposal
	for _, v := range proposal.VoterSet.Voters {
		if !s.bootstrap.promised[v.ID] {
			s.Send(v.Address, proposal)
		}
	}
	allPromised := len(s.bootstrap.promised) == len(proposal.VoterSet.Voters) && s.bootstrap.record.IsLastPromised(proposal)
	if !allPromised || now.Sub(s.bootstrap.proposedAt) < bootstrapDelay {
		return
	}
	message := consensus.Bootstrap{VoterSet: proposal.VoterSet, Round: proposal.Round}
	s.applyBootstrap(message)
	s.Log(event.LevelInfo, logBootstrapCompleted, "voter_set", formatUint(proposal.VoterSet.Number))
	for _, v := range proposal.VoterSet.Voters {
		if v.ID != s.StoreID() {
			s.Send(v.Address, message)
		}
	}
}

// handleBootstrapResponse records a seed's promise, or starts a proposal with a higher
// round if the seed has promised the same or a higher round.
func (s *Store) handleBootstrapResponse(now ids.Time, m consensus.BootstrapResponse) {
	proposal := s.bootstrap.proposal
	isCurrent := proposal.Round == m.Round && proposal.VoterSet.SameVoters(m.VoterSet)
	if s.Acceptor.VoterSet().Number > 0 || !isCurrent {
		return
	}
	if m.Rejection == "" {
		s.bootstrap.promised[m.Store] = true
		return
	}
	s.Log(event.LevelInfo, logBootstrapRejected, "store", formatUint(m.Store), "reason", m.Rejection)
	if m.PromisedRound >= proposal.Round {
		s.beginProposal(now, m.PromisedRound+1, proposal.VoterSet)
	}
}

// applyBootstrap adopts the initial voter set and the values that it was formed with. It
// runs at the store that formed the voter set and at its other members.
func (s *Store) applyBootstrap(m consensus.Bootstrap) {
	raw, err := wire.Encode(m.VoterSet)
	if err != nil {
		return
	}
	if m.Round > 0 {
		s.bootstrap.record.Round = m.Round
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
	// The values are written before the voter set, so that every store that votes has them.
	s.Seed(consensus.VoterSetKey, raw)
	if len(m.Configuration) > 0 {
		s.Seed(configuration.Key, m.Configuration)
	}
	// Nothing was chosen before the initial voter set, so this disk lacks nothing.
	if m.VoterSet.IsInitial() {
		s.MarkComplete()
	}
	s.AdoptVoterSet(m.VoterSet)
}

// bootstrapMessage returns the message with which a still blank member of the voter set
// becomes a voter.
func (s *Store) bootstrapMessage(voterSet consensus.VoterSet) consensus.Bootstrap {
	message := consensus.Bootstrap{VoterSet: voterSet, Round: s.bootstrap.record.Round}
	// Seed writes this ballot, so the value has not changed since the bootstrap.
	if ballot, value := s.AcceptedValue(configuration.Key); ballot == (ids.Ballot{Counter: 1}) {
		message.Configuration = value
	}
	return message
}
