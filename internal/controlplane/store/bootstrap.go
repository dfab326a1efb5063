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

// bootstrapState is a blank store's part in forming the first voter set. Three
// things are needed: permission to bootstrap on every seed (the setting, or the
// record of it on the disk), no sign of an existing cluster at any of them, and a
// synced promise of every seed to one and the same proposal. A model test in
// package consensus explores the protocol.
type bootstrapState struct {
	// allowed is whether this disk was first started with permission to bootstrap.
	allowed bool
	// recorded is whether the record is on the disk or on its way there.
	recorded bool
	record   consensus.BootstrapRecord
	// proposal is what this store proposes as the first of the seeds; its Round is 0
	// while there is none.
	proposal consensus.BootstrapRequest
	// proposedAt is when the proposal was made.
	proposedAt ids.Time
	// promised are the ids of the stores that promised the proposal.
	promised map[uint64]bool
	// waitReason is why there was no proposal in the last turn of management; empty
	// if there was one.
	waitReason string
}

const (
	bootstrapRecordKey = ids.RegisterKey("meta/founding")
	// bootstrapDelay is how long a proposal stays open even if all have promised, so
	// that the membership list has the time to bring signs of an existing cluster:
	// three turns of management.
	bootstrapDelay = 1500 * time.Millisecond
)

// loadBootstrapState reads the record that an earlier run left on the disk. A disk
// that has one was first started with permission to bootstrap.
func loadBootstrapState(disk consensus.Storage, allowed bool) bootstrapState {
	raw, _ := disk.Get(bootstrapRecordKey)
	_, msg, err := wire.ReadBytes(raw)
	record, ok := msg.(consensus.BootstrapRecord)
	ok = ok && err == nil
	return bootstrapState{allowed: allowed || ok, recorded: ok, record: record, promised: map[uint64]bool{}}
}

// tryBootstrap is a blank store's share of each turn of management.
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

// logWaitReason logs why there is no proposal, once for each new reason.
func (s *Store) logWaitReason(reason string) {
	if reason != "" && reason != s.bootstrap.waitReason {
		s.Log(event.LevelInfo, logBootstrapWaiting, "reason", reason)
	}
	s.bootstrap.waitReason = reason
}

// prepareProposal makes or keeps a proposal of all seeds, or returns why there can
// be none.
func (s *Store) prepareProposal(now ids.Time) string {
	if reason := s.reasonNotToPropose(); reason != "" {
		return reason
	}
	initial := consensus.VoterSet{Number: 1}
	for _, address := range s.bootstrapSeeds {
		store, ok := s.blankStoreAt(now, address)
		if !ok {
			s.bootstrap.proposal = consensus.BootstrapRequest{}
			return "no recent hello of a blank store at " + string(address)
		}
		initial.Voters = append(initial.Voters, store)
	}
	if s.bootstrap.proposal.Round == 0 || !s.bootstrap.proposal.VoterSet.SameVoters(initial) {
		s.beginProposal(now, s.bootstrap.record.Round+1, initial)
	}
	return ""
}

// reasonNotToPropose returns why this store must not propose, whatever the others do;
// empty if it may. Of the seeds only one proposes, so that proposals don't compete.
func (s *Store) reasonNotToPropose() string {
	switch {
	case !s.bootstrap.allowed:
		return "bootstrap not permitted on this disk: waiting to join a voter set"
	case s.bootstrap.record.ExistingCluster != "":
		return s.bootstrap.record.ExistingCluster
	case len(s.bootstrapSeeds) == 0 || s.Self.Address != slices.Min(s.bootstrapSeeds):
		return "the seed with the lowest address proposes"
	}
	return ""
}

// blankStoreAt returns the blank store that has sent a hello from an address of late;
// false if there is none. A hello as old as helloLifetime counts, other than in
// isRecent.
func (s *Store) blankStoreAt(now ids.Time, address ids.Address) (consensus.Voter, bool) {
	hello, ok := s.hellos[address]
	if !ok || now.Sub(hello.receivedAt) > helloLifetime || !hello.Blank {
		return consensus.Voter{}, false
	}
	return hello.Store, true
}

// beginProposal begins a proposal; promises to an earlier one don't count for it.
func (s *Store) beginProposal(now ids.Time, round uint64, initial consensus.VoterSet) {
	s.bootstrap.proposal = consensus.BootstrapRequest{Round: round, VoterSet: initial}
	s.bootstrap.proposedAt = now
	s.bootstrap.promised = map[uint64]bool{}
}

// advanceProposal asks the seeds that haven't promised yet. Once all have, and
// bootstrapDelay has passed, the voter set is formed.
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

// handleBootstrapResponse counts a seed's promise, or begins a proposal of a higher
// round if the seed has promised another.
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

// applyBootstrap adopts the initial voter set and the values that it was formed with,
// at the store that formed it or at another member of it.
func (s *Store) applyBootstrap(m consensus.Bootstrap) {
	raw, err := wire.Encode(m.VoterSet)
	if err != nil {
		return
	}
	if m.Round > 0 {
		s.bootstrap.record.Round = m.Round
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
	// The values are written before the voter set is: whoever votes has them.
	s.Seed(consensus.VoterSetKey, raw)
	if len(m.Configuration) > 0 {
		s.Seed(configuration.Key, m.Configuration)
	}
	// Before the initial voter set nothing was agreed that this disk could lack.
	if m.VoterSet.IsInitial() {
		s.MarkComplete()
	}
	s.AdoptVoterSet(m.VoterSet)
}

// bootstrapMessage returns what a member of the voter set that is still blank needs
// to become a voter.
func (s *Store) bootstrapMessage(voterSet consensus.VoterSet) consensus.Bootstrap {
	message := consensus.Bootstrap{VoterSet: voterSet, Round: s.bootstrap.record.Round}
	// The ballot is the one that Seed writes: the value was never changed since.
	if ballot, value := s.AcceptedValue(configuration.Key); ballot == (ids.Ballot{Counter: 1}) {
		message.Configuration = value
	}
	return message
}
