package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// Job is a client's request as the dispatcher knows it.
type Job struct {
	ID             ids.RequestID
	Route          ids.Name
	Service        ids.Name
	Tier           int
	Repeatable     bool
	IdempotencyKey ids.IdempotencyKey
	Attempt        uint32
	Fingerprint    []byte
	Deadline       ids.Time
	// Single: unrepeatable without a mark. This attempt reaches this proxy
	// alone, which lets it begin at one target at most.
	AtMostOnce bool
	// LatencyGoal is the time within which an answer is worth most; 0 for none.
	LatencyGoal time.Duration
	// MaxAttempts is the most targets that the request may be sent to; 0 for the
	// dispatcher's own limit.
	MaxAttempts int
	// Homes are the regions whose targets may have it; none for all.
	Homes []ids.Name
	// Terms are what the route said when the request was taken.
	Terms RouteTerms
}

// RouteTerms are what a route says of its requests. A request taken by others than
// those in force by now doesn't leave.
type RouteTerms struct {
	Host       string
	Prefix     string
	Service    ids.Name
	Repeatable bool
	TimeLimit  time.Duration
}

// ResponseClass of an answer; the three are never mixed.
type ResponseClass uint8

// Rejected: surely not run and will not. Unknown: may have run. Answered: a
// target's whole, sealed answer. Misused: the client's own mistake.
const (
	Rejected ResponseClass = iota + 1
	Unknown
	Answered
	ClientError
)

// AttemptResult a forwarded request came back.
type AttemptResult uint8

// NotSent: no byte left. Maybe: some did, and no sealed answer came. NotRun:
// the target has it and says that it did not run it and won't. Foreign: so
// says another that has the address now. Failed: a sealed answer that is a
// failure of the target's own, so another target may do better.
const (
	NotSent AttemptResult = iota + 1
	MayHaveRun
	Complete
	NotExecuted
	WrongTarget
	TargetFailed
)

// Events.
type (
	// RequestArrived is a new request.
	RequestArrived struct{ Job Job }
	// IdempotencyReply is what came of a request about a mark.
	IdempotencyReply struct {
		ID       ids.RequestID
		Sequence uint32
		Outcome  consensus.Outcome
		Payload  []byte
	}
	// AttemptFinished is a forwarded request that ended.
	AttemptFinished struct {
		ID       ids.RequestID
		Sequence uint32
		Result   AttemptResult
		Response idempotency.Response
		Reason   string
		// Told: the target said how full it is, in Running, Waiting and Slots.
		LoadReported            bool
		Running, Waiting, Slots int64
	}
)

// Commands.
type (
	// IdempotencyCall asks for an operation on a mark; a Turn of zero wants no word back.
	IdempotencyCall struct {
		ID        ids.RequestID
		Sequence  uint32
		Key       ids.RegisterKey
		Op        consensus.Op
		Operation idempotency.Operation
		Timeout   time.Duration
	}
	// Forward carries a request to a target, once.
	Forward struct {
		ID       ids.RequestID
		Sequence uint32
		Target   targets.Target
		Deadline ids.Time
		// SendBefore is the last moment at which its first byte may leave.
		SendBefore ids.Time
		// Careful: of held connections only one that was in use a moment ago will
		// do, since what is lost on a dead one can't be sent again.
		RecentOnly bool
		// NewConnection asks for a new connection, whose target has just shown who it is.
		NewConnection bool
	}
	// Response is the client's answer.
	Response struct {
		ID     ids.RequestID
		Class  ResponseClass
		Status int
		Reason string
		// RetryAfter is when to come back; 0 for no word on that.
		RetryAfter     time.Duration
		TargetResponse idempotency.Response
	}
)

// LeaseUpdated tells until when requests may leave by what is known now.
type LeaseUpdated struct{ ExpiresAt ids.Time }
