package store

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// The reasons for which a seed takes no part in a proposal. They go over the wire: their
// texts stay as they were first released.
const (
	rejectionNotPermitted = "no first start"
	rejectionOtherSeeds   = "other seeds"
	rejectionOtherDisk    = "another disk"
)

// The signs of an existing cluster. They are stored and go over the wire, after the name
// of the member that gave them.
const (
	signAcceptedConfiguration = "holds an accepted policy"
	signEarlierVote           = "has a vote in an earlier core"
)

// handleBootstrapRequest answers a proposal of the first voter set. A promise leaves
// only after it is on the disk.
func (s *Store) handleBootstrapRequest(from ids.Address, request consensus.BootstrapRequest) {
	if voterSet := s.Acceptor.VoterSet(); voterSet.Number > 0 {
		s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
		return
	}
	s.recordExistingCluster()
	response := consensus.BootstrapResponse{Round: request.Round, VoterSet: request.VoterSet, Store: s.StoreID(), PromisedRound: s.bootstrap.record.Round}
	if response.Rejection = s.bootstrapRejection(request); response.Rejection != "" {
		s.Send(from, response)
		return
	}
	record, rejection := s.bootstrap.record.Promise(request)
	response.Rejection, response.PromisedRound = rejection, record.Round
	if rejection == "" {
		s.bootstrap.record, s.bootstrap.recorded = record, true
		s.Persist(bootstrapRecordKey, record)
	}
	s.AfterSync(event.Send{To: from, Message: response})
}

// bootstrapRejection returns why this store takes no part in a proposal at all; empty
// if it may.
func (s *Store) bootstrapRejection(request consensus.BootstrapRequest) string {
	var addresses []ids.Address
	for _, v := range request.VoterSet.Voters {
		addresses = append(addresses, v.Address)
	}
	slices.Sort(addresses)
	switch {
	case !s.bootstrap.allowed:
		return rejectionNotPermitted
	case s.bootstrap.record.ExistingCluster != "":
		return s.bootstrap.record.ExistingCluster
	case !slices.Equal(addresses, slices.Sorted(slices.Values(s.bootstrapSeeds))):
		return rejectionOtherSeeds
	case !request.VoterSet.HasVoter(s.StoreID()):
		return rejectionOtherDisk
	}
	return ""
}

// recordExistingCluster looks for signs of an existing cluster and keeps one on the
// disk: a member that holds an accepted configuration, or a store with a vote in
// a voter set that this store has not promised. A disk with such a record never
// bootstraps.
func (s *Store) recordExistingCluster() {
	if s.bootstrap.record.ExistingCluster != "" {
		return
	}
	sign := ""
	for _, m := range s.All() {
		switch {
		case m.ID == s.Self.ID:
		case m.Revision > 0:
			sign = fmt.Sprintf("%s %s", m.ID, signAcceptedConfiguration)
		case m.Role == membership.Store && m.Ready && !s.bootstrap.record.IncludesStore(m.StoreID):
			sign = fmt.Sprintf("%s %s", m.ID, signEarlierVote)
		}
	}
	if sign != "" {
		s.bootstrap.record.ExistingCluster = sign
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
}

// handleBootstrap makes a blank store a voter of the initial voter set it belongs to,
// if the message comes from another voter of it and no later promise forbids it.
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
