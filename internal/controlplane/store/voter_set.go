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

// voterManager is what a store keeps beside the registers to manage the voter set
// and its own place in it.
type voterManager struct {
	// bootstrapSeeds are those of the settings; only they may form the first voter set.
	bootstrapSeeds []ids.Address
	// replicas is how many voters there are to be.
	replicas int
	// hellos holds the last hello of each store, by its address.
	hellos map[ids.Address]receivedHello
	// lastRequestID numbers this store's own requests on the voter set.
	lastRequestID uint64
	// nextManageAt is when the next turn of management (manageVoters) is due.
	nextManageAt ids.Time
	// lastQuorumReadAt is when this store last read the voter set from a majority;
	// 0 if it never did in this run.
	lastQuorumReadAt ids.Time
	// silentSince is since when each voter that isn't live has been silent, by id.
	silentSince map[uint64]ids.Time
	// retireOrdered is set once Retire was emitted.
	retireOrdered bool

	bootstrap bootstrapState
	learner   learner
	departure departure
	recovery  recoveryState
}

// voterManagementInterval is how often a store looks after the voter set: several
// times within helloLifetime and silentVoterTimeout.
const voterManagementInterval = 500 * time.Millisecond

func newVoterManager(seeds []ids.Address) voterManager {
	return voterManager{bootstrapSeeds: seeds, hellos: map[ids.Address]receivedHello{}, silentSince: map[uint64]ids.Time{}}
}

// manageVoters is one turn of management: bootstrap or recovery while there is no voter
// set, recovery or repair of the voter set after.
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
	// Reading the voter set finishes a change whose proposer died half way.
	s.submitVoterSetRequest(consensus.Read, nil)
	s.repairVoterSet(now, voterSet)
}

// managementInterval returns the time until the next turn. In fleets with
// incremental membership, a voter of a complete voter set that isn't changing takes
// twice as long: it reads only to notice a store that joins.
func (s *Store) managementInterval(voterSet consensus.VoterSet) time.Duration {
	isChanging := voterSet.Number == 0 || len(voterSet.Incoming) > 0
	isComplete := voterSet.HasVoter(s.StoreID()) && len(voterSet.Voters) >= s.replicas
	if s.Incremental && !isChanging && isComplete {
		return 2 * voterManagementInterval
	}
	return voterManagementInterval
}

// voterSetRequestTimeout is how long a request of this store on the voter set may
// take. Every turn of management makes a new one, so that a lost one is no loss.
const voterSetRequestTimeout = 2 * time.Second

// submitVoterSetRequest asks this very store to read or change the voter set's
// register; handleOwnResponse receives the answer. A nil argument is none.
func (s *Store) submitVoterSetRequest(op consensus.Op, argument any) {
	var raw []byte
	if argument != nil {
		// Only messages registered with the wire format come here; if one couldn't be
		// encoded, the empty argument would leave the voter set as it is.
		raw, _ = wire.Encode(argument)
	}
	s.lastRequestID++
	s.Submit(s.now, s.Self.Address, consensus.Request{
		ID: s.lastRequestID, Key: consensus.VoterSetKey, Op: op, Arg: raw,
		TimeoutMillis: uint32(voterSetRequestTimeout.Milliseconds()),
	})
}

// handleOwnResponse adopts the voter set that a majority has agreed on.
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
// rounds under way and passes it on to the voters of both.
func (s *Store) adoptAndForwardVoterSet(now ids.Time, voterSet consensus.VoterSet) {
	previous := s.Acceptor.VoterSet()
	// A blank member of the initial voter set also needs the values that the voter
	// set was formed with: only the Bootstrap message has them.
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

// liveVoters returns the ids of the voters that are live by the membership list,
// with this store's own if it is one.
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

// isCurrentVoter reports whether a store is among the voters of a voter set other
// than those that a joint one brings in.
func isCurrentVoter(voterSet consensus.VoterSet, storeID uint64) bool {
	return slices.ContainsFunc(voterSet.Voters, func(v consensus.Voter) bool { return v.ID == storeID })
}

// formatUint writes a number for a field of the log.
func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
