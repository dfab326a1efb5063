package store

import (
	"strconv"

	"dunlinwell/internal/consensus"
	"dunlinwell/internal/event"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
	"dunlinwell/internal/wire"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// replace asks for a lost member's place, or undoes a replacement whose
// newcomer was lost in its turn.
func (s *Store) replace(now ids.Time, ro consensus.VoterSet) {
	up := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		up[m.Store] = true
	}
	for _, st := range ro.All() {
		if up[st.ID] {
			delete(s.gone, st.ID)
		} else if _, ok := s.gone[st.ID]; !ok {
			s.gone[st.ID] = now
		}
	}
	lost := func(id uint64) bool {
		at, ok := s.gone[id]
		return ok && now.Since(at) >= replaceAfter
	}
	if len(ro.Incoming) > 0 {
		for _, st := range ro.Incoming {
			if lost(st.ID) && !(consensus.VoterSet{Voters: ro.Voters}).Has(st.ID) {
				s.submit(consensus.OpAbandon, consensus.VoterSetNumber{Number: ro.Number})
			}
		}
		return
	}
	if ro.Has(s.StoreID()) {
		return
	}
	for _, st := range ro.Voters {
		if lost(st.ID) {
			s.submit(consensus.OpJoin, consensus.JoinRequest{New: s.self(), Lost: st.ID})
			return
		}
	}
	if len(ro.Voters) < s.replicas {
		s.submit(consensus.OpJoin, consensus.JoinRequest{New: s.self(), Copies: s.replicas})
	}
}

// fetch copies every item from the old members while the voter set is joint, and
// asks for the settling once a majority of them has given all that it holds.
func (s *Store) copyRegisters(now ids.Time, ro consensus.VoterSet) {
	old := consensus.VoterSet{Number: ro.Number, Voters: ro.Voters}
	if len(ro.Incoming) == 0 || old.Has(s.StoreID()) || !ro.Has(s.StoreID()) {
		return
	}
	if s.copyOf != ro.Number {
		s.copyOf, s.copies = ro.Number, map[uint64]*copyProgress{}
		for _, st := range ro.Voters {
			s.copies[st.ID] = &copyProgress{}
		}
	}
	done := map[uint64]bool{}
	for id, t := range s.copies {
		done[id] = t.done
	}
	if old.Majority(done) {
		if s.copied != ro.Number {
			s.copied = ro.Number
			s.Log("info", "copied all items", "voter_set", itoa(ro.Number))
		}
		// Only once the copies are synced may this store count as a member.
		raw, _ := wire.Encode(consensus.VoterSetNumber{Number: ro.Number})
		s.AfterSync(event.Send{To: s.Self.Address, Msg: consensus.Request{ID: 0, Key: consensus.VoterSetKey, Op: consensus.OpFinalize, Arg: raw, Wait: 2000}})
		return
	}
	for _, st := range ro.Voters {
		s.requestPage(st)
	}
}

// turn asks one old member for its next page.
func (s *Store) requestPage(st consensus.Voter) {
	if t := s.copies[st.ID]; t != nil && !t.done {
		s.Send(st.Address, consensus.PageRequest{VoterSet: s.copyOf, After: t.after, Number: t.number})
	}
}

func (s *Store) receivePage(m consensus.PageResponse) {
	t := s.copies[m.Store]
	if t == nil || m.VoterSet != s.copyOf || m.Number != t.number || t.done {
		return
	}
	for _, l := range m.Records {
		s.Merge(l)
		t.after = l.Key
	}
	t.number++
	t.done = m.Last
	for _, st := range s.Acceptor.VoterSet().Voters {
		if st.ID == m.Store {
			s.requestPage(st)
		}
	}
}

// Holds gives this copy's own value for a caller that asked for no more.
func (s *Store) LocalValue(key ids.Key) []byte {
	_, v := s.Value(key)
	return v
}
