// Package stockroom is the durable store: an acceptor, a proposer, the roll,
// and the keeper of the roster, as one pure machine.
package stockroom

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/duty"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/till"
	"dunlinwell/internal/works"
)

// Params are the options of a stockroom.
type Params struct {
	rollcall.Params
	// Store is the id made with the data folder; Run counts its starts.
	Store uint64
	Run   uint64
	Dice  *rand.Rand
	Shelf ledger.Shelf
	// Copies is how many stores keep each item, 3 or more.
	Copies int
}

// Stockroom is the machine.
type Stockroom struct {
	works.Out
	*rollcall.Roll
	*ledger.Acceptor
	*ledger.Proposer
	keeper
	memory
	now ticket.Tick
	// owed is the oldest turn that the disk has not done, and since when.
	owed  []debt
	tired bool
	// lossSeen and lossAt tell since when marks may have been lost.
	lossSeen uint64
	lossAt   ticket.Tick
}

type debt struct {
	turn uint64
	at   ticket.Tick
}

// Ops are all the change functions that stockrooms know.
func Ops() map[ledger.Op]ledger.Func {
	ops := ledger.RosterOps()
	for k, f := range catalogue.Ops() {
		ops[k] = f
	}
	for k, f := range duty.Ops() {
		ops[k] = f
	}
	for k, f := range till.Ops() {
		ops[k] = f
	}
	return ops
}

// New makes a stockroom on what its shelf holds.
func New(p Params) *Stockroom {
	s := &Stockroom{}
	p.Self.Role, p.Self.Store = rollcall.Stockroom, p.Store
	founders := p.Seeds
	p.Seeds = append(slices.Clone(p.Seeds), remembered(p.Shelf, p.Self.Address)...)
	s.Roll = rollcall.New(p.Params, &s.Out)
	s.Acceptor = ledger.NewAcceptor(p.Store, p.Shelf, &s.Out)
	s.Proposer = ledger.NewProposer(p.Store<<24|p.Run&0xffffff, s.Acceptor.Roster, s.lossy(Ops()), p.Dice, &s.Out)
	s.Proposer.Reached = s.live
	s.Proposer.Audience = s.audience
	s.keeper = newKeeper(founders)
	s.keeper.copies = p.Copies
	return s
}

// Teach replaces change functions, so that tests can plant a defect.
func (s *Stockroom) Teach(ops map[ledger.Op]ledger.Func) { s.Learn(ops) }

// live tells whether a store's daemon is up, by the roll.
func (s *Stockroom) live(store uint64) bool {
	for _, m := range s.Live(rollcall.Stockroom) {
		if m.Store == store {
			return m.Ready
		}
	}
	return false
}

// audience names who must hear of a new value at once.
func (s *Stockroom) audience(key ticket.Key) []ticket.Address {
	if key != catalogue.Key {
		return nil
	}
	var out []ticket.Address
	for _, m := range s.Live(rollcall.Foreman) {
		out = append(out, m.Address)
	}
	return out
}

// Step is the machine's one entrance.
func (s *Stockroom) Step(now ticket.Tick, ev works.Event) []works.Command {
	s.now = now
	switch e := ev.(type) {
	case works.Heard:
		s.hear(now, e.From, e.Msg)
	case works.Settled:
		s.Acceptor.Settled(e.Turn)
		for len(s.owed) > 0 && s.owed[0].turn <= e.Turn {
			s.owed = s.owed[1:]
		}
	case Refound:
		s.refound(now, e)
	case works.ClockEvent:
		// A disk that can't sync for a second must not claim health.
		tired := len(s.owed) > 0 && now.Since(s.owed[0].at) > time.Second
		if tired != s.tired {
			s.Say("warn", "disk", "stalled", map[bool]string{true: "yes", false: "no"}[tired])
		}
		s.tired = tired
		s.Announce(!tired && s.Acceptor.Roster().Has(s.Store()), 0)
		s.Roll.Clock(now)
		s.Proposer.Clock(now)
		s.keep(now)
		s.remember(now)
	}
	out := s.Take()
	for _, c := range out {
		if w, ok := c.(works.Settle); ok {
			s.owed = append(s.owed, debt{w.Turn, now})
		}
	}
	return out
}

func (s *Stockroom) hear(now ticket.Tick, from ticket.Address, msg any) {
	if s.tired && needsDisk(msg) {
		// Others go on without this copy; what waited for its disk would be old.
		return
	}
	switch m := msg.(type) {
	case ledger.Prepare:
		s.Prepare(from, m)
	case ledger.Accept:
		s.Accept(from, m)
	case ledger.Promise:
		s.Promised(now, m)
	case ledger.Accepted:
		s.Accepted(now, m)
	case ledger.Page:
		s.Page(from, m)
	case ledger.Ask:
		// A proposer whose own disk is stuck would only hold the asker up.
		if s.tired {
			s.Tell(from, ledger.Told{ID: m.ID, Try: m.Try, State: ledger.Declined})
			return
		}
		s.Ask(now, from, m)
	case ledger.Told, ledger.News, ledger.Hello, ledger.Found, ledger.Held, ledger.Leaves:
		s.listen(now, from, msg)
	default:
		s.Roll.Hear(now, from, msg)
	}
}

// needsDisk tells whether a message can't be answered without the disk.
func needsDisk(msg any) bool {
	switch msg.(type) {
	case ledger.Prepare, ledger.Accept, ledger.Page:
		return true
	}
	return false
}

// ask sends a wish of the keeper's own to this very stockroom.
func (s *Stockroom) ask(op ledger.Op, arg any) {
	var raw []byte
	if arg != nil {
		raw, _ = parcel.Pack(arg)
	}
	s.asks++
	s.Ask(s.now, s.Self.Address, ledger.Ask{ID: s.asks, Key: ledger.RosterKey, Op: op, Arg: raw, Wait: 2000})
}
