package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// Events and commands between the control machine and the rest of a proxy.
type (
	// IdempotencyRequest is a dispatcher's request about a mark.
	IdempotencyRequest struct {
		Service ids.Name
		Call    dispatch.IdempotencyCall
	}
	// UsageSample is what the requests of an interval have cost.
	UsageSample struct {
		Interval   time.Duration
		Rows       []spill.ServiceUsage
		LatencyP95 time.Duration
		Requests   uint64
	}
	// DispatchEvent hands an event to a service's dispatcher.
	DispatchEvent struct {
		Service ids.Name
		Event   event.Event
	}
	// Stopping is the platform's polite signal.
	Stopping struct{}
	// UpdateRoutes hands the new configuration to the router.
	UpdateRoutes struct{ View *configuration.View }
	// ServingState says whether the proxy takes work, and whether it is cut off.
	ServingState struct {
		Ready       bool
		LeaseValid  bool
		CutOff      bool
		ZoneDrained bool
		Members     []membership.Member
	}
)

// callIdempotencyRegister carries a dispatcher's request to the stores.
func (c *Control) callIdempotencyRegister(now ids.Time, a IdempotencyRequest) {
	w := a.Call
	var arg []byte
	if w.Op != consensus.Read {
		raw, err := wire.Encode(w.Operation)
		if err != nil {
			c.Emit(DispatchEvent{a.Service, dispatch.IdempotencyReply{ID: w.ID, Sequence: w.Sequence, Outcome: consensus.Rejected}})
			return
		}
		arg = raw
	}
	c.Client.Call(now, w.Key, w.Op, arg, w.Timeout, func(_ ids.Time, s consensus.Outcome, out []byte) {
		if w.Sequence != 0 {
			c.Emit(DispatchEvent{a.Service, dispatch.IdempotencyReply{ID: w.ID, Sequence: w.Sequence, Outcome: s, Payload: out}})
		}
	})
}

// reportUsage tells every registry what this proxy spent.
func (c *Control) reportUsage(m UsageSample) {
	c.reportNumber++
	r := spill.Report{
		Proxy: c.Self.ID, RunID: c.Self.RunID, Zone: c.Self.Zone, Number: c.reportNumber,
		IntervalMillis: uint32(m.Interval / time.Millisecond), Usage: m.Rows, LatencyMicros: uint64(m.LatencyP95 / time.Microsecond), RequestCount: m.Requests,
	}
	to := c.Live(membership.Registry)
	if c.ByZone && len(to) > maxReportRecipients {
		// The planner, and who would follow it.
		to = to[:maxReportRecipients]
	}
	for _, f := range to {
		c.Send(f.Address, r)
	}
}

// maxReportRecipients is how many registries are told what a proxy spent.
const maxReportRecipients = 2
