// Package counter is the proxy: it carries consumers' requests to targets and
// knows nothing but what is pushed to it.
package counter

import (
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/rounds"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

// Control is the counter's control machine.
type Control struct {
	works.Out
	Options
	*rollcall.Roll
	Asker *ledger.Asker
	yard  *yard.Yard
	// policy is what is in force here, as far as is known; view is it, read.
	policy *catalogue.Policy
	view   *catalogue.View
	// word is as of when the targets are known, by a foreman's word; agreed is
	// when the newest agreement began by which the policy held here is in force.
	word   ticket.Tick
	agreed ticket.Tick
	// leased is as of when the desks were last told how long they may serve.
	leased ticket.Tick
	woke   ticket.Tick
	last   ticket.Tick
	hearsay
	// stopping: asked to stop, so no new work and none is to be sent here.
	stopping bool
	// empty is since when this cell is emptied; late, that this counter could
	// not have heard of it in time, and so has no time left.
	empty ticket.Tick
	late  bool
	// reading: this counter asks the stockrooms itself what is in force.
	reading bool
	seen    map[ticket.Daemon]ticket.Tick
	number  ticket.Number
	stocked stamp
	footing Footing
	roll    uint64
	// shelved are the services whose desks were stocked last.
	shelved []ticket.Name
	// thaws are until when targets count as cold whatever they said: they were
	// out of use and may have gone cold since.
	thaws map[ticket.Name]ticket.Tick
	// ranks are worked out anew for each restocking, by cell.
	ranks map[ticket.Name]rank
}

// stamp tells whether anything that desks go by has changed.
type stamp struct {
	yard, roll uint64
	revision   ticket.Revision
	step, shut bool
	seats      int
}

const (
	// cutAfter is how long without word from any foreman counts as cut off.
	cutAfter = 1500 * time.Millisecond
	// emptyAfter is when an emptied cell's counter stops even ferrying; until
	// then consumers who were sent here before are still carried elsewhere.
	emptyAfter = 2 * time.Second
	// agreedWithin bounds the age of the agreement that a ready counter goes
	// by: a foreman on the wrong side of a split speaks, but knows no better.
	agreedWithin = 1900 * time.Millisecond
	frozen       = time.Second
	// DefaultLease is how long a counter serves by what it can't confirm: the
	// rules give a change 2 to 3 s to be in force, whatever is cut.
	DefaultLease = 2500 * time.Millisecond
)

// Options of a control machine; zero ones take the defaults.
type Options struct {
	// Lease is how long requests are served by a policy and targets that can't
	// be confirmed.
	Lease time.Duration
	Layout
}

// Endless is the lease of a counter that goes on serving by what it last knew,
// however long it is cut off.
const Endless = -1

// New makes a control machine that knows only itself and its seeds.
func New(p rollcall.Params, o Options) *Control {
	p.Self.Role = rollcall.Counter
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	c := &Control{Options: o, yard: yard.New(), seen: map[ticket.Daemon]ticket.Tick{}}
	c.yard.Thrifty = o.ByCell
	c.Roll = rollcall.New(p, &c.Out)
	c.Asker = ledger.NewAsker(p.Self.Start, &c.Out)
	c.Asker.Order = c.stores
	empty, _ := catalogue.Open(nil)
	c.policy, c.view = empty, empty.View()
	c.view.Know(o.Regions)
	return c
}

// stores names the stockrooms, nearest and ready ones first.
func (c *Control) stores(ticket.Key) []ticket.Address {
	var near, far, rest []ticket.Address
	for _, m := range c.Live(rollcall.Stockroom) {
		switch {
		case !m.Ready:
			rest = append(rest, m.Address)
		case m.Cell == c.Self.Cell || c.view.Distance(c.Self.Cell, m.Cell) <= 1:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	return append(append(near, far...), rest...)
}

// Step is the machine's one entrance.
func (c *Control) Step(now ticket.Tick, ev works.Event) []works.Command {
	switch e := ev.(type) {
	case works.Heard:
		c.hear(now, e.From, e.Msg)
	case works.ClockEvent:
		c.clock(now)
	case Asked:
		c.asked(now, e)
	case Meter:
		c.report(e)
	case Stopping:
		c.stop()
	}
	return c.Take()
}

func (c *Control) hear(now ticket.Tick, from ticket.Address, msg any) {
	switch m := msg.(type) {
	case rounds.Push:
		c.push(now, from, m)
	case ledger.Told:
		c.Asker.Told(now, m)
	case ledger.WhoHolds:
		if c.view.Revision > 0 {
			c.Tell(from, ledger.Held{Revision: c.view.Revision, Policy: c.policy.Pack(false)})
		}
	case Inquiry:
		c.inquired(now, from, m)
	case Tidings:
		c.tidings(now, m)
	default:
		c.Roll.Hear(now, from, msg)
	}
}

// push takes what a foreman delivers. Desks have it before it is acknowledged.
func (c *Control) push(now ticket.Tick, from ticket.Address, p rounds.Push) {
	if p.Revision > c.view.Revision && len(p.Policy) > 0 {
		c.adopt(now, p.Policy)
	}
	// A push may have waited in a socket while this process slept. Only what
	// it echoes tells how old it can be at most.
	if p.Echo == 0 || p.For != c.Self.Start {
		c.yard.Merge(now, p.Targets...)
	} else {
		c.yard.MergeAsOf(now, p.Echo, p.Targets...)
		c.word = max(c.word, p.Echo)
		c.confirm(p.Revision, p.Echo.Add(-age(p.Age)))
	}
	c.restock(now)
	c.Tell(from, rounds.Ack{Counter: c.Self.ID, Start: c.Self.Start, Number: p.Number, Revision: c.view.Revision, Now: now, Yard: c.yard.Exact()})
}

// adopt takes a newer policy; a counter never goes back to an older one.
func (c *Control) adopt(now ticket.Tick, raw []byte) {
	p, err := c.policy.Advance(raw)
	if err != nil || p == c.policy {
		return
	}
	late := !c.inStep(now)
	old := c.view
	c.policy, c.view = p, p.View()
	c.view.Know(c.Regions)
	c.thaw(now, old)
	switch {
	case !c.view.Cells[c.Self.Cell].Emptied:
		c.empty, c.late = 0, false
	case c.empty == 0:
		c.empty, c.late = now, late
	}
	c.Do(Routes{View: c.view})
	c.Say("info", "policy", "revision", itoa(uint64(p.Revision)))
}
