package stockroom

import (
	"strconv"

	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// replace asks for a lost member's place, or undoes a replacement whose
// newcomer was lost in its turn.
func (s *Stockroom) replace(now ticket.Tick, ro ledger.Roster) {
	up := map[uint64]bool{}
	for _, m := range s.Live(rollcall.Stockroom) {
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
		return ok && now.Since(at) >= surelyGone
	}
	if len(ro.Next) > 0 {
		for _, st := range ro.Next {
			if lost(st.ID) && !(ledger.Roster{Stores: ro.Stores}).Has(st.ID) {
				s.ask(ledger.OpAbandon, ledger.Number{Number: ro.Number})
			}
		}
		return
	}
	if ro.Has(s.Store()) {
		return
	}
	for _, st := range ro.Stores {
		if lost(st.ID) {
			s.ask(ledger.OpJoin, ledger.Joining{New: s.self(), Lost: st.ID})
			return
		}
	}
	if len(ro.Stores) < s.copies {
		s.ask(ledger.OpJoin, ledger.Joining{New: s.self(), Copies: s.copies})
	}
}

// fetch copies every item from the old members while the roster is joint, and
// asks for the settling once a majority of them has given all that it holds.
func (s *Stockroom) fetch(now ticket.Tick, ro ledger.Roster) {
	old := ledger.Roster{Number: ro.Number, Stores: ro.Stores}
	if len(ro.Next) == 0 || old.Has(s.Store()) || !ro.Has(s.Store()) {
		return
	}
	if s.copyOf != ro.Number {
		s.copyOf, s.pages = ro.Number, map[uint64]*transfer{}
		for _, st := range ro.Stores {
			s.pages[st.ID] = &transfer{}
		}
	}
	done := map[uint64]bool{}
	for id, t := range s.pages {
		done[id] = t.done
	}
	if old.Majority(done) {
		if s.copied != ro.Number {
			s.copied = ro.Number
			s.Say("info", "copied all items", "roster", itoa(ro.Number))
		}
		// Only once the copies are synced may this store count as a member.
		raw, _ := parcel.Pack(ledger.Number{Number: ro.Number})
		s.Behind(works.Send{To: s.Self.Address, Msg: ledger.Ask{ID: 0, Key: ledger.RosterKey, Op: ledger.OpSettle, Arg: raw, Wait: 2000}})
		return
	}
	for _, st := range ro.Stores {
		s.turn(st)
	}
}

// turn asks one old member for its next page.
func (s *Stockroom) turn(st ledger.Store) {
	if t := s.pages[st.ID]; t != nil && !t.done {
		s.Tell(st.Address, ledger.Page{Roster: s.copyOf, After: t.after, Number: t.number})
	}
}

func (s *Stockroom) leaves(m ledger.Leaves) {
	t := s.pages[m.Store]
	if t == nil || m.Roster != s.copyOf || m.Number != t.number || t.done {
		return
	}
	for _, l := range m.List {
		s.Merge(l)
		t.after = l.Key
	}
	t.number++
	t.done = m.Last
	for _, st := range s.Acceptor.Roster().Stores {
		if st.ID == m.Store {
			s.turn(st)
		}
	}
}

// Holds gives this copy's own value for a caller that asked for no more.
func (s *Stockroom) Holds(key ticket.Key) []byte {
	_, v := s.Value(key)
	return v
}
