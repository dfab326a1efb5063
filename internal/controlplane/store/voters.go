package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// keeper founds the voter set, and brings newcomers into it.
type voterManager struct {
	seeds                  []ids.Address
	hellos                 map[ids.Address]receivedHello
	lastRequestID          uint64
	nextManageAt           ids.Time
	bootstrap              bootstrapState
	departure              departure
	survivingConfiguration consensus.ConfigurationReply
	silentSince            map[uint64]ids.Time
	learner                learner
	// retired: the command to set the folder aside was given.
	retireOrdered bool
	// replicas is how many stores there are to be.
	replicas int
	// lastQuorumReadAt is when this store last read the voter set from a majority.
	lastQuorumReadAt ids.Time
	// recoverAt is when an ordered refounding is due.
	recoverAt ids.Time
}

type receivedHello struct {
	consensus.Hello
	receivedAt ids.Time
}

const (
	voterManagementInterval = 500 * time.Millisecond
	// askProxies is how long a founder listens for a configuration that survived.
	configurationCollectTime = 1500 * time.Millisecond
	// surelyGone is how long a member must be gone before a newcomer asks
	// for its place; a restart should not cost a copy of everything.
	silentVoterTimeout = 3 * time.Second
)

func newVoterManager(seeds []ids.Address) voterManager {
	return voterManager{seeds: seeds, hellos: map[ids.Address]receivedHello{}, silentSince: map[uint64]ids.Time{}}
}

// keep is the keeper's share of each clock event.
func (s *Store) manageVoters(now ids.Time) {
	if now < s.nextManageAt {
		return
	}
	s.nextManageAt = now.Add(voterManagementInterval)
	voterSet := s.Acceptor.VoterSet()
	if s.Incremental && voterSet.Number > 0 && len(voterSet.Incoming) == 0 && voterSet.HasVoter(s.StoreID()) && len(voterSet.Voters) >= s.replicas {
		// Nothing is under way; what is read again is only for one that comes.
		s.nextManageAt = now.Add(2 * voterManagementInterval)
	}
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
	s.replaceLostVoter(now, voterSet)
}

func (s *Store) selfVoter() consensus.Voter {
	return consensus.Voter{ID: s.StoreID(), Address: s.Self.Address}
}

// greet says who we are to the seeds and to every store on the roll.
func (s *Store) broadcastHello() {
	voterSet := s.Acceptor.VoterSet()
	addresses := slices.Clone(s.seeds)
	for _, m := range s.Live(membership.Store) {
		if !slices.Contains(addresses, m.Address) && m.ID != s.Self.ID {
			addresses = append(addresses, m.Address)
		}
	}
	copied := s.DiskState() == consensus.Blank && !voterSet.HasVoter(s.StoreID()) && s.learner.HasCopiedQuorum(voterSet)
	for _, address := range addresses {
		s.Send(address, consensus.Hello{Store: s.selfVoter(), Blank: voterSet.Number == 0, VoterSetNumber: voterSet.Number, HasCopied: copied})
	}
}

// listen takes what is said between stores about the voter set.
func (s *Store) receiveVoterMessage(now ids.Time, from ids.Address, msg any) {
	voterSet := s.Acceptor.VoterSet()
	switch m := msg.(type) {
	case consensus.Hello:
		if s.DiskState() == consensus.Replaced {
			return
		}
		s.hellos[m.Store.Address] = receivedHello{m, now}
		switch {
		case m.Blank && voterSet.Number > 0 && voterSet.HasVoter(m.Store.ID):
			s.Send(from, s.bootstrapMessage(voterSet))
		case m.VoterSetNumber < voterSet.Number && !m.Blank:
			s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
		case m.Blank && voterSet.Number > 0 && !m.IsReply:
			// A newcomer needs the voter set to ask for a place in it.
			s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
		}
		if !m.IsReply {
			s.Send(from, consensus.Hello{Store: s.selfVoter(), Blank: voterSet.Number == 0, VoterSetNumber: voterSet.Number, IsReply: true})
		}
	case consensus.Bootstrap:
		s.handleBootstrap(from, m)
	case consensus.BootstrapRequest:
		s.handleFoundingRequest(from, m)
	case consensus.BootstrapResponse:
		s.handleFoundingResponse(now, m)
	case consensus.ConfigurationReply:
		if m.Revision > s.survivingConfiguration.Revision {
			s.survivingConfiguration = m
		}
	case consensus.VoterSetUpdate:
		s.adoptVoterSet(now, m.VoterSet)
	case consensus.Response:
		if r, ok := consensus.DecodeVoterSet(m.Result); ok && m.Outcome == consensus.Succeeded {
			s.lastQuorumReadAt = now
			s.adoptVoterSet(now, r)
		}
	case consensus.PageResponse:
		s.handlePage(now, m)
	}
}

// adopt takes a higher voter set, starts rounds anew and passes the news on.
func (s *Store) adoptVoterSet(now ids.Time, voterSet consensus.VoterSet) {
	previous := s.Acceptor.VoterSet()
	// A blank member of the first voter set has a seat, but wants its founder's
	// planted values with it; News alone would leave them out.
	if previous.Number == 0 && voterSet.IsInitial() && voterSet.HasVoter(s.StoreID()) {
		return
	}
	if !s.AdoptVoterSet(voterSet) {
		return
	}
	s.RestartRounds(now)
	s.Log(event.LevelInfo, "voter_set", "number", formatUint(voterSet.Number), "stores", formatUint(uint64(len(voterSet.Voters))), "next", formatUint(uint64(len(voterSet.Incoming))))
	for _, voter := range append(previous.AllVoters(), voterSet.AllVoters()...) {
		if voter.ID != s.StoreID() {
			s.Send(voter.Address, consensus.VoterSetUpdate{VoterSet: voterSet})
		}
	}
}
