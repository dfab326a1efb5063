package store

import (
	"fmt"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// founding is a blank store's part in making the first voter set. It takes
// three things: leave (the setting, or the record of it on this very disk), no
// sign of an earlier core at any seed, and a synced promise of every seed to
// one and the same proposal.
type founding struct {
	// allowed: this disk was first started with leave to found.
	allowed  bool
	recorded bool
	record   consensus.BootstrapRecord
	// request is what this store proposes as the founder, since a time.
	request  consensus.BootstrapRequest
	since    ids.Time
	promised map[uint64]bool
	// waits is why there was no founding when last looked.
	waits string
}

const (
	foundingKey = ids.RegisterKey("meta/founding")
	// helloFor is how long a store's hello says that it is there.
	helloFor = 2 * time.Second
)

// loadFounding takes up where the disk left off.
func loadFounding(disk consensus.Storage, leave bool) founding {
	raw, _ := disk.Get(foundingKey)
	_, msg, err := wire.ReadBytes(raw)
	record, ok := msg.(consensus.BootstrapRecord)
	ok = ok && err == nil
	return founding{allowed: leave || ok, recorded: ok, record: record, promised: map[uint64]bool{}}
}

// found is a blank store's share of each round of management.
func (s *Store) found(now ids.Time) {
	if s.founding.allowed && !s.founding.recorded {
		s.founding.recorded = true
		s.Persist(foundingKey, s.founding.record)
	}
	s.noteEarlierCore()
	s.explainWait(s.whyNotFounding(now))
	if s.founding.request.Round != 0 && s.founding.waits == "" {
		s.propose(now)
	}
}

// explainWait logs a new reason to wait, once.
func (s *Store) explainWait(why string) {
	if why != "" && why != s.founding.waits {
		s.Log(event.LevelInfo, "not founding", "waits", why)
	}
	s.founding.waits = why
}

// whyNotFounding prepares the proposal, or says what is in its way.
func (s *Store) whyNotFounding(now ids.Time) string {
	switch {
	case !s.founding.allowed:
		return "this is no first start: a core must take this store in"
	case s.founding.record.ExistingCluster != "":
		return s.founding.record.ExistingCluster
	case len(s.seeds) == 0 || s.Self.Address != slices.Min(s.seeds):
		return "the first of the seeds founds"
	}
	first := consensus.VoterSet{Number: 1}
	for _, a := range s.seeds {
		m, ok := s.hellos[a]
		if !ok || now.Sub(m.at) > helloFor || !m.Blank {
			s.founding.request = consensus.BootstrapRequest{}
			return string(a)
		}
		first.Voters = append(first.Voters, m.Store)
	}
	if s.founding.request.Round == 0 || !s.founding.request.VoterSet.SameVoters(first) {
		s.proposeRound(now, s.founding.record.Round+1, first)
	}
	return ""
}

// proposeRound begins a proposal; promises to another count for nothing in it.
func (s *Store) proposeRound(now ids.Time, round uint64, first consensus.VoterSet) {
	s.founding.request = consensus.BootstrapRequest{Round: round, VoterSet: first}
	s.founding.since = now
	s.founding.promised = map[uint64]bool{}
}

// propose asks those who haven't promised, and founds once all have and the
// roll had its time to bring signs of an earlier core.
func (s *Store) propose(now ids.Time) {
	r := s.founding.request
	for _, v := range r.VoterSet.Voters {
		if !s.founding.promised[v.ID] {
			s.Send(v.Address, r)
		}
	}
	ready := len(s.founding.promised) == len(r.VoterSet.Voters) && s.founding.record.IsLastPromised(r)
	if !ready || now.Sub(s.founding.since) < collectConfigurationFor {
		return
	}
	s.bootstrap(consensus.Bootstrap{VoterSet: r.VoterSet, Round: r.Round})
	s.Log(event.LevelInfo, "founded", "voter_set", "1")
	for _, v := range r.VoterSet.Voters {
		if v.ID != s.StoreID() {
			s.Send(v.Address, consensus.Bootstrap{VoterSet: r.VoterSet, Round: r.Round})
		}
	}
}

// promiseFounding answers a founder.
func (s *Store) promiseFounding(from ids.Address, r consensus.BootstrapRequest) {
	if ro := s.Acceptor.VoterSet(); ro.Number > 0 {
		s.Send(from, consensus.VoterSetUpdate{VoterSet: ro})
		return
	}
	s.noteEarlierCore()
	out := consensus.BootstrapResponse{Round: r.Round, VoterSet: r.VoterSet, Store: s.StoreID(), PromisedRound: s.founding.record.Round}
	if out.Rejection = s.rejectsFounding(r); out.Rejection != "" {
		s.Send(from, out)
		return
	}
	record, why := s.founding.record.Promise(r)
	out.Rejection, out.PromisedRound = why, record.Round
	if why == "" {
		s.founding.record, s.founding.recorded = record, true
		s.Persist(foundingKey, record)
	}
	s.AfterSync(sendTo(from, out))
}

// rejectsFounding says what keeps this store from any part in the founding.
func (s *Store) rejectsFounding(r consensus.BootstrapRequest) string {
	var at []ids.Address
	for _, v := range r.VoterSet.Voters {
		at = append(at, v.Address)
	}
	slices.Sort(at)
	switch {
	case !s.founding.allowed:
		return "no first start"
	case s.founding.record.ExistingCluster != "":
		return s.founding.record.ExistingCluster
	case !slices.Equal(at, slices.Sorted(slices.Values(s.seeds))):
		return "other seeds"
	case !r.VoterSet.HasVoter(s.StoreID()):
		return "another disk"
	}
	return ""
}

// countPromise takes a seed's answer to this founder.
func (s *Store) countPromise(now ids.Time, m consensus.BootstrapResponse) {
	r := s.founding.request
	switch {
	case s.Acceptor.VoterSet().Number > 0 || r.Round != m.Round || !r.VoterSet.SameVoters(m.VoterSet):
	case m.Rejection == "":
		s.founding.promised[m.Store] = true
	default:
		s.Log(event.LevelInfo, "founding declined", "store", itoa(m.Store), "why", m.Rejection)
		if m.PromisedRound >= r.Round {
			s.proposeRound(now, m.PromisedRound+1, r.VoterSet)
		}
	}
}

// noteEarlierCore keeps on the disk that a core was seen to exist: someone
// holds a configuration that was accepted, or a store has a vote in a voter set that
// this store didn't help to found. Such a disk never founds by itself.
func (s *Store) noteEarlierCore() {
	if s.founding.record.ExistingCluster != "" {
		return
	}
	why := ""
	for _, m := range s.All() {
		switch {
		case m.ID == s.Self.ID:
		case m.Revision > 0:
			why = fmt.Sprintf("%s holds an accepted policy", m.ID)
		case m.Role == membership.Store && m.Ready && !s.founding.record.IncludesStore(m.Store):
			why = fmt.Sprintf("%s has a vote in an earlier core", m.ID)
		}
	}
	if why != "" {
		s.founding.record.ExistingCluster = why
		s.Persist(foundingKey, s.founding.record)
	}
}

// takeUp makes a blank store a member of the voter set that it was founded into.
func (s *Store) takeUp(from ids.Address, m consensus.Bootstrap) {
	if s.Acceptor.VoterSet().Number > 0 || !m.VoterSet.HasVoter(s.StoreID()) {
		return
	}
	for _, v := range m.VoterSet.AllVoters() {
		if v.Address == from && s.founding.record.MayAdopt(m, v) {
			s.bootstrap(m)
			return
		}
	}
}

// bootstrap takes up the first voter set, here or at another founding member.
func (s *Store) bootstrap(m consensus.Bootstrap) {
	raw, err := wire.Encode(m.VoterSet)
	if err != nil {
		return
	}
	if m.Round > 0 {
		s.founding.record.Round = m.Round
		s.Persist(foundingKey, s.founding.record)
	}
	// The values are planted before the voter set is: a member that votes has them.
	s.Seed(consensus.VoterSetKey, raw)
	if len(m.Configuration) > 0 {
		s.Seed(configuration.Key, m.Configuration)
	}
	// Before the first voter set nothing was agreed that a copy could lack.
	if m.VoterSet.IsInitial() {
		s.MarkComplete()
	}
	s.AdoptVoterSet(m.VoterSet)
}

// bootstrapFor is what a member that has no values yet is to take up.
func (s *Store) bootstrapFor(ro consensus.VoterSet) consensus.Bootstrap {
	b := consensus.Bootstrap{VoterSet: ro, Round: s.founding.record.Round}
	if at, v := s.AcceptedValue(configuration.Key); at == (ids.Ballot{Counter: 1}) {
		b.Configuration = v
	}
	return b
}
