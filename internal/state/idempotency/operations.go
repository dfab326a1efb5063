package idempotency

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// The operations on an idempotency key's register. The numbers go over the wire.
const (
	// OpClaim claims the key for an owner before its request is sent to a target.
	OpClaim consensus.Op = 20 + iota
	// OpBlock keeps all attempts before a later one from running, so that this one may
	// tell its client that nothing ran.
	OpBlock
	// OpRelease gives up a claim whose request was surely not sent.
	OpRelease
	// OpComplete records the response.
	OpComplete
	// OpNumberAttempt numbers an attempt whose client didn't.
	OpNumberAttempt
)

// Operation is the argument of each operation.
type Operation struct {
	Owner       Owner
	Attempt     uint32
	Fingerprint []byte
	Response    Response
}

// Verdict is what an operation means for the owner that asked.
type Verdict uint8

// The verdicts.
const (
	// Granted: the claim is this owner's.
	Granted Verdict = iota + 1
	// InProgress: another owner holds the claim.
	InProgress
	// AlreadyCompleted: the request ran, and the record has its response. OpComplete has
	// no other verdict, also if the claim wasn't the caller's and nothing was recorded.
	AlreadyCompleted
	// AttemptBlocked: this attempt may never run.
	AttemptBlocked
	// FingerprintMismatch: the key belongs to another request.
	FingerprintMismatch
	// Released: no request holds the key now. After OpBlock it means that nothing ran and
	// that no attempt below this one will; after OpNumberAttempt, that the attempt is
	// numbered; after OpRelease it is the verdict whatever the record's state.
	Released
	// RecordLost: the record is unknown, but records were lost lately.
	RecordLost
)

// Result is the response to an operation.
type Result struct {
	Verdict Verdict
	Record  Record
}

// DecodeResult reads the response to an operation, and reports whether it can be read.
func DecodeResult(raw []byte) (Result, bool) { return decode[Result](raw) }

// MayBeRetry reports whether an encoded Operation may belong to a later attempt than
// a client's first.
func MayBeRetry(arg []byte) bool {
	operation, ok := decode[Operation](arg)
	return ok && operation.Attempt != 1
}

// Ops returns the change functions of the registers.
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

// changeFunc makes a transition a change function of the register. The function returns
// the old value and no response if the argument can't be read. A value that can't be
// read counts as unclaimed.
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
			// The owner has the response itself, so it isn't sent back.
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
