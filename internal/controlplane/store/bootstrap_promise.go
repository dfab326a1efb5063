package store

import (
	"fmt"
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// The reasons for which a seed rejects a proposal. They are sent over the wire, so their
// texts must not change.
const (
	rejectionNotPermitted = "no first start"
	rejectionOtherSeeds   = "other seeds"
	rejectionOtherDisk    = "another disk"
)

// The evidence of an existing cluster. It is stored and sent over the wire, after the ID of
// the member that it was seen at, so the texts must not change.
const (
	evidenceAcceptedConfiguration = "holds an accepted policy"
	evidenceEarlierVote           = "has a vote in an earlier core"
)

// handleBootstrapRequest answers a proposal of the initial voter set. A promise is sent only
// after it is synced to disk.
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

// bootstrapRejection returns why this store rejects a proposal regardless of its earlier
// promises, or "" if it doesn't.
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

// recordExistingCluster looks for evidence of an existing cluster and persists it: a member
// with an accepted configuration, or a store with a vote in a voter set that this store
// has not promised. A store with such a record never bootstraps.
func (s *Store) recordExistingCluster() {
	if s.bootstrap.record.ExistingCluster != "" {
		return
	}
	evidence := ""
	for _, m := range s.All() {
		switch {
		case m.ID == s.Self.ID:
		case m.Revision > 0:
			evidence = fmt.Sprintf("%s %s", m.ID, evidenceAcceptedConfiguration)
		case m.Role == membership.Store && m.Ready && !s.bootstrap.record.IncludesStore(m.StoreID):
			evidence = fmt.Sprintf("%s %s", m.ID, evidenceEarlierVote)
		}
	}
	if evidence != "" {
		s.bootstrap.record.ExistingCluster = evidence
		s.Persist(bootstrapRecordKey, s.bootstrap.record)
	}
}

// handleBootstrap makes a blank store a voter of the initial voter set that it belongs to,
// if the message comes from a voter of that set and no later promise forbids it.
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
