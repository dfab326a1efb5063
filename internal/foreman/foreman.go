// Package foreman is the registry: targets, liveness, the directory, the
// spill planner and every outside control call, as one pure machine.
package foreman

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/duty"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/rounds"
	"dunlinwell/internal/signpost"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

// Params are the options of a foreman; zero ones take the defaults.
type Params struct {
	rollcall.Params
	Dice      *rand.Rand
	PlanEvery time.Duration
	Lifetime  time.Duration
	// Regions are the cells that this daemon was told of, and their regions.
	Regions map[ticket.Name]string
	// Thrifty: targets are told of only as something changes, and foremen keep
	// one another up to date on who is there.
	Thrifty bool
	// Always: the directory names somebody wherever it knows anybody.
	Always bool
	// Derive: set points that nobody named follow from what targets state.
	Derive bool
}

func (p *Params) fill() {
	if p.PlanEvery == 0 {
		p.PlanEvery = 30 * time.Second
	}
	if p.Lifetime == 0 {
		p.Lifetime = 2 * time.Second
	}
}

// Foreman is the machine.
type Foreman struct {
	works.Out
	*rollcall.Roll
	Asker  *ledger.Asker
	Yard   *yard.Yard
	Rounds *rounds.Rounds
	Books  *haulage.Books
	params Params

	raw []byte
	// deltas are differences to the policy in force, by the revision they are from.
	deltas map[ticket.Revision][]byte
	// whole is the register's value as it was last read, and sum sums it up.
	whole  []byte
	sum    uint64
	policy *catalogue.Policy
	view   *catalogue.View
	// agreed is when a majority last told us the policy.
	agreed  ticket.Tick
	reading bool
	poll    ticket.Tick
	share   ticket.Tick
	woke    ticket.Tick
	// delivered is when counters were last told what they lack.
	delivered ticket.Tick
	last      ticket.Tick
	seen      signpost.Sight
	seenBy    sightKey
	seenAt    ticket.Tick
	// partings are targets that wait to hear that they may stop.
	partings []parting
	peers

	plans
}

// New makes a foreman that knows nothing yet.
func New(p Params) *Foreman {
	p.fill()
	p.Self.Role = rollcall.Foreman
	f := &Foreman{params: p, Yard: yard.New(), Books: haulage.NewBooks()}
	f.Yard.Thrifty, f.Yard.Self = p.Thrifty, p.Self.ID
	f.Roll = rollcall.New(p.Params, &f.Out)
	f.Roll.MayJudge = func(now ticket.Tick) bool { return f.age(now) < judgeWithin }
	f.Asker = ledger.NewAsker(p.Self.Start, &f.Out)
	f.Asker.Order = f.stores
	f.Rounds = rounds.New(p.Self.Start, &f.Out)
	if p.Derive {
		// Two reports and more, of a plan's period each.
		f.Books.Span = 2*p.PlanEvery + 100*time.Millisecond
	}
	if p.Thrifty {
		f.Rounds.WordEvery = time.Second
	}
	f.policy, _ = catalogue.Open(nil)
	f.view = f.policy.View()
	f.view.Know(p.Regions)
	f.plans = newPlans()
	f.peers = newPeers()
	return f
}

// stores names the stockrooms to ask. For the policy all foremen go to the
// first live one, so that proposers seldom duel; ballots keep it safe anyway.
func (f *Foreman) stores(ticket.Key) []ticket.Address {
	var out, rest []ticket.Address
	for _, m := range f.Live(rollcall.Stockroom) {
		if m.Ready {
			out = append(out, m.Address)
		} else {
			rest = append(rest, m.Address)
		}
	}
	return append(out, rest...)
}

const (
	// deliverEvery bounds how often what isn't urgent is told.
	deliverEvery = 150 * time.Millisecond
	pollEvery    = 500 * time.Millisecond
	shareEvery   = time.Second
	// judgeWithin is how old an agreement may be for a foreman to judge.
	judgeWithin = 3 * time.Second
	// counterLag is how long a counter may leave a change unacknowledged
	// before the directory leaves it out.
	counterLag = 2 * time.Second
)

// Step is the machine's one entrance.
func (f *Foreman) Step(now ticket.Tick, ev works.Event) []works.Command {
	switch e := ev.(type) {
	case works.Heard:
		f.hear(now, e.From, e.Msg)
	case works.ClockEvent:
		f.clock(now)
	default:
		f.call(now, ev)
	}
	return f.Take()
}

func (f *Foreman) clock(now ticket.Tick) {
	if f.last != 0 && now.Since(f.last) > time.Second {
		f.woke = now
		f.Say("warn", "woke", "gap_ms", itoa(uint64(now.Since(f.last)/time.Millisecond)))
	}
	f.last = now
	f.Announce(f.agreed != 0 && now.Since(f.agreed) < 5*time.Second, f.view.Revision)
	f.Roll.Clock(now)
	f.Asker.Clock(now)
	f.keepPeers(now)
	silent := f.silent(now)
	if f.params.Thrifty {
		f.tellForemen(silent)
	}
	for _, t := range silent {
		f.Say("warn", "target silent", "target", string(t.Instance), "service", string(t.Service), "address", string(t.Address))
	}
	f.Yard.Forget(now, time.Hour)
	if now >= f.poll && !f.reading && f.answerable() {
		f.readPolicy(now)
	}
	if now >= f.share {
		f.share = now.Add(shareEvery)
		f.shareTargets(now)
	}
	if !f.params.Thrifty || now.Since(f.delivered) >= deliverEvery {
		f.deliver(now)
	}
	f.part(now)
	f.planning(now)
}

// readPolicy keeps up with the policy even where no news of it arrived.
func (f *Foreman) readPolicy(now ticket.Tick) {
	f.reading = true
	f.poll = now.Add(pollEvery)
	if f.params.Thrifty {
		// News of a change comes by itself; what this renews is the agreement's age.
		f.poll = now.Add(2 * pollEvery)
	}
	began := now
	f.Asker.Reread(now, catalogue.Key, f.whole, f.sum, 2*time.Second, func(_ ticket.Tick, s ledger.State, out []byte) {
		f.reading = false
		if s == ledger.Done {
			f.agreed = began
			f.adopt(out)
		}
	})
}

func (f *Foreman) hear(now ticket.Tick, from ticket.Address, msg any) {
	switch m := msg.(type) {
	case ledger.Told:
		before := f.view.Revision
		f.Asker.Told(now, m)
		if !f.params.Thrifty || f.view.Revision > before {
			f.deliver(now)
		}
	case ledger.Chosen:
		if m.Key == catalogue.Key {
			f.adopt(m.Value)
			f.deliver(now)
		}
	case rounds.Ack:
		f.Rounds.Acked(now, m)
		f.part(now)
	case yard.Share:
		f.shared(now, m.List)
	case Pulse:
		f.pulsed(now, m)
	case Parting:
		f.owes = append(f.owes, m)
		f.part(now)
	case Parted:
		f.parted(now, m)
	case haulage.Report:
		f.Books.Enter(now, m)
	case haulage.Table:
		f.takeTable(now, m)
	case duty.Held:
		f.raise(m.Epoch)
	default:
		f.Roll.Hear(now, from, msg)
	}
}

// ready gives the counters that the directory may name: those in step, and
// known to be by their own acknowledgements.
func (f *Foreman) ready(now ticket.Tick) []rollcall.Member {
	var out []rollcall.Member
	for _, m := range f.Live(rollcall.Counter) {
		// Where others deliver to it, its own word in the roll must do.
		if m.Ready && (f.params.Thrifty || f.Rounds.Fresh(now, m, counterLag)) {
			out = append(out, m)
		}
	}
	return out
}
