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

// RecoverRequest is an operator's request to continue from this store alone, after a
// majority of the disks was lost for good, with two blank stores; or, at a blank
// store, after all of them were lost.
type RecoverRequest struct{ ID uint64 }

// RecoverResponse is the command that answers it. An empty Rejection means that the
// recovery has begun; a rejection's text is shown to the operator.
type RecoverResponse struct {
	ID        uint64
	Rejection string
}

// recoveryState is the state of a recovery that an operator requested.
type recoveryState struct {
	// dueAt is when the new voter set is made; 0 if no recovery is under way.
	dueAt ids.Time
	// configuration is the newest that a proxy has answered with.
	configuration consensus.ConfigurationReply
}

const (
	// quorumLossTimeout is how long no read of this store may have reached a majority
	// before a recovery is accepted. Reads are made in every turn of management (manageVoters).
	quorumLossTimeout = 3 * time.Second
	// configurationCollectTime is how long a recovery waits for the proxies to send
	// the configuration that they hold.
	configurationCollectTime = 1500 * time.Millisecond
	// recoveryNumberStep is how far a recovery raises the number of the voter set,
	// above any that the lost voters may have reached unseen by this store.
	recoveryNumberStep = 1000
	// recoveryStores is how many other stores a recovery needs.
	recoveryStores = 2
)

// The reasons for which a recovery is rejected. The operator sees them, and documents
// name them.
const (
	rejectionNoVote           = "this store has no seat in the roster: it holds nothing to go on from"
	rejectionQuorumReached    = "a majority of the roster is still there"
	rejectionTooFewStores     = "two blank stores must be running first"
	rejectionTooFewOtherBlank = "two other blank stores must be running first"
)

// handleRecoverRequest answers the operator, and if the recovery is accepted asks the
// proxies for the configuration that they hold.
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

// recoveryRejection returns why there can be no recovery from this store; empty if
// there can be one.
func (s *Store) recoveryRejection(now ids.Time) string {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		return s.totalLossRejection(now)
	case !voterSet.HasVoter(s.StoreID()):
		return rejectionNoVote
	// The membership list can't tell: it takes a majority to declare a member dead.
	// What counts is whether this store's own reads still reach one.
	case s.lastQuorumReadAt != 0 && now.Sub(s.lastQuorumReadAt) < quorumLossTimeout && len(voterSet.Voters) > 1:
		return rejectionQuorumReached
	case len(s.storesWithoutVote(now)) < recoveryStores:
		return rejectionTooFewStores
	}
	return ""
}

// storesWithoutVote returns the stores without a vote that have sent a hello of late.
func (s *Store) storesWithoutVote(now ids.Time) []consensus.Voter {
	return s.recentStores(now, func(consensus.Hello) bool { return true })
}

// handleConfigurationReply keeps the newest configuration that a proxy holds.
func (s *Store) handleConfigurationReply(m consensus.ConfigurationReply) {
	if m.Revision > s.recovery.configuration.Revision {
		s.recovery.configuration = m
	}
}

// takeDueRecovery reports whether a requested recovery is due, and if so ends the wait
// for it: the caller must carry it out, or it is dropped.
func (s *Store) takeDueRecovery(now ids.Time) bool {
	if s.recovery.dueAt == 0 || now < s.recovery.dueAt {
		return false
	}
	s.recovery.dueAt = 0
	return true
}

// recoverIfDue makes the new voter set: a joint one of this store alone and of itself
// with two others, so that those copy before they count.
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

// restoreConfiguration takes the configuration of a proxy over if it is newer than
// this store's: the lost disks may have agreed to changes that this one never saw,
// and that proxies apply already.
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
