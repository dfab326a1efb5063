package registry

import (
	"net/http"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// Calls arrive from the HTTP APIs as events. The Response to a call has the same ID.
type (
	// ChangeCall requests a change of the configuration, encoded as JSON.
	ChangeCall struct {
		ID  uint64
		Raw []byte
	}

	// ReadConfigurationCall requests the configuration, read from a majority of stores
	// or, if Local is set, from this registry's own copy.
	ReadConfigurationCall struct {
		ID    uint64
		Local bool
	}

	// MergeCall requests a merge of items with versions set by the caller.
	MergeCall struct {
		ID   uint64
		Body configuration.Merge
	}

	// ZoneEvacuationCall requests that a zone be evacuated, or that its evacuation end.
	// Unlike a change it has no idempotency key.
	ZoneEvacuationCall struct {
		ID       uint64
		Zone     ids.Name
		Region   ids.Name
		Evacuate bool
	}

	// ResolveCall requests the proxies for a new connection from a zone: for a route or,
	// if Host is set, for all routes of that host.
	ResolveCall struct {
		ID    uint64
		Zone  ids.Name
		Route ids.Name
		Host  string
	}

	// DeregisterCall reports that a target has ended.
	DeregisterCall struct {
		ID       uint64
		Instance ids.InstanceID
	}

	// HeartbeatCall is a target's heartbeat. The answer names the registry that its
	// next ones should go to.
	HeartbeatCall struct {
		ID     uint64
		Target targets.Target
	}

	// StatusCall requests the Status of this registry.
	StatusCall struct{ ID uint64 }
)

// Response answers the call that has its ID.
type Response struct {
	ID uint64
	// Status is an HTTP status.
	Status int
	// Body is encoded as JSON.
	Body any
	// RetryAfter is the number of seconds after which to retry the call; 0 for no retry.
	RetryAfter int
}

// ErrorResponse is the body of a Response that contains only an error message.
type ErrorResponse struct {
	Message string `json:"problem"`
}

// retryAfterSeconds is the RetryAfter of calls that can be retried at another registry.
const retryAfterSeconds = 1

// rejectable is a call that is rejected during graceful shutdown: all but StatusCall.
type rejectable interface{ callID() uint64 }

func (c ChangeCall) callID() uint64            { return c.ID }
func (c ReadConfigurationCall) callID() uint64 { return c.ID }
func (c MergeCall) callID() uint64             { return c.ID }
func (c ZoneEvacuationCall) callID() uint64    { return c.ID }
func (c ResolveCall) callID() uint64           { return c.ID }
func (c DeregisterCall) callID() uint64        { return c.ID }
func (c HeartbeatCall) callID() uint64         { return c.ID }

// handleCall handles calls, which are rejected during graceful shutdown, and the Stopping
// event.
func (r *Registry) handleCall(now ids.Time, ev event.Event) {
	if call, ok := ev.(rejectable); ok && r.stopping {
		r.replyStopping(call.callID())
		return
	}
	switch call := ev.(type) {
	case ChangeCall:
		r.handleChange(now, call)
	case MergeCall:
		r.handleMerge(now, call)
	case ZoneEvacuationCall:
		r.handleZoneEvacuation(now, call)
	case DeregisterCall:
		r.handleDeregister(now, call)
	case ReadConfigurationCall:
		r.handleReadConfiguration(now, call)
	case ResolveCall:
		r.handleResolve(now, call)
	case HeartbeatCall:
		r.handleHeartbeat(now, call)
	case StatusCall:
		r.reply(call.ID, http.StatusOK, r.Status(now))
	case Stopping:
		r.handleStopping(now)
	}
}

// reply answers a call.
func (r *Registry) reply(id uint64, status int, body any) {
	r.Emit(Response{ID: id, Status: status, Body: body})
}

// replyError answers a call with an error that isn't worth retrying.
func (r *Registry) replyError(id uint64, status int, message string) {
	r.reply(id, status, ErrorResponse{message})
}

// replyRetry answers a call with an error, and asks the caller to retry the call.
func (r *Registry) replyRetry(id uint64, status int, message string) {
	r.Emit(Response{ID: id, Status: status, Body: ErrorResponse{message}, RetryAfter: retryAfterSeconds})
}

// replyUnavailable rejects a call that is guaranteed to have no effect, as no majority of
// stores can be reached.
func (r *Registry) replyUnavailable(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, "no majority of stores can be reached")
}
