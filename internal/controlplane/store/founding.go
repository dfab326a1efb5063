package store

import (
	"fmt"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// bootstrapState is a blank store's part in making the first voter set. It takes
// three things: leave (the setting, or the record of it on this very disk), no
// sign of an earlier core at any seed, and a synced promise of every seed to
// one and the same proposal.
type bootstrapState struct {
	// allowed: this disk was first started with leave to found.
	allowed  bool
	recorded bool
	record   consensus.BootstrapRecord
	// proposal is what this store proposes as the founder, since a time.
	proposal   consensus.BootstrapRequest
	proposedAt ids.Time
	promised   map[uint64]bool
	// waitReason is why there was no founding when last looked.
	waitReason string
}

const (
	bootstrapRecordKey = ids.RegisterKey("meta/founding")
	// helloLifetime is how long a store's hello says that it is there.
	helloLifetime = 2 * time.Second
)

// loadBootstrapState takes up where the disk left off.
func loadBootstrapState(disk consensus.Storage, allowed bool) bootstrapState {
	raw, _ := disk.Get(bootstrapRecordKey)
	_, msg, err := wire.ReadBytes(raw)
	record, ok := msg.(consensus.BootstrapRecord)
	ok = ok && err == nil
	return bootstrapState{allowed: allowed || ok, recorded: ok, record: record, promised: map[uint64]bool{}}
}

// tryBootstrap is a blank store's share of each round of management.
func (s *Store) tryBootstrap(now ids.Time) {
	if s.bootstrap.allowed && !s.bootstrap.recorded {
		s.bootstrap.recorded = true
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
	s.recordEarlierCluster()
	s.logWaitReason(s.prepareProposal(now))
	if s.bootstrap.proposal.Round != 0 && s.bootstrap.waitReason == "" {
		s.advanceProposal(now)
	}
}

// logWaitReason logs a new reason to wait, once.
func (s *Store) logWaitReason(reason string) {
	if reason != "" && reason != s.bootstrap.waitReason {
		s.Log(event.LevelInfo, "not founding", "waits", reason)
	}
	s.bootstrap.waitReason = reason
}

// prepareProposal prepares the proposal, or says what is in its way.
func (s *Store) prepareProposal(now ids.Time) string {
	switch {
	case !s.bootstrap.allowed:
		return "this is no first start: a core must take this store in"
	case s.bootstrap.record.ExistingCluster != "":
		return s.bootstrap.record.ExistingCluster
	case len(s.seeds) == 0 || s.Self.Address != slices.Min(s.seeds):
		return "the first of the seeds founds"
	}
	first := consensus.VoterSet{Number: 1}
	for _, address := range s.seeds {
		hello, ok := s.hellos[address]
		if !ok || now.Sub(hello.receivedAt) > helloLifetime || !hello.Blank {
			s.bootstrap.proposal = consensus.BootstrapRequest{}
			return string(address)
		}
		first.Voters = append(first.Voters, hello.Store)
	}
	if s.bootstrap.proposal.Round == 0 || !s.bootstrap.proposal.VoterSet.SameVoters(first) {
		s.beginProposal(now, s.bootstrap.record.Round+1, first)
	}
	return ""
}

// beginProposal begins a proposal; promises to another count for nothing in it.
func (s *Store) beginProposal(now ids.Time, round uint64, first consensus.VoterSet) {
	s.bootstrap.proposal = consensus.BootstrapRequest{Round: round, VoterSet: first}
	s.bootstrap.proposedAt = now
	s.bootstrap.promised = map[uint64]bool{}
}

// advanceProposal asks those who haven't promised, and founds once all have and the
// roll had its time to bring signs of an earlier core.
func (s *Store) advanceProposal(now ids.Time) {
	proposal := s.bootstrap.proposal
	for _, v := range proposal.VoterSet.Voters {
		if !s.bootstrap.promised[v.ID] {
			s.Send(v.Address, proposal)
		}
	}
	ready := len(s.bootstrap.promised) == len(proposal.VoterSet.Voters) && s.bootstrap.record.IsLastPromised(proposal)
	if !ready || now.Sub(s.bootstrap.proposedAt) < configurationCollectTime {
		return
	}
	s.applyBootstrap(consensus.Bootstrap{VoterSet: proposal.VoterSet, Round: proposal.Round})
	s.Log(event.LevelInfo, "founded", "voter_set", "1")
	for _, v := range proposal.VoterSet.Voters {
		if v.ID != s.StoreID() {
			s.Send(v.Address, consensus.Bootstrap{VoterSet: proposal.VoterSet, Round: proposal.Round})
		}
	}
}

// handleFoundingRequest answers a founder.
func (s *Store) handleFoundingRequest(from ids.Address, request consensus.BootstrapRequest) {
	if voterSet := s.Acceptor.VoterSet(); voterSet.Number > 0 {
		s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
		return
	}
	s.recordEarlierCluster()
	response := consensus.BootstrapResponse{Round: request.Round, VoterSet: request.VoterSet, Store: s.StoreID(), PromisedRound: s.bootstrap.record.Round}
	if response.Rejection = s.foundingRejection(request); response.Rejection != "" {
		s.Send(from, response)
		return
	}
	record, reason := s.bootstrap.record.Promise(request)
	response.Rejection, response.PromisedRound = reason, record.Round
	if reason == "" {
		s.bootstrap.record, s.bootstrap.recorded = record, true
		s.Persist(bootstrapRecordKey, record)
	}
	s.AfterSync(sendCommand(from, response))
}

// foundingRejection says what keeps this store from any part in the founding.
func (s *Store) foundingRejection(request consensus.BootstrapRequest) string {
	var addresses []ids.Address
	for _, v := range request.VoterSet.Voters {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	switch {
	case !s.bootstrap.allowed:
		return "no first start"
	case s.bootstrap.record.ExistingCluster != "":
		return s.bootstrap.record.ExistingCluster
	case !slices.Equal(addresses, slices.Sorted(slices.Values(s.seeds))):
		return "other seeds"
	case !request.VoterSet.HasVoter(s.StoreID()):
		return "another disk"
	}
	return ""
}

// handleFoundingResponse takes a seed's answer to this founder.
func (s *Store) handleFoundingResponse(now ids.Time, m consensus.BootstrapResponse) {
	proposal := s.bootstrap.proposal
	switch {
	case s.Acceptor.VoterSet().Number > 0 || proposal.Round != m.Round || !proposal.VoterSet.SameVoters(m.VoterSet):
	case m.Rejection == "":
		s.bootstrap.promised[m.Store] = true
	default:
		s.Log(event.LevelInfo, "founding declined", "store", formatUint(m.Store), "why", m.Rejection)
		if m.PromisedRound >= proposal.Round {
			s.beginProposal(now, m.PromisedRound+1, proposal.VoterSet)
		}
	}
}

// recordEarlierCluster keeps on the disk that a core was seen to exist: someone
// holds a configuration that was accepted, or a store has a vote in a voter set that
// this store didn't help to found. Such a disk never founds by itself.
func (s *Store) recordEarlierCluster() {
	if s.bootstrap.record.ExistingCluster != "" {
		return
	}
	reason := ""
	for _, m := range s.All() {
		switch {
		case m.ID == s.Self.ID:
		case m.Revision > 0:
			reason = fmt.Sprintf("%s holds an accepted policy", m.ID)
		case m.Role == membership.Store && m.Ready && !s.bootstrap.record.IncludesStore(m.Store):
			reason = fmt.Sprintf("%s has a vote in an earlier core", m.ID)
		}
	}
	if reason != "" {
		s.bootstrap.record.ExistingCluster = reason
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
}

// handleBootstrap makes a blank store a member of the voter set that it was founded into.
func (s *Store) handleBootstrap(from ids.Address, m consensus.Bootstrap) {
	if s.Acceptor.VoterSet().Number > 0 || !m.VoterSet.HasVoter(s.StoreID()) {
		return
	}
	for _, v := range m.VoterSet.AllVoters() {
		if v.Address == from && s.bootstrap.record.MayAdopt(m, v) {
			s.applyBootstrap(m)
			return
		}
	}
}

// applyBootstrap takes up the first voter set, here or at another founding member.
func (s *Store) applyBootstrap(m consensus.Bootstrap) {
	raw, err := wire.Encode(m.VoterSet)
	if err != nil {
		return
	}
	if m.Round > 0 {
		s.bootstrap.record.Round = m.Round
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
	// The values are planted before the voter set is: a member that votes has them.
	s.Seed(consensus.VoterSetKey, raw)
	if len(m.Configuration) > 0 {
		s.Seed(configuration.Key, m.Configuration)
	}
	// Before the first voter set nothing was agreed that a copy could lack.
	if m.VoterSet.IsInitial() {
		s.MarkComplete()
	}
	s.AdoptVoterSet(m.VoterSet)
}

// bootstrapMessage is what a member that has no values yet is to take up.
func (s *Store) bootstrapMessage(voterSet consensus.VoterSet) consensus.Bootstrap {
	b := consensus.Bootstrap{VoterSet: voterSet, Round: s.bootstrap.record.Round}
	if ballot, value := s.AcceptedValue(configuration.Key); ballot == (ids.Ballot{Counter: 1}) {
		b.Configuration = value
	}
	return b
}
