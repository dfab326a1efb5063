package store

import (
	"encoding/json"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// RecoverRequest is an operator's request to recover after permanent loss of disks. After
// the loss of a majority, a surviving store recovers with two blank stores; after the loss
// of all disks, a blank store recovers with two others.
type RecoverRequest struct{ ID uint64 }

// RecoverResponse is the command that answers a RecoverRequest. An empty Rejection means
// that the recovery has begun; otherwise its text is shown to the operator.
type RecoverResponse struct {
	ID        uint64
	Rejection string
}

// recoveryState is the state of a recovery that an operator requested.
type recoveryState struct {
	// dueAt is when the new voter set is to be formed; 0 if no recovery is in progress.
	dueAt ids.Time
	// configuration is the newest configuration received from a proxy.
	configuration consensus.ConfigurationReply
}

const (
	// quorumLossTimeout is how long this store must not have reached a majority before a
	// recovery is accepted. manageVoters reads the voter set on each call.
	quorumLossTimeout = 3 * time.Second
	// configurationCollectTime is how long a recovery waits for the proxies to send their
	// configuration.
	configurationCollectTime = 1500 * time.Millisecond
	// recoveryNumberStep is added to the number of the voter set by a recovery, to exceed
	// any number that the lost voters may have chosen without this store.
	recoveryNumberStep = 1000
	// recoveryStores is the number of other stores that a recovery needs.
	recoveryStores = 2
)

// The reasons for rejecting a recovery. They are shown to the operator and quoted in the
// documentation, so their texts must not change.
const (
	rejectionNoVote           = "this store has no seat in the roster: it holds nothing to go on from"
	rejectionQuorumReached    = "a majority of the roster is still there"
	rejectionTooFewStores     = "two blank stores must be running first"
	rejectionTooFewOtherBlank = "two other blank stores must be running first"
)

// handleRecoverRequest answers the operator and, if the recovery is accepted, asks the
// proxies for their configuration.
func (s *Store) handleRecoverRequest(now ids.Time, request RecoverRequest) {
	reason := s.recoveryRejection(now)
	s.Emit(RecoverResponse{ID: request.ID, Rejection: reason})
	if reason != "" {
		s.Log(event.LevelWarn, logRecoveryRejected, "reason", reason)
		return
	}
	s.Log(event.LevelWarn, logRecoveryStarted)
	s.recovery = recoveryState{dueAt: now.Add(configurationCollectTime)}
	for _, m := range s.Live(membership.Proxy) {
		s.Send(m.Address, consensus.ConfigurationQuery{})
	}
}

// recoveryRejection returns why this store can't recover, or "" if it can.
func (s *Store) recoveryRejection(now ids.Time) string {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		return s.totalLossRejection(now)
	case !voterSet.HasVoter(s.StoreID()):
		return rejectionNoVote
	// The membership list is no evidence of a lost majority, since declaring a member dead
	// takes a majority itself. This store's own reads are used instead.
	case s.lastQuorumReadAt != 0 && now.Sub(s.lastQuorumReadAt) < quorumLossTimeout && len(voterSet.Voters) > 1:
		return rejectionQuorumReached
	case len(s.storesWithoutVote(now)) < recoveryStores:
		return rejectionTooFewStores
	}
	return ""
}

// storesWithoutVote returns the stores outside the voter set that recently sent a hello.
func (s *Store) storesWithoutVote(now ids.Time) []consensus.Voter {
	return s.recentStores(now, func(consensus.Hello) bool { return true })
}

// handleConfigurationReply keeps the newest configuration received from a proxy.
func (s *Store) handleConfigurationReply(m consensus.ConfigurationReply) {
	if m.Revision > s.recovery.configuration.Revision {
		s.recovery.configuration = m
	}
}

// takeDueRecovery reports whether a requested recovery is due, and if so clears the
// request. The caller must carry the recovery out, or it is dropped.
func (s *Store) takeDueRecovery(now ids.Time) bool {
	if s.recovery.dueAt == 0 || now < s.recovery.dueAt {
		return false
	}
	s.recovery.dueAt = 0
	return true
}

// recoverIfDue forms the new voter set when a recovery is due: a joint one from this store
// alone to this store with two others, so that the others copy before they vote.
func (s *Store) recoverIfDue(now ids.Time) {
	if !s.takeDueRecovery(now) || s.recoveryRejection(now) != "" {
		return
	}
	others := s.storesWithoutVote(now)
	voterSet := s.Acceptor.VoterSet()
	next := consensus.VoterSet{
		Number:    voterSet.Number + recoveryNumberStep,
		Voters:    []consensus.Voter{s.selfVoter()},
		Incoming:  []consensus.Voter{s.selfVoter(), others[0], others[1]},
		LossCount: voterSet.LossCount + 1,
	}
	raw, err := wire.Encode(next)
	if err != nil {
		return
	}
	s.restoreConfiguration()
	s.ForceValue(consensus.VoterSetKey, raw)
	s.adoptAndForwardVoterSet(now, next)
}

// restoreConfiguration adopts the configuration of a proxy if it is newer than this
// store's. The lost voters may have chosen changes that this store never received and
// that proxies already apply.
func (s *Store) restoreConfiguration() {
	var own, surviving struct {
		Revision ids.Revision `json:"revision"`
	}
	// A store that never held a configuration has revision 0.
	_ = json.Unmarshal(s.LocalValue(configuration.Key), &own)
	if json.Unmarshal(s.recovery.configuration.Configuration, &surviving) == nil && surviving.Revision > own.Revision {
		s.ForceValue(configuration.Key, s.recovery.configuration.Configuration)
		s.Log(event.LevelInfo, logConfigurationRestored, "revision", formatUint(uint64(surviving.Revision)))
	}
}
