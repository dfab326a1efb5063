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
	requests               uint64
	next                   ids.Time
	founding               founding
	departure              departure
	survivingConfiguration consensus.ConfigurationReply
	gone                   map[uint64]ids.Time
	learner                learner
	// retired: the command to set the folder aside was given.
	retired bool
	// replicas is how many stores there are to be.
	replicas int
	// agreed is when this store last read the voter set from a majority.
	agreed ids.Time
	// refoundAt is when an ordered refounding is due.
	refoundAt ids.Time
}

type receivedHello struct {
	consensus.Hello
	at ids.Time
}

const (
	manageEvery = 500 * time.Millisecond
	// askProxies is how long a founder listens for a configuration that survived.
	collectConfigurationFor = 1500 * time.Millisecond
	// surelyGone is how long a member must be gone before a newcomer asks
	// for its place; a restart should not cost a copy of everything.
	replaceSilentAfter = 3 * time.Second
)

func newVoterManager(seeds []ids.Address) voterManager {
	return voterManager{seeds: seeds, hellos: map[ids.Address]receivedHello{}, gone: map[uint64]ids.Time{}}
}

// keep is the keeper's share of each clock event.
func (s *Store) manageVoters(now ids.Time) {
	if now < s.next {
		return
	}
	s.next = now.Add(manageEvery)
	ro := s.Acceptor.VoterSet()
	if s.Incremental && ro.Number > 0 && len(ro.Incoming) == 0 && ro.HasVoter(s.StoreID()) && len(ro.Voters) >= s.replicas {
		// Nothing is under way; what is read again is only for one that comes.
		s.next = now.Add(2 * manageEvery)
	}
	if ro.Number == 0 {
		s.sendHello()
		s.found(now)
		s.recoverAllIfDue(now)
		return
	}
	if !ro.HasVoter(s.StoreID()) && s.DiskState() != consensus.Replaced {
		s.sendHello()
	}
	s.refoundIfDue(now)
	// Reading the voter set finishes a change whose proposer died half way.
	s.submit(consensus.Read, nil)
	s.replaceLost(now, ro)
}

func (s *Store) self() consensus.Voter {
	return consensus.Voter{ID: s.StoreID(), Address: s.Self.Address}
}

// greet says who we are to the seeds and to every store on the roll.
func (s *Store) sendHello() {
	ro := s.Acceptor.VoterSet()
	to := slices.Clone(s.seeds)
	for _, m := range s.Live(membership.Store) {
		if !slices.Contains(to, m.Address) && m.ID != s.Self.ID {
			to = append(to, m.Address)
		}
	}
	copied := s.DiskState() == consensus.Blank && !ro.HasVoter(s.StoreID()) && s.learner.HasCopiedQuorum(ro)
	for _, a := range to {
		s.Send(a, consensus.Hello{Store: s.self(), Blank: ro.Number == 0, VoterSetNumber: ro.Number, HasCopied: copied})
	}
}

// listen takes what is said between stores about the voter set.
func (s *Store) receiveVoterMessage(now ids.Time, from ids.Address, msg any) {
	ro := s.Acceptor.VoterSet()
	switch m := msg.(type) {
	case consensus.Hello:
		if s.DiskState() == consensus.Replaced {
			return
		}
		s.hellos[m.Store.Address] = receivedHello{m, now}
		switch {
		case m.Blank && ro.Number > 0 && ro.HasVoter(m.Store.ID):
			s.Send(from, s.bootstrapFor(ro))
		case m.VoterSetNumber < ro.Number && !m.Blank:
			s.Send(from, consensus.VoterSetUpdate{VoterSet: ro})
		case m.Blank && ro.Number > 0 && !m.IsReply:
			// A newcomer needs the voter set to ask for a place in it.
			s.Send(from, consensus.VoterSetUpdate{VoterSet: ro})
		}
		if !m.IsReply {
			s.Send(from, consensus.Hello{Store: s.self(), Blank: ro.Number == 0, VoterSetNumber: ro.Number, IsReply: true})
		}
	case consensus.Bootstrap:
		s.takeUp(from, m)
	case consensus.BootstrapRequest:
		s.promiseFounding(from, m)
	case consensus.BootstrapResponse:
		s.countPromise(now, m)
	case consensus.ConfigurationReply:
		if m.Revision > s.survivingConfiguration.Revision {
			s.survivingConfiguration = m
		}
	case consensus.VoterSetUpdate:
		s.adoptVoterSet(now, m.VoterSet)
	case consensus.Response:
		if r, ok := consensus.DecodeVoterSet(m.Result); ok && m.Outcome == consensus.Succeeded {
			s.agreed = now
			s.adoptVoterSet(now, r)
		}
	case consensus.PageResponse:
		s.receivePage(now, m)
	}
}

// adopt takes a higher voter set, starts rounds anew and passes the news on.
func (s *Store) adoptVoterSet(now ids.Time, r consensus.VoterSet) {
	old := s.Acceptor.VoterSet()
	// A blank member of the first voter set has a seat, but wants its founder's
	// planted values with it; News alone would leave them out.
	if old.Number == 0 && r.IsInitial() && r.HasVoter(s.StoreID()) {
		return
	}
	if !s.AdoptVoterSet(r) {
		return
	}
	s.RestartRounds(now)
	s.Log(event.LevelInfo, "voter_set", "number", itoa(r.Number), "stores", itoa(uint64(len(r.Voters))), "next", itoa(uint64(len(r.Incoming))))
	for _, st := range append(old.AllVoters(), r.AllVoters()...) {
		if st.ID != s.StoreID() {
			s.Send(st.Address, consensus.VoterSetUpdate{VoterSet: r})
		}
	}
}
