package store

import (
	"slices"
	"time"

	"dunlinwell/internal/consensus"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
	"dunlinwell/internal/policy"
	"dunlinwell/internal/wire"
)

// keeper founds the voter set, and brings newcomers into it.
type voterManager struct {
	seeds           []ids.Address
	hellos          map[ids.Address]receivedHello
	requests        uint64
	next            ids.Time
	bootstrapAt     ids.Time
	survivingPolicy consensus.PolicyReply
	gone            map[uint64]ids.Time
	learner         learner
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
	// askProxies is how long a founder listens for a policy that survived.
	collectPolicyFor = 1500 * time.Millisecond
	// surelyGone is how long a member must be gone before a newcomer asks
	// for its place; a restart should not cost a copy of everything.
	replaceAfter = 3 * time.Second
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
	if s.Incremental && ro.Number > 0 && len(ro.Incoming) == 0 && ro.Has(s.StoreID()) && len(ro.Voters) >= s.replicas {
		// Nothing is under way; what is read again is only for one that comes.
		s.next = now.Add(2 * manageEvery)
	}
	if ro.Number == 0 {
		s.sendHello()
		s.bootstrapIfDue(now)
		return
	}
	if !ro.Has(s.StoreID()) && s.Standing() != consensus.Replaced {
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
	for _, a := range to {
		s.Send(a, consensus.Hello{Store: s.self(), Blank: ro.Number == 0, VoterSet: ro.Number})
	}
}

// foundIfDue founds only where all three seeds answer and all are blank. Two
// blank and one silent could be a fleet that lost two disks: they wait.
func (s *Store) bootstrapIfDue(now ids.Time) {
	first := consensus.VoterSet{Number: 1}
	for _, a := range s.seeds {
		m, ok := s.hellos[a]
		if !ok || now.Since(m.at) > 2*time.Second || !m.Blank {
			s.bootstrapAt = 0
			s.Log("info", "not founding", "waits", string(a))
			return
		}
		first.Voters = append(first.Voters, m.Store)
	}
	if len(first.Voters) == 0 || s.Self.Address != slices.Min(s.seeds) {
		return
	}
	// What was lost is rebuilt from those who were told.
	for _, m := range s.Live(membership.Proxy) {
		s.Send(m.Address, consensus.PolicyQuery{})
	}
	if s.bootstrapAt == 0 {
		s.bootstrapAt = now
		return
	}
	if now.Since(s.bootstrapAt) < collectPolicyFor {
		return
	}
	// A policy that outlived the core means that marks were lost with it.
	if len(s.survivingPolicy.Policy) > 0 {
		first.Loss = 1
	}
	s.bootstrap(first, s.survivingPolicy.Policy)
	s.Log("info", "founded", "voter_set", "1", "policy", policy.Describe(s.survivingPolicy.Policy))
}

// begin takes up the first voter set, here or at another founding member.
func (s *Store) bootstrap(first consensus.VoterSet, held []byte) {
	raw, err := wire.Encode(first)
	if err != nil {
		return
	}
	// The values are planted before the voter set is: a member that votes has them.
	s.Seed(consensus.VoterSetKey, raw)
	if len(held) > 0 {
		s.Seed(policy.Key, held)
	}
	// Before the first voter set nothing was agreed that a copy could lack.
	if first.Number == 1 {
		s.MarkComplete()
	}
	s.AdoptVoterSet(first)
}

// listen takes what is said between stores about the voter set.
func (s *Store) receiveVoterMessage(now ids.Time, from ids.Address, msg any) {
	ro := s.Acceptor.VoterSet()
	switch m := msg.(type) {
	case consensus.Hello:
		if s.Standing() == consensus.Replaced {
			return
		}
		s.hellos[m.Store.Address] = receivedHello{m, now}
		switch {
		case m.Blank && ro.Number > 0 && ro.Has(m.Store.ID):
			f := consensus.Bootstrap{VoterSet: ro}
			if b, v := s.Value(policy.Key); b == (ids.Ballot{Count: 1}) {
				f.Policy = v
			}
			s.Send(from, f)
		case m.VoterSet < ro.Number && !m.Blank:
			s.Send(from, consensus.VoterSetUpdate{VoterSet: ro})
		case m.Blank && ro.Number > 0 && !m.Response:
			// A newcomer needs the voter set to ask for a place in it.
			s.Send(from, consensus.VoterSetUpdate{VoterSet: ro})
		}
		if !m.Response {
			s.Send(from, consensus.Hello{Store: s.self(), Blank: ro.Number == 0, VoterSet: ro.Number, Response: true})
		}
	case consensus.Bootstrap:
		if ro.Number == 0 && m.VoterSet.Has(s.StoreID()) {
			s.bootstrap(m.VoterSet, m.Policy)
		}
	case consensus.PolicyReply:
		if m.Revision > s.survivingPolicy.Revision {
			s.survivingPolicy = m
		}
	case consensus.VoterSetUpdate:
		s.adoptVoterSet(now, m.VoterSet)
	case consensus.Response:
		if r, ok := consensus.DecodeVoterSet(m.Result); ok && m.State == consensus.Done {
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
	if old.Number == 0 && r.Number == 1 && r.Has(s.StoreID()) {
		return
	}
	if !s.AdoptVoterSet(r) {
		return
	}
	s.Restart(now)
	s.Log("info", "voter_set", "number", itoa(r.Number), "stores", itoa(uint64(len(r.Voters))), "next", itoa(uint64(len(r.Incoming))))
	for _, st := range append(old.All(), r.All()...) {
		if st.ID != s.StoreID() {
			s.Send(st.Address, consensus.VoterSetUpdate{VoterSet: r})
		}
	}
}
