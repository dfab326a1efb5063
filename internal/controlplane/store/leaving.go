package store

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// Leave tells this store that its process is to end, at the latest after a while.
type Leave struct{ Within time.Duration }

// MayStop says that the process may end: this store isn't needed any more, or its
// time is up.
type MayStop struct{}

// departure is how far a store that is to end has come.
type departure struct {
	until ids.Time
	// next is when the voter set is asked or changed once more.
	next ids.Time
	// successor is the store that the vote was offered to last.
	successor uint64
	// stays is why this store went on when last looked.
	stays string
	ended bool
}

// handOverEvery is how often a leaving store tries to hand its vote over.
const handOverEvery = 100 * time.Millisecond

// leave takes the order to end. It may be repeated.
func (s *Store) leave(now ids.Time, order Leave) {
	if s.departure.until == 0 {
		s.departure.until = now.Add(order.Within)
	}
	s.leaveIfDue(now)
}

// leaveIfDue ends the run once nothing needs it, and works towards that.
func (s *Store) leaveIfDue(now ids.Time) {
	d := &s.departure
	if d.until == 0 || d.ended {
		return
	}
	why := s.neededFor(now)
	if why != d.stays && why != "" {
		s.Log(event.LevelInfo, "stays for now", "why", why)
	}
	d.stays = why
	if why == "" || now >= d.until {
		d.ended = true
		s.Log(event.LevelInfo, "may stop", "needed", why)
		s.Emit(MayStop{})
		return
	}
	if now >= d.next {
		d.next = now.Add(handOverEvery)
		s.handOver(now)
	}
}

// neededFor says why the process shouldn't end yet; empty if it may.
func (s *Store) neededFor(now ids.Time) string {
	set := s.Acceptor.VoterSet()
	if !set.HasVoter(s.StoreID()) {
		if slices.Contains(set.Learners, s.departure.successor) {
			return "its successor still copies"
		}
		return ""
	}
	if _, ok := s.standby(now, set); ok {
		return "hands its vote over"
	}
	if !s.othersSuffice(set) {
		return "too few voters would be left"
	}
	return ""
}

// handOver gives this store's place to one that stands by, or else reads the
// voter set, to see what has become of it.
func (s *Store) handOver(now ids.Time) {
	set := s.Acceptor.VoterSet()
	successor, ok := s.standby(now, set)
	if !ok || !set.HasVoter(s.StoreID()) {
		s.submit(consensus.Read, nil)
		return
	}
	s.departure.successor = successor.ID
	s.submit(consensus.OpReplace, consensus.ReplaceRequest{New: successor, LostID: s.StoreID(), Replicas: s.replicas})
}

// standby finds a store that has copied and waits for a place. As many of them as
// there are silent voters are left for those: their places come first.
func (s *Store) standby(now ids.Time, set consensus.VoterSet) (consensus.Voter, bool) {
	var ready []consensus.Voter
	for _, m := range s.hellos {
		if m.HasCopied && now.Sub(m.at) < helloFor && !set.HasVoter(m.Store.ID) {
			ready = append(ready, m.Store)
		}
	}
	slices.SortFunc(ready, func(a, b consensus.Voter) int { return cmp.Compare(a.ID, b.ID) })
	silent := len(set.Voters) - len(s.liveVoters(set))
	if silent >= len(ready) {
		return consensus.Voter{}, false
	}
	return ready[0], true
}

// othersSuffice tells whether a majority is left without this store, of voters
// that are up and have their copy.
func (s *Store) othersSuffice(set consensus.VoterSet) bool {
	live := s.liveVoters(set)
	delete(live, s.StoreID())
	for _, id := range set.Learners {
		delete(live, id)
	}
	return set.IsQuorum(live)
}

// liveVoters gives the voters that the roll counts as up, and this store.
func (s *Store) liveVoters(set consensus.VoterSet) map[uint64]bool {
	live := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		if (consensus.VoterSet{Voters: set.Voters}).HasVoter(m.Store) {
			live[m.Store] = true
		}
	}
	if set.HasVoter(s.StoreID()) {
		live[s.StoreID()] = true
	}
	return live
}
