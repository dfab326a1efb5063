package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// Job is a client's request as far as load balancing needs it: its identity, its
// route's rules and its deadline, without headers and body.
type Job struct {
	ID      ids.RequestID
	Route   ids.Name
	Service ids.Name
	// Tier is ten times the route's tier plus its service's (0 to 9 each, so 0 to 99);
	// higher ones leave the queue first.
	Tier int
	// Repeatable requests may run several times, so they may be retried after any failure.
	Repeatable bool
	// IdempotencyKey names the client's operation. It is unset in requests that are
	// Repeatable or AtMostOnce.
	IdempotencyKey ids.IdempotencyKey
	// Attempt is the client's number for this attempt of the operation, from 1; 0 if
	// the client doesn't number its attempts.
	Attempt uint32
	// Fingerprint is a digest of method, URI (path and query) and body. A key that is
	// used again with another fingerprint is a client error.
	Fingerprint []byte
	Deadline    ids.Time
	// AtMostOnce marks a request that isn't repeatable and has no idempotency key. It
	// reaches this proxy alone, so the dispatcher can ensure by itself that at most one
	// target begins it.
	AtMostOnce bool
	// LatencyGoal is the time within which a response is worth most to the client;
	// 0 if the route has none.
	LatencyGoal time.Duration
	// MaxAttempts is how often bytes of the request may leave for a target. Routes of a
	// configuration always name one; with 0 defaultMaxAttempts holds, which counts
	// otherwise (see attemptsExhausted).
	MaxAttempts int
	// Homes are the regions whose targets may serve the request; empty for all.
	Homes []ids.Name
	// RouteRules are the route's rules as of the request's arrival. The request isn't
	// forwarded once others are in force.
	RouteRules RouteRules
}

// RouteRules are the rules of a route that a request relies on. They are compared when
// the request is about to be forwarded: if they have changed since, it is rejected.
type RouteRules struct {
	Host       string
	Prefix     string
	Service    ids.Name
	Repeatable bool
	TimeLimit  time.Duration
}

// ResponseClass says what a client may conclude from a response. The classes are never mixed.
type ResponseClass uint8

const (
	// Rejected means that no target has run the request and that none will.
	Rejected ResponseClass = iota + 1
	// Unknown means that the request may have run.
	Unknown
	// Answered means that the response is a target's own, complete one.
	Answered
	// ClientError means that the client made a mistake that it must mend itself.
	ClientError
)

// AttemptResult says how one forwarded attempt ended.
type AttemptResult uint8

const (
	// NotSent means that no byte of the request left this proxy.
	NotSent AttemptResult = iota + 1
	// MayHaveRun means that bytes left and no complete response came.
	MayHaveRun
	// Complete means that a complete response with a verified digest came.
	Complete
	// NotExecuted means that the target states that it hasn't run the request and won't.
	NotExecuted
	// WrongTarget means that another target has the address now, and states that it
	// hasn't run the request.
	WrongTarget
	// TargetFailed is a complete response that reports a failure of the target itself,
	// so that another target may succeed.
	TargetFailed
)

// The events of a dispatcher, besides ServiceState and event.Tick.
type (
	// RequestArrived brings a new request.
	RequestArrived struct{ Job Job }

	// IdempotencyReply is the result of an IdempotencyCall.
	IdempotencyReply struct {
		ID ids.RequestID
		// Sequence is that of the call. A reply to any but the request's latest call
		// is ignored.
		Sequence uint32
		Outcome  consensus.Outcome
		// Payload is an encoded idempotency.Record after a read, and an encoded
		// idempotency.Result after any other operation.
		Payload []byte
	}

	// AttemptFinished reports the end of a forwarded attempt.
	AttemptFinished struct {
		ID ids.RequestID
		// Sequence is that of the Forward command. Any other is ignored.
		Sequence uint32
		Result   AttemptResult
		Response idempotency.Response
		// Reason explains a failure; clients and operators see it.
		Reason string
		// LoadReported is set if the target reported its load, in Running and Waiting
		// requests and in Slots.
		LoadReported            bool
		Running, Waiting, Slots int64
	}

	// ClientDisconnected reports that a request's client has gone, so that nobody waits
	// for the response any more. A request that has its response is not affected.
	ClientDisconnected struct{ ID ids.RequestID }

	// RouteRulesUpdated replaces the rules of the service's routes, without the rest of the
	// ServiceState at hand.
	RouteRulesUpdated struct{ RouteRules map[ids.Name]RouteRules }

	// LeaseUpdated replaces the time until which requests may be forwarded by the
	// service state at hand.
	LeaseUpdated struct{ ExpiresAt ids.Time }
)

// The commands of a dispatcher.
type (
	// IdempotencyCall asks for an operation on the register of an idempotency key.
	IdempotencyCall struct {
		ID ids.RequestID
		// Sequence is repeated in the reply; with 0 no reply is wanted.
		Sequence  uint32
		Key       ids.RegisterKey
		Op        consensus.Op
		Operation idempotency.Operation
		Timeout   time.Duration
	}

	// Forward sends a request to a target, once.
	Forward struct {
		ID       ids.RequestID
		Sequence uint32
		Target   targets.Target
		Deadline ids.Time
		// SendBefore is the last moment at which the request's first byte may leave.
		SendBefore ids.Time
		// RecentOnly restricts the pooled connections to one that was in use a moment
		// ago: what is lost on a dead connection can't be sent again.
		RecentOnly bool
		// NewConnection asks for a new connection, whose target has just identified itself.
		NewConnection bool
	}

	// CancelForward ends a request's attempt at a target, as its client has gone. Its
	// AttemptFinished still follows, with whatever result it has by then.
	CancelForward struct {
		ID       ids.RequestID
		Sequence uint32
		// EvenIfSent ends an attempt of which bytes have left as well, by closing its
		// connection. Without it only an attempt that wasn't sent yet ends, as NotSent.
		EvenIfSent bool
	}

	// Response is the one response to a client's request.
	Response struct {
		ID     ids.RequestID
		Class  ResponseClass
		Status int
		// Reason explains a response that isn't a target's own.
		Reason string
		// RetryAfter is when the client should try again; 0 to leave that unsaid.
		RetryAfter time.Duration
		// TargetResponse is the target's response, of class Answered.
		TargetResponse idempotency.Response
	}
)
