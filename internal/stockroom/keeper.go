package stockroom

import (
	"slices"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
)

// keeper founds the roster, and brings newcomers into it.
type keeper struct {
	seeds []ticket.Address
	met   map[ticket.Address]meeting
	asks  uint64
	next  ticket.Tick
	found ticket.Tick
	held  ledger.Held
	gone  map[uint64]ticket.Tick
	pages map[uint64]*transfer
	// copies is how many stores there are to be.
	copies int
	// agreed is when this store last read the roster from a majority.
	agreed ticket.Tick
	// refoundAt is when an ordered refounding is due.
	refoundAt ticket.Tick
	// copied names the joint roster that this newcomer has all items for.
	copied uint64
	copyOf uint64
}

type meeting struct {
	ledger.Hello
	at ticket.Tick
}

type transfer struct {
	after  ticket.Key
	number uint64
	done   bool
}

const (
	keepEvery = 500 * time.Millisecond
	// askCounters is how long a founder listens for a policy that survived.
	askCounters = 1500 * time.Millisecond
	// surelyGone is how long a member must be gone before a newcomer asks
	// for its place; a restart should not cost a copy of everything.
	surelyGone = 3 * time.Second
)

func newKeeper(seeds []ticket.Address) keeper {
	return keeper{seeds: seeds, met: map[ticket.Address]meeting{}, gone: map[uint64]ticket.Tick{}}
}

// keep is the keeper's share of each clock event.
func (s *Stockroom) keep(now ticket.Tick) {
	if now < s.next {
		return
	}
	s.next = now.Add(keepEvery)
	ro := s.Acceptor.Roster()
	if s.Thrifty && ro.Number > 0 && len(ro.Next) == 0 && ro.Has(s.Store()) && len(ro.Stores) >= s.copies {
		// Nothing is under way; what is read again is only for one that comes.
		s.next = now.Add(2 * keepEvery)
	}
	if ro.Number == 0 {
		s.greet()
		s.foundIfDue(now)
		return
	}
	if !ro.Has(s.Store()) {
		s.greet()
	}
	s.refoundIfDue(now)
	// Reading the roster finishes a change whose proposer died half way.
	s.ask(ledger.Read, nil)
	s.replace(now, ro)
	s.fetch(now, ro)
}

func (s *Stockroom) self() ledger.Store {
	return ledger.Store{ID: s.Store(), Address: s.Self.Address}
}

// greet says who we are to the seeds and to every stockroom on the roll.
func (s *Stockroom) greet() {
	ro := s.Acceptor.Roster()
	to := slices.Clone(s.seeds)
	for _, m := range s.Live(rollcall.Stockroom) {
		if !slices.Contains(to, m.Address) && m.ID != s.Self.ID {
			to = append(to, m.Address)
		}
	}
	for _, a := range to {
		s.Tell(a, ledger.Hello{Store: s.self(), Blank: ro.Number == 0, Roster: ro.Number})
	}
}

// foundIfDue founds only where all three seeds answer and all are blank. Two
// blank and one silent could be a fleet that lost two disks: they wait.
func (s *Stockroom) foundIfDue(now ticket.Tick) {
	first := ledger.Roster{Number: 1}
	for _, a := range s.seeds {
		m, ok := s.met[a]
		if !ok || now.Since(m.at) > 2*time.Second || !m.Blank {
			s.found = 0
			s.Say("info", "not founding", "waits", string(a))
			return
		}
		first.Stores = append(first.Stores, m.Store)
	}
	if len(first.Stores) == 0 || s.Self.Address != slices.Min(s.seeds) {
		return
	}
	// What was lost is rebuilt from those who were told.
	for _, m := range s.Live(rollcall.Counter) {
		s.Tell(m.Address, ledger.WhoHolds{})
	}
	if s.found == 0 {
		s.found = now
		return
	}
	if now.Since(s.found) < askCounters {
		return
	}
	// A policy that outlived the core means that marks were lost with it.
	if len(s.held.Policy) > 0 {
		first.Loss = 1
	}
	s.begin(first, s.held.Policy)
	s.Say("info", "founded", "roster", "1", "policy", catalogue.Describe(s.held.Policy))
}

// begin takes up the first roster, here or at another founding member.
func (s *Stockroom) begin(first ledger.Roster, policy []byte) {
	raw, err := parcel.Pack(first)
	if err != nil {
		return
	}
	// The values are planted before the roster is: a member that votes has them.
	s.Plant(ledger.RosterKey, raw)
	if len(policy) > 0 {
		s.Plant(catalogue.Key, policy)
	}
	s.Adopt(first)
}

// listen takes what is said between stockrooms about the roster.
func (s *Stockroom) listen(now ticket.Tick, from ticket.Address, msg any) {
	ro := s.Acceptor.Roster()
	switch m := msg.(type) {
	case ledger.Hello:
		s.met[m.Store.Address] = meeting{m, now}
		switch {
		case m.Blank && ro.Number > 0 && ro.Has(m.Store.ID):
			f := ledger.Found{Roster: ro}
			if b, v := s.Value(catalogue.Key); b == (ticket.Ballot{Count: 1}) {
				f.Policy = v
			}
			s.Tell(from, f)
		case m.Roster < ro.Number && !m.Blank:
			s.Tell(from, ledger.News{Roster: ro})
		case m.Blank && ro.Number > 0 && !m.Response:
			// A newcomer needs the roster to ask for a place in it.
			s.Tell(from, ledger.News{Roster: ro})
		}
		if !m.Response {
			s.Tell(from, ledger.Hello{Store: s.self(), Blank: ro.Number == 0, Roster: ro.Number, Response: true})
		}
	case ledger.Found:
		if ro.Number == 0 && m.Roster.Has(s.Store()) {
			s.begin(m.Roster, m.Policy)
		}
	case ledger.Held:
		if m.Revision > s.held.Revision {
			s.held = m
		}
	case ledger.News:
		s.adopt(now, m.Roster)
	case ledger.Told:
		if r, ok := ledger.OpenRoster(m.Out); ok && m.State == ledger.Done {
			s.agreed = now
			s.adopt(now, r)
		}
	case ledger.Leaves:
		s.leaves(m)
	}
}

// adopt takes a higher roster, starts rounds anew and passes the news on.
func (s *Stockroom) adopt(now ticket.Tick, r ledger.Roster) {
	old := s.Acceptor.Roster()
	// A blank member of the first roster has a seat, but wants its founder's
	// planted values with it; News alone would leave them out.
	if old.Number == 0 && r.Number == 1 && r.Has(s.Store()) {
		return
	}
	if !s.Adopt(r) {
		return
	}
	s.Restart(now)
	s.Say("info", "roster", "number", itoa(r.Number), "stores", itoa(uint64(len(r.Stores))), "next", itoa(uint64(len(r.Next))))
	for _, st := range append(old.All(), r.All()...) {
		if st.ID != s.Store() {
			s.Tell(st.Address, ledger.News{Roster: r})
		}
	}
}
