package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// Job is a consumer's request as the dispatcher knows it.
type Job struct {
	ID         ids.Request
	Route      ids.Name
	Service    ids.Name
	Tier       int
	Repeatable bool
	Mark       ids.IdempotencyKey
	Attempt    uint32
	Print      []byte
	Due        ids.Time
	// Single: unrepeatable without a mark. This attempt reaches this proxy
	// alone, which lets it begin at one target at most.
	Single bool
	// Goal is the time within which an answer is worth most; 0 for none.
	Goal time.Duration
	// Attempts is the most targets that the request may be sent to; 0 for the
	// dispatcher's own limit.
	Attempts int
	// Homes are the regions whose targets may have it; none for all.
	Homes []ids.Name
	// Terms are what the route said when the request was taken.
	Terms Terms
}

// Class of an answer; the three are never mixed.
type Class uint8

// Declined: surely not run and will not. Unknown: may have run. Answered: a
// target's whole, sealed answer. Misused: the consumer's own mistake.
const (
	Declined Class = iota + 1
	Unknown
	Answered
	Misused
)

// How a forwarded request came back.
type How uint8

// NotSent: no byte left. Maybe: some did, and no sealed answer came. NotRun:
// the target has it and says that it did not run it and won't. Foreign: so
// says another that has the address now. Failed: a sealed answer that is a
// failure of the target's own, so another target may do better.
const (
	NotSent How = iota + 1
	Maybe
	Sealed
	NotRun
	Foreign
	Failed
)

// Events.
type (
	// Arrive is a new request.
	Arrive struct{ Job Job }
	// Told is what came of a request about a mark.
	Told struct {
		ID    ids.Request
		Turn  uint32
		State consensus.State
		Out   []byte
	}
	// Back is a forwarded request that ended.
	Back struct {
		ID       ids.Request
		Turn     uint32
		How      How
		Response idempotency.Response
		Why      string
		// Told: the target said how full it is, in Running, Waiting and Slots.
		Told                    bool
		Running, Waiting, Slots int64
	}
)

// Commands.
type (
	// Wish asks for an operation on a mark; a Turn of zero wants no word back.
	Wish struct {
		ID   ids.Request
		Turn uint32
		Key  ids.Key
		Op   consensus.Op
		Wish idempotency.Operation
		Wait time.Duration
	}
	// Ferry carries a request to a target, once.
	Ferry struct {
		ID     ids.Request
		Turn   uint32
		Target targets.Target
		Due    ids.Time
		// By is the last moment at which its first byte may leave.
		By ids.Time
		// Careful: of held connections only one that was in use a moment ago will
		// do, since what is lost on a dead one can't be sent again.
		Careful bool
		// Fresh asks for a new connection, whose target has just shown who it is.
		Fresh bool
	}
	// Response is the consumer's answer.
	Response struct {
		ID     ids.Request
		Class  Class
		Status int
		Why    string
		// After is when to come back; 0 for no word on that.
		After  time.Duration
		Sealed idempotency.Response
	}
)
