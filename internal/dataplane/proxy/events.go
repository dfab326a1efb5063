package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// Events that the rest of the process gives to the control machine.
type (
	// IdempotencyRequest is a call that a service's dispatcher makes to the idempotency
	// register of one of its requests.
	IdempotencyRequest struct {
		Service ids.Name
		Call    dispatch.IdempotencyCall
	}
	// UsageSample is what the requests of one interval cost.
	UsageSample struct {
		Interval time.Duration
		// Rows is the usage by route and service.
		Rows []spill.ServiceUsage
		// LatencyP95 is the 95th percentile of the latency that the proxy itself
		// added: queueing and handling, without the target's time.
		LatencyP95 time.Duration
		Requests   uint64
	}
	// Stopping is the signal to stop gracefully.
	Stopping struct{}
)

// Commands that the control machine gives to the rest of the process.
type (
	// DispatchEvent gives an event to a service's dispatcher.
	DispatchEvent struct {
		Service ids.Name
		Event   event.Event
	}
	// UpdateRoutes replaces the router's configuration, and the limits of the client
	// listener with it.
	UpdateRoutes struct{ View *configuration.View }
	// ServingState says whether the proxy takes requests, for the HTTP pages and for
	// handlers.
	ServingState struct {
		// Ready: the directory may name this proxy to clients.
		Ready bool
		// LeaseValid: requests may be forwarded.
		LeaseValid bool
		// CutOff: for cutOffTimeout nobody has confirmed the targets, neither a
		// registry nor another proxy that a registry reaches.
		CutOff bool
		// ZoneDrained: an operator drains this proxy's zone.
		ZoneDrained bool
		Members     []membership.Member
	}
)
