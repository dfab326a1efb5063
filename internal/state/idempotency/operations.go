package idempotency

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// The operations on an idempotency key's register. The values are part of the wire protocol.
const (
	// OpClaim claims the key for an owner before its request is sent to a target.
	OpClaim consensus.Op = 20 + iota
	// OpBlock prevents the calling attempt and all earlier ones from running, so that the
	// caller can tell its client that the request didn't run.
	OpBlock
	// OpRelease releases a claim whose request was definitely not sent.
	OpRelease
	// OpComplete records the response.
	OpComplete
	// OpNumberAttempt assigns a number to an attempt that its client didn't number.
	OpNumberAttempt
)

// Operation is the argument of every operation.
type Operation struct {
	Owner       Owner
	Attempt     uint32
	Fingerprint []byte
	Response    Response
}

// Verdict is the outcome of an operation for the calling owner.
type Verdict uint8

// The verdicts.
const (
	// Granted: the caller holds the claim.
	Granted Verdict = iota + 1
	// InProgress: another owner holds the claim.
	InProgress
	// AlreadyCompleted: the request ran, and the record has its response. OpComplete always
	// returns this verdict, even if the caller didn't hold the claim and nothing was
	// recorded.
	AlreadyCompleted
	// AttemptBlocked: this attempt must never run.
	AttemptBlocked
	// FingerprintMismatch: the key is in use for a different request.
	FingerprintMismatch
	// Released: no request holds the key. After OpBlock it means that the request didn't run
	// and that neither the caller nor an earlier attempt will run it; after OpNumberAttempt,
	// that the attempt was numbered. OpRelease always returns this verdict.
	Released
	// RecordLost: there is no record, but it may be among records that were lost recently.
	RecordLost
)

// Result is the encoded response to an operation.
type Result struct {
	Verdict Verdict
	Record  Record
}

// DecodeResult decodes the response to an operation, and reports whether it is valid.
func DecodeResult(raw []byte) (Result, bool) { return decode[Result](raw) }

// MayBeRetry reports whether an encoded Operation may belong to an attempt after the first.
// Attempts that the client didn't number may be retries.
func MayBeRetry(arg []byte) bool {
	operation, ok := decode[Operation](arg)
	return ok && operation.Attempt != 1
}

// Ops returns the change function of each operation.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{
		OpClaim:         changeFunc(claim),
		OpBlock:         changeFunc(block),
		OpRelease:       changeFunc(release),
		OpComplete:      changeFunc(complete),
		OpNumberAttempt: changeFunc(numberAttempt),
	}
}

// transition is one operation on a decoded record.
type transition func(Record, Operation) (Record, Verdict)

// changeFunc adapts a transition to a consensus.ChangeFunc. The function returns the old value
// and no response if the argument can't be decoded. A value that can't be decoded counts as
// unclaimed.
func changeFunc(run transition) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, oldValue, arg []byte) ([]byte, []byte) {
		record, _ := decode[Record](oldValue)
		operation, ok := decode[Operation](arg)
		if !ok {
			return oldValue, nil
		}
		next, verdict := run(record, operation)
		reported := next
		if verdict == AlreadyCompleted && next.Owner == operation.Owner {
			// The owner already has the response.
			reported.Response = Response{}
		}
		response, responseErr := wire.Encode(Result{Verdict: verdict, Record: reported})
		newValue, valueErr := wire.Encode(next)
		if responseErr != nil || valueErr != nil {
			return oldValue, nil
		}
		return newValue, response
	}
}
