package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// totalLossRejection returns why a blank store can't recover after the loss of all disks,
// or "" if it can.
func (s *Store) totalLossRejection(now ids.Time) string {
	if len(s.otherBlankStores(now)) < recoveryStores {
		return rejectionTooFewOtherBlank
	}
	return ""
}

// otherBlankStores returns the other stores that know no voter set and recently sent a hello.
func (s *Store) otherBlankStores(now ids.Time) []consensus.Voter {
	return s.recentStores(now, func(hello consensus.Hello) bool { return hello.Blank && hello.Store.ID != s.StoreID() })
}

// recoverFromTotalLossIfDue forms an initial voter set, with the newest configuration
// received from a proxy, when a requested recovery is due. All idempotency records count
// as lost.
func (s *Store) recoverFromTotalLossIfDue(now ids.Time) {
	if s.Acceptor.VoterSet().Number > 0 || !s.takeDueRecovery(now) {
		return
	}
	others := s.otherBlankStores(now)
	if len(others) < recoveryStores {
		return
	}
	others = others[:recoveryStores]
	initial := consensus.VoterSet{
		Number: consensus.VoterSetNumberAfterTotalLoss, LossCount: 1,
		Voters: slices.Concat([]consensus.Voter{s.selfVoter()}, others),
	}
	message := consensus.Bootstrap{VoterSet: initial, Configuration: s.recovery.configuration.Configuration}
	s.applyBootstrap(message)
	s.Log(event.LevelWarn, logTotalLossRecovered, "voter_set", formatUint(initial.Number), "configuration", configuration.Describe(message.Configuration))
	for _, v := range others {
		s.Send(v.Address, message)
	}
}
