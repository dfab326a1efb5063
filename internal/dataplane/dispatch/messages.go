package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// Job describes a client's request for load balancing: its identity, its route's rules and
// its deadline, without headers and body.
type Job struct {
	ID      ids.RequestID
	Route   ids.Name
	Service ids.Name
	// Tier is the priority in the queue, highest first: ten times the route's tier plus
	// the service's tier, each from 0 to 9.
	Tier int
	// Repeatable marks a request that may run several times, and so may be retried after
	// any failure.
	Repeatable bool
	// IdempotencyKey identifies the client's operation. It is empty for requests that are
	// Repeatable or AtMostOnce.
	IdempotencyKey ids.IdempotencyKey
	// Attempt is the client's number for this attempt of the operation, starting at 1; 0
	// if the client doesn't number its attempts.
	Attempt uint32
	// Fingerprint is a digest of method, URI (path and query) and body. Reusing a key with
	// a different fingerprint is a client error.
	Fingerprint []byte
	Deadline    ids.Time
	// AtMostOnce marks a request that isn't repeatable and has no idempotency key. Only
	// this proxy receives it, so the dispatcher alone ensures that at most one target
	// starts it.
	AtMostOnce bool
	// LatencyGoal is the response time that the route aims for; 0 if it has none.
	LatencyGoal time.Duration
	// MaxAttempts is the maximum number of attempts that send bytes to a target. Configured
	// routes always set it; with 0, defaultMaxAttempts applies, which counts failed attempts
	// instead (see attemptsExhausted).
	MaxAttempts int
	// HomeRegions lists the regions whose targets may serve the request; empty for all.
	HomeRegions []ids.Name
	// RouteRules are the route's rules at the time of arrival. The request isn't forwarded once
	// they have changed.
	RouteRules RouteRules
}

// RouteRules are the rules of a route under which a request is accepted. A request whose
// route's rules have changed by the time it is forwarded is rejected.
type RouteRules struct {
	Host       string
	Prefix     string
	Service    ids.Name
	Repeatable bool
	TimeLimit  time.Duration
}

// ResponseClass says what a client may conclude from a response about its request.
type ResponseClass uint8

const (
	// Rejected means that no target has run the request and that none will.
	Rejected ResponseClass = iota + 1
	// Unknown means that the request may have run.
	Unknown
	// Answered means that the response is a complete response from a target.
	Answered
	// ClientError means that the request is invalid and the client must correct it.
	ClientError
)

// The events of a dispatcher, in addition to ServiceState and event.Tick.
type (
	// RequestArrived delivers a new request.
	RequestArrived struct{ Job Job }

	// IdempotencyReply is the result of an IdempotencyCall.
	IdempotencyReply struct {
		ID ids.RequestID
		// Sequence is copied from the call. Only the reply to a request's latest call is
		// processed.
		Sequence uint32
		Outcome  consensus.Outcome
		// Payload is an encoded idempotency.Record for a read, and an encoded
		// idempotency.Result for any other operation.
		Payload []byte
	}

	// AttemptFinished reports the end of a forwarded attempt.
	AttemptFinished struct {
		ID ids.RequestID
		// Sequence is copied from the Forward command. Only the report on a request's
		// latest attempt is processed.
		Sequence uint32
		Result   AttemptResult
		Response idempotency.Response
		// Reason explains a failure to clients and operators.
		Reason string
		// LoadReported is set if the target reported its load: the number of Running and
		// Waiting requests, and its Slots.
		LoadReported            bool
		Running, Waiting, Slots int64
	}

	// ClientDisconnected reports that a request's client has disconnected. It has no effect
	// on a request that already has its response.
	ClientDisconnected struct{ ID ids.RequestID }

	// RouteRulesUpdated replaces the route rules of the current ServiceState, and nothing else.
	RouteRulesUpdated struct{ RouteRules map[ids.Name]RouteRules }

	// LeaseUpdated replaces the expiry time of the lease on the current ServiceState.
	LeaseUpdated struct{ ExpiresAt ids.Time }
)

// The commands of a dispatcher.
type (
	// IdempotencyCall requests an operation on the register of an idempotency key.
	IdempotencyCall struct {
		ID ids.RequestID
		// Sequence is copied into the reply; 0 if no reply is needed.
		Sequence  uint32
		Key       ids.RegisterKey
		Op        consensus.Op
		Operation idempotency.Operation
		Timeout   time.Duration
	}

	// Forward sends a request to a target once.
	Forward struct {
		ID       ids.RequestID
		Sequence uint32
		Target   targets.Target
		Deadline ids.Time
		// SendBefore is the deadline for sending the request's first byte.
		SendBefore ids.Time
		// RecentlyUsedOnly restricts the choice of pooled connections to recently used ones: a
		// request lost on a dead connection can't be sent again.
		RecentlyUsedOnly bool
		// NewConnection requires a new connection, on which the target identifies itself.
		NewConnection bool
	}

	// CancelForward cancels a request's attempt at a target, as its client has disconnected.
	// An AttemptFinished still follows, with the result of the attempt so far.
	CancelForward struct {
		ID       ids.RequestID
		Sequence uint32
		// EvenIfSent also cancels an attempt of which bytes were sent, by closing its
		// connection. Otherwise only an unsent attempt is canceled, with result NotSent.
		EvenIfSent bool
	}

	// Response is the only response to a client's request.
	Response struct {
		ID     ids.RequestID
		Class  ResponseClass
		Status int
		// Reason explains a response that the dispatcher generated.
		Reason string
		// RetryAfter is how long the client should wait before it retries; 0 for no advice.
		RetryAfter time.Duration
		// TargetResponse is the target's response if Class is Answered.
		TargetResponse idempotency.Response
	}
)
