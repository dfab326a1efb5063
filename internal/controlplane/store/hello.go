package store

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// helloLifetime is how long a hello counts as evidence that its store is running. It is
// four times the sending interval (voterManagementInterval), since hellos may be lost.
const helloLifetime = 2 * time.Second

// receivedHello is a store's last hello, and when it was received.
type receivedHello struct {
	consensus.Hello
	receivedAt ids.Time
}

// isRecent reports whether the hello was received within helloLifetime.
func (h receivedHello) isRecent(now ids.Time) bool {
	return now.Sub(h.receivedAt) < helloLifetime
}

// broadcastHello announces this store, which has no vote, to the seeds and to every store
// in the membership list.
func (s *Store) broadcastHello() {
	voterSet := s.Acceptor.VoterSet()
	addresses := slices.Clone(s.bootstrapSeeds)
	for _, m := range s.Live(membership.Store) {
		if !slices.Contains(addresses, m.Address) && m.ID != s.Self.ID {
			addresses = append(addresses, m.Address)
		}
	}
	copied := s.isStandby()
	for _, address := range addresses {
		s.Send(address, consensus.Hello{Store: s.selfVoter(), Blank: voterSet.Number == 0, VoterSetNumber: voterSet.Number, HasCopied: copied})
	}
}

// handleHello records the hello, sends the voter set to a sender that lacks it, and replies
// with a hello unless the received one is itself a reply.
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
		// A blank store needs the voter set to copy from its voters and to ask to join.
		s.Send(from, consensus.VoterSetUpdate{VoterSet: voterSet})
	}
	if !m.IsReply {
		s.Send(from, consensus.Hello{Store: s.selfVoter(), Blank: voterSet.Number == 0, VoterSetNumber: voterSet.Number, IsReply: true})
	}
}

// recentStores returns the stores outside the voter set whose hello is recent and meets
// the condition, sorted by ID.
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
