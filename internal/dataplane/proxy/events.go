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

// Events that the rest of the process sends to Control.
type (
	// IdempotencyRequest is a dispatcher's call to the idempotency register of a request.
	IdempotencyRequest struct {
		Service ids.Name
		Call    dispatch.IdempotencyCall
	}
	// UsageSample is the resource usage of the requests of one interval.
	UsageSample struct {
		Interval time.Duration
		// Rows holds the usage by route and service.
		Rows []spill.ServiceUsage
		// LatencyP95 is the 95th percentile of the latency added by the proxy itself:
		// queueing and handling, without the target's time.
		LatencyP95 time.Duration
		Requests   uint64
	}
	// Stopping starts a graceful shutdown.
	Stopping struct{}
)

// Commands that Control returns for the rest of the process to execute.
type (
	// DispatchEvent passes an event to a service's dispatcher.
	DispatchEvent struct {
		Service ids.Name
		Event   event.Event
	}
	// UpdateRoutes replaces the configuration of the router and the limits of the client
	// listener.
	UpdateRoutes struct{ View *configuration.View }
	// ServingState states whether the proxy accepts requests, for the HTTP pages and the
	// request handlers.
	ServingState struct {
		// Ready is set if the directory may return this proxy to clients.
		Ready bool
		// LeaseValid is set if requests may be forwarded.
		LeaseValid bool
		// CutOff is set if the targets weren't confirmed for cutOffTimeout, neither by a
		// registry nor by another proxy that a registry reaches.
		CutOff bool
		// ZoneDrained is set while this proxy's zone is drained by an operator.
		ZoneDrained bool
		Members     []membership.Member
	}
)
