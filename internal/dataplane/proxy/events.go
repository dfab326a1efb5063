package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/policy"
	"dunlinwell/internal/transport/wire"
)

// Events and commands between the control machine and the rest of a proxy.
type (
	// Asked is a dispatcher's request about a mark.
	Asked struct {
		Service ids.Name
		Wish    dispatch.Wish
	}
	// Meter is what the requests of an interval have cost.
	Meter struct {
		Interval time.Duration
		Rows     []spill.Spent
		Latency  time.Duration
		Count    uint64
	}
	// DispatchEvent hands an event to a service's dispatcher.
	DispatchEvent struct {
		Service ids.Name
		Event   event.Event
	}
	// Stopping is the platform's polite signal.
	Stopping struct{}
	// Routes hands the new policy to the router.
	Routes struct{ View *policy.View }
	// Footing says whether the proxy takes work, and whether it is cut off.
	Footing struct {
		Ready   bool
		InStep  bool
		CutOff  bool
		Emptied bool
		Members []membership.Member
	}
)

// asked carries a dispatcher's request to the stores.
func (c *Control) asked(now ids.Time, a Asked) {
	w := a.Wish
	var arg []byte
	if w.Op != consensus.Read {
		raw, err := wire.Encode(w.Wish)
		if err != nil {
			c.Emit(DispatchEvent{a.Service, dispatch.Told{ID: w.ID, Turn: w.Turn, State: consensus.Declined}})
			return
		}
		arg = raw
	}
	c.Client.Call(now, w.Key, w.Op, arg, w.Wait, func(_ ids.Time, s consensus.State, out []byte) {
		if w.Turn != 0 {
			c.Emit(DispatchEvent{a.Service, dispatch.Told{ID: w.ID, Turn: w.Turn, State: s, Out: out}})
		}
	})
}

// report tells every registry what this proxy spent.
func (c *Control) report(m Meter) {
	c.number++
	r := spill.Report{Proxy: c.Self.ID, Start: c.Self.Start, Cell: c.Self.Zone, Number: c.number,
		Interval: uint32(m.Interval / time.Millisecond), Rows: m.Rows, Latency: uint64(m.Latency / time.Microsecond), Count: m.Count}
	to := c.Live(membership.Registry)
	if c.ByCell && len(to) > reportTo {
		// The planner, and who would follow it.
		to = to[:reportTo]
	}
	for _, f := range to {
		c.Send(f.Address, r)
	}
}

// reportTo is how many registries are told what a proxy spent.
const reportTo = 2
