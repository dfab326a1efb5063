package store

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// helloLifetime is how long a hello counts as a sign that its store is there: four times
// the interval at which they are sent (voterManagementInterval), as some may be lost.
const helloLifetime = 2 * time.Second

// receivedHello is a store's last hello, and when it came.
type receivedHello struct {
	consensus.Hello
	receivedAt ids.Time
}

// isRecent reports whether the hello came within its lifetime.
func (h receivedHello) isRecent(now ids.Time) bool {
	return now.Sub(h.receivedAt) < helloLifetime
}

// broadcastHello introduces this store, which has no vote, to the seeds and to every
// store of the membership list.
func (s *Store) broadcastHello() {
	voterSet := s.Acceptor.VoterSet()
	addresses := slices.Clone(s.bootstrapSeeds)
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

// handleHello notes the sender, brings it up to date with the voter set, and answers
// with a hello of its own unless the hello is an answer itself.
func (s *Store) handleHello(now ids.Time, from ids.Address, m consensus.Hello) {
	if s.DiskState() == consensus.Replaced {
		return
	}
	voterSet := s.Acceptor.VoterSet()
	s.hellos[m.Store.Address] = receivedHello{m, now}
	switch {
	case m.Blank && voterSet.Number > 0 && voterSet.HasVoter(m.Store.ID):
		s.Send(from, s.bootstrapMessage(voterSet))
	case m.VoterSetNumber < voterSet.Number && !m.Blank:
		s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
	case m.Blank && voterSet.Number > 0 && !m.IsReply:
		// A blank store needs the voter set to copy from it and to ask to join it.
		s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
	}
	if !m.IsReply {
		s.Send(from, consensus.Hello{Store: s.selfVoter(), Blank: voterSet.Number == 0, VoterSetNumber: voterSet.Number, IsReply: true})
	}
}

// recentStores returns the stores without a vote in the voter set whose hello is
// recent and meets a condition, in order of their ids.
func (s *Store) recentStores(now ids.Time, condition func(consensus.Hello) bool) []consensus.Voter {
	voterSet := s.Acceptor.VoterSet()
	var stores []consensus.Voter
	for _, hello := range s.hellos {
		if hello.isRecent(now) && !voterSet.HasVoter(hello.Store.ID) && condition(hello.Hello) {
			stores = append(stores, hello.Store)
		}
	}
	slices.SortFunc(stores, func(a, b consensus.Voter) int { return cmp.Compare(a.ID, b.ID) })
	return stores
}
