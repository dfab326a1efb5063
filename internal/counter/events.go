package counter

import (
	"time"

	"dunlinwell/internal/catalogue"
	"dunlinwell/internal/desk"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/ledger"
	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

// Events and commands between the control machine and the rest of a counter.
type (
	// Asked is a desk's wish about a mark.
	Asked struct {
		Service ticket.Name
		Wish    desk.Wish
	}
	// Meter is what the requests of an interval have cost.
	Meter struct {
		Interval time.Duration
		Rows     []haulage.Spent
		Latency  time.Duration
		Count    uint64
	}
	// ToDesk hands an event to a service's desk.
	ToDesk struct {
		Service ticket.Name
		Event   works.Event
	}
	// Stopping is the platform's polite signal.
	Stopping struct{}
	// Routes hands the new policy to the router.
	Routes struct{ View *catalogue.View }
	// Footing says whether the counter takes work, and whether it is cut off.
	Footing struct {
		Ready   bool
		InStep  bool
		CutOff  bool
		Emptied bool
		Members []rollcall.Member
	}
)

// asked carries a desk's wish to the stockrooms.
func (c *Control) asked(now ticket.Tick, a Asked) {
	w := a.Wish
	var arg []byte
	if w.Op != ledger.Read {
		raw, err := parcel.Pack(w.Wish)
		if err != nil {
			c.Do(ToDesk{a.Service, desk.Told{ID: w.ID, Turn: w.Turn, State: ledger.Declined}})
			return
		}
		arg = raw
	}
	c.Asker.Want(now, w.Key, w.Op, arg, w.Wait, func(_ ticket.Tick, s ledger.State, out []byte) {
		if w.Turn != 0 {
			c.Do(ToDesk{a.Service, desk.Told{ID: w.ID, Turn: w.Turn, State: s, Out: out}})
		}
	})
}

// report tells every foreman what this counter spent.
func (c *Control) report(m Meter) {
	c.number++
	r := haulage.Report{Counter: c.Self.ID, Start: c.Self.Start, Cell: c.Self.Cell, Number: c.number,
		Interval: uint32(m.Interval / time.Millisecond), Rows: m.Rows, Latency: uint64(m.Latency / time.Microsecond), Count: m.Count}
	to := c.Live(rollcall.Foreman)
	if c.ByCell && len(to) > reportTo {
		// The planner, and who would follow it.
		to = to[:reportTo]
	}
	for _, f := range to {
		c.Tell(f.Address, r)
	}
}

// reportTo is how many foremen are told what a counter spent.
const reportTo = 2
