package store

import (
	"slices"
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// voterManager is the state with which a store manages the voter set and its own place
// in it.
type voterManager struct {
	// bootstrapSeeds are the configured seeds; only they may form the initial voter set.
	bootstrapSeeds []ids.Address
	// replicas is the target number of voters.
	replicas int
	// hellos holds the last hello of each store, by address.
	hellos map[ids.Address]receivedHello
	// lastRequestID is the ID of the last request that this store made on the voter set.
	lastRequestID uint64
	// nextManageAt is when manageVoters is due next.
	nextManageAt ids.Time
	// lastQuorumReadAt is when this store last read or changed the voter set through a
	// majority; 0 if it has not in this run.
	lastQuorumReadAt ids.Time
	// silentSince is when each silent voter was first found not to be live, by ID.
	silentSince map[uint64]ids.Time
	// retireEmitted is set once Retire was emitted.
	retireEmitted bool

	bootstrap bootstrapState
	learner   learner
	departure departure
	recovery  recoveryState
}

// voterManagementInterval is the time between two calls of manageVoters. It is a fraction
// of helloLifetime and of silentVoterTimeout.
const voterManagementInterval = 500 * time.Millisecond

func newVoterManager(seeds []ids.Address) voterManager {
	return voterManager{bootstrapSeeds: seeds, hellos: map[ids.Address]receivedHello{}, silentSince: map[uint64]ids.Time{}}
}

// manageVoters periodically manages the voter set: bootstrap or recovery while there is
// none, recovery or repair once there is one.
func (s *Store) manageVoters(now ids.Time) {
	if now < s.nextManageAt {
		return
	}
	voterSet := s.Acceptor.VoterSet()
	s.nextManageAt = now.Add(s.managementInterval(voterSet))
	if voterSet.Number == 0 {
		s.broadcastHello()
		s.tryBootstrap(now)
		s.recoverFromTotalLossIfDue(now)
		return
	}
	if !voterSet.HasVoter(s.StoreID()) && s.DiskState() != consensus.Replaced {
		s.broadcastHello()
	}
	s.recoverIfDue(now)
	// Reading the voter set completes a change whose proposer failed half-way.
	s.submitVoterSetRequest(consensus.Read, nil)
	s.repairVoterSet(now, voterSet)
}

// managementInterval returns the time until the next call of manageVoters. It is doubled
// for a voter of a complete voter set that isn't changing, in clusters with incremental
// membership: such a voter reads the voter set only to notice a store that joins.
func (s *Store) managementInterval(voterSet consensus.VoterSet) time.Duration {
	isChanging := voterSet.Number == 0 || len(voterSet.Incoming) > 0
	isComplete := voterSet.HasVoter(s.StoreID()) && len(voterSet.Voters) >= s.replicas
	if s.Incremental && !isChanging && isComplete {
		return 2 * voterManagementInterval
	}
	return voterManagementInterval
}

// voterSetRequestTimeout bounds a request of this store on the voter set. One that fails
// needs no retry, since manageVoters makes a new one each time.
const voterSetRequestTimeout = 2 * time.Second

// submitVoterSetRequest submits a read or change of the voter set's register to this
// store's own proposer; handleOwnResponse receives the response. The argument may be nil.
func (s *Store) submitVoterSetRequest(op consensus.Op, argument any) {
	var raw []byte
	if argument != nil {
		// All arguments are registered with the wire format. If encoding failed, the empty
		// argument would leave the voter set unchanged.
		raw, _ = wire.Encode(argument)
	}
	s.lastRequestID++
	s.Submit(s.now, s.Self.Address, consensus.Request{
		ID: s.lastRequestID, Key: consensus.VoterSetKey, Op: op, Arg: raw,
		TimeoutMillis: uint32(voterSetRequestTimeout.Milliseconds()),
	})
}

// handleOwnResponse adopts the voter set in the response to this store's own request.
func (s *Store) handleOwnResponse(now ids.Time, m consensus.Response) {
	voterSet, ok := consensus.DecodeVoterSet(m.Result)
	if !ok || m.Outcome != consensus.Succeeded {
		return
	}
	s.lastQuorumReadAt = now
	s.adoptAndForwardVoterSet(now, voterSet)
}

// selfVoter returns this store as a voter.
func (s *Store) selfVoter() consensus.Voter {
	return consensus.Voter{ID: s.StoreID(), Address: s.Self.Address}
}

// adoptAndForwardVoterSet adopts a voter set if it is newer than this store's, restarts the
// rounds in progress, and forwards it to the voters of the old and the new set.
func (s *Store) adoptAndForwardVoterSet(now ids.Time, voterSet consensus.VoterSet) {
	previous := s.Acceptor.VoterSet()
	// A blank member of the initial voter set also needs the values that the voter set was
	// formed with, which only the Bootstrap message contains.
	if previous.Number == 0 && voterSet.IsInitial() && voterSet.HasVoter(s.StoreID()) {
		return
	}
	if !s.AdoptVoterSet(voterSet) {
		return
	}
	s.RestartRounds(now)
	s.Log(event.LevelInfo, logVoterSetAdopted,
		"number", formatUint(voterSet.Number),
		"voters", strconv.Itoa(len(voterSet.Voters)),
		"incoming", strconv.Itoa(len(voterSet.Incoming)))
	for _, voter := range append(previous.AllVoters(), voterSet.AllVoters()...) {
		if voter.ID != s.StoreID() {
			s.Send(voter.Address, consensus.VoterSetUpdate{VoterSet: voterSet})
		}
	}
}

// liveVoters returns the IDs of the voters that the membership list has as live, and this
// store's own ID if it is a voter.
func (s *Store) liveVoters(voterSet consensus.VoterSet) map[uint64]bool {
	live := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		if isCurrentVoter(voterSet, m.StoreID) {
			live[m.StoreID] = true
		}
	}
	if voterSet.HasVoter(s.StoreID()) {
		live[s.StoreID()] = true
	}
	return live
}

// isCurrentVoter reports whether a store is in VoterSet.Voters, not counting the incoming
// voters of a joint voter set.
func isCurrentVoter(voterSet consensus.VoterSet, storeID uint64) bool {
	return slices.ContainsFunc(voterSet.Voters, func(v consensus.Voter) bool { return v.ID == storeID })
}

// formatUint formats a number for a log field.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
