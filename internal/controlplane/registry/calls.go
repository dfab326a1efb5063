package registry

import (
	"net/http"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// Calls come from the HTTP interfaces as events. Each has an ID that its Response repeats.
type (
	// ChangeCall asks for a change of the configuration, given as JSON.
	ChangeCall struct {
		ID  uint64
		Raw []byte
	}

	// ReadConfigurationCall asks for the configuration: as a majority of stores has
	// it, or, if Local is set, as this registry has it.
	ReadConfigurationCall struct {
		ID    uint64
		Local bool
	}

	// MergeCall asks for items to be merged whose versions the caller has given.
	MergeCall struct {
		ID   uint64
		Body configuration.Merge
	}

	// ZoneOrderCall asks for a zone to be evacuated, or for its evacuation to end.
	// Unlike a change it has no id of its own.
	ZoneOrderCall struct {
		ID       uint64
		Zone     ids.Name
		Region   ids.Name
		Evacuate bool
	}

	// ResolveCall asks which proxies a new connection from a zone should go to: for a
	// route or, if Host is set, for all routes of that host.
	ResolveCall struct {
		ID    uint64
		Zone  ids.Name
		Route ids.Name
		Host  string
	}

	// DeregisterCall says that a target has ended.
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

	// StatusCall asks for the Status of this registry.
	StatusCall struct{ ID uint64 }
)

// Response answers the call that has its ID.
type Response struct {
	ID uint64
	// Status is an HTTP status.
	Status int
	// Body is encoded as JSON.
	Body any
	// RetryAfter is the number of seconds after which to repeat the call; 0 for never.
	RetryAfter int
}

// ErrorResponse is the body of a Response that holds nothing but an error message.
type ErrorResponse struct {
	Message string `json:"problem"`
}

// retryAfterSeconds is the RetryAfter of calls that another registry may carry out at once.
const retryAfterSeconds = 1

// rejectable is a call that is rejected while this registry stops: all but StatusCall.
type rejectable interface{ callID() uint64 }

func (c ChangeCall) callID() uint64            { return c.ID }
func (c ReadConfigurationCall) callID() uint64 { return c.ID }
func (c MergeCall) callID() uint64             { return c.ID }
func (c ZoneOrderCall) callID() uint64         { return c.ID }
func (c ResolveCall) callID() uint64           { return c.ID }
func (c DeregisterCall) callID() uint64        { return c.ID }
func (c HeartbeatCall) callID() uint64         { return c.ID }

// handleCall carries out whatever its process asks this registry for: calls, which are
// rejected while it stops, and Stopping itself.
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
	case ZoneOrderCall:
		r.handleZoneOrder(now, call)
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

// replyError answers a call with an error that repeating the call won't mend.
func (r *Registry) replyError(id uint64, status int, message string) {
	r.reply(id, status, ErrorResponse{message})
}

// replyRetry answers a call with an error, and asks the caller to repeat the call.
func (r *Registry) replyRetry(id uint64, status int, message string) {
	r.Emit(Response{ID: id, Status: status, Body: ErrorResponse{message}, RetryAfter: retryAfterSeconds})
}

// replyUnavailable answers a call that surely had no effect, as no majority of stores
// can be reached.
func (r *Registry) replyUnavailable(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, "no majority of stores can be reached")
}
