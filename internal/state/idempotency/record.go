// Package till keeps unrepeatable requests to one run each. A mark is a
// register: clear, claimed by one run of one proxy, or holding the outcome.
package idempotency

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// The operations on a mark.
const (
	OpClaim consensus.Op = 20 + iota
	OpBlock
	OpRelease
	OpComplete
	OpNumberAttempt
)

// Retention is how long a mark's outcome is kept, in running time. A repeat after
// that is a new request; clients are told so with each answer.
const Retention = 24 * time.Hour

// RegisterKey names a mark's register. Marks are kept apart by route.
func RegisterKey(route ids.Name, m ids.IdempotencyKey) ids.RegisterKey {
	return ids.RegisterKey("mark/" + string(route) + "/" + string(m))
}

// State of a mark.
type State uint8

// A mark that is Clear may carry a floor and the claims that were let go.
const (
	Unclaimed State = iota
	Claimed
	Completed
)

// Owner is one request in one run of one proxy.
type Owner struct {
	Daemon  ids.DaemonID
	RunID   ids.RunID
	Request ids.RequestID
}

// Header is one line of a kept answer.
type Header struct{ Name, Value string }

// Response is a target's sealed answer as it is kept and repeated.
type Response struct {
	Status uint16
	Header []Header
	Body   []byte
	Digest string
	// Cut: the body was too large to keep; that it ran is all that is known.
	BodyOmitted bool
}

// Slip is a mark's register.
type Record struct {
	State   State
	Owner   Owner
	Attempt uint32
	// Fingerprint sums up method, path and body, so that a mark can't be used for
	// something else.
	Fingerprint []byte
	// MinAttempt bars attempts below it: a later attempt was told that nothing ran.
	MinAttempt     uint32
	ReleasedOwners []Owner
	Response       Response
	// NumberedAttempts counts the attempts of a client that doesn't count itself.
	NumberedAttempts uint32
}

// Operation is the argument of each operation.
type Operation struct {
	Owner       Owner
	Attempt     uint32
	Fingerprint []byte
	Response    Response
}

// Verdict says what a request came to.
type Verdict uint8

// Yours: the claim stands for this owner. Running: another's claim stands.
// Ended: there is an outcome. Barred: this attempt may never run. Unlike: the
// mark belongs to another request. Free: nothing ran and nothing below will.
const (
	Granted Verdict = iota + 1
	InProgress
	AlreadyCompleted
	AttemptBlocked
	FingerprintMismatch
	Released
	// Lost: nothing is known of the mark, but marks were lost of late.
	RecordLost
)

// Result is what an operation tells.
type Result struct {
	Verdict Verdict
	Record  Record
}

var _ = wire.Register(60, Record{}) && wire.Register(61, Operation{}) && wire.Register(62, Result{})

const maxReleasedOwners = 16

// Ops are the change functions of marks.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{OpClaim: changeFunc(claim), OpBlock: changeFunc(block), OpRelease: changeFunc(release), OpComplete: changeFunc(complete), OpNumberAttempt: changeFunc(numberAttempt)}
}

// changeFunc opens the register and the request, and packs what comes of them.
func changeFunc(f func(Record, Operation) (Record, Verdict)) consensus.ChangeFunc {
	return func(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
		s, _ := decode[Record](old)
		w, ok := decode[Operation](arg)
		if !ok {
			return old, nil
		}
		next, v := f(s, w)
		told := next
		if v == AlreadyCompleted && next.Owner == w.Owner {
			// Its owner has the answer at hand.
			told.Response = Response{}
		}
		out, err := wire.Encode(Result{Verdict: v, Record: told})
		raw, fault := wire.Encode(next)
		if err != nil || fault != nil {
			return old, nil
		}
		return raw, out
	}
}

func decode[T any](raw []byte) (T, bool) {
	_, msg, err := wire.ReadBytes(raw)
	t, ok := msg.(T)
	return t, ok && err == nil
}

// DecodeRecord reads a mark's register; an empty one is a clear mark.
func DecodeRecord(raw []byte) (Record, bool) {
	if len(raw) == 0 {
		return Record{}, true
	}
	return decode[Record](raw)
}

// MayBeRetry tells whether a request may be a later attempt's.
func MayBeRetry(arg []byte) bool {
	w, ok := decode[Operation](arg)
	return ok && w.Attempt != 1
}

// DecodeResult reads what an operation told.
func DecodeResult(raw []byte) (Result, bool) { return decode[Result](raw) }

// verdictOfHeldKey answers for a mark that is not clear.
func verdictOfHeldKey(s Record, w Operation) (Verdict, bool) {
	switch {
	case s.State != Unclaimed && !slices.Equal(s.Fingerprint, w.Fingerprint):
		return FingerprintMismatch, true
	case s.State == Completed:
		return AlreadyCompleted, true
	case s.State == Claimed && s.Owner == w.Owner:
		return Granted, true
	case s.State == Claimed:
		return InProgress, true
	}
	return 0, false
}

func claim(s Record, w Operation) (Record, Verdict) {
	if v, ok := verdictOfHeldKey(s, w); ok {
		return s, v
	}
	// A claim that was let go must not rise again from a late message.
	if w.Attempt < s.MinAttempt || slices.Contains(s.ReleasedOwners, w.Owner) {
		return s, AttemptBlocked
	}
	s.State, s.Owner, s.Attempt, s.Fingerprint = Claimed, w.Owner, w.Attempt, w.Fingerprint
	return s, Granted
}

// block is what a later attempt asks before it is told "surely not run": from
// then on no earlier attempt, still waiting elsewhere, may run either.
func block(s Record, w Operation) (Record, Verdict) {
	// The client's own claim never left: it goes with the rest.
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Owner, s.Fingerprint = Unclaimed, Owner{}, nil
	}
	if v, ok := verdictOfHeldKey(s, w); ok {
		return s, v
	}
	s.MinAttempt = max(s.MinAttempt, w.Attempt)
	s.addReleasedOwner(w.Owner)
	return s, Released
}

// release lets go of a claim whose request surely did not leave.
func release(s Record, w Operation) (Record, Verdict) {
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Owner, s.Fingerprint = Unclaimed, Owner{}, nil
	}
	if s.State == Unclaimed {
		s.addReleasedOwner(w.Owner)
	}
	return s, Released
}

// numberAttempt numbers an attempt whose client gave no number, in the order in
// which they are agreed on; a number that is skipped does no harm.
func numberAttempt(s Record, w Operation) (Record, Verdict) {
	if v, ok := verdictOfHeldKey(s, w); ok {
		return s, v
	}
	s.NumberedAttempts = max(s.NumberedAttempts, s.MinAttempt) + 1
	return s, Released
}

func complete(s Record, w Operation) (Record, Verdict) {
	if s.State == Claimed && s.Owner == w.Owner {
		s.State, s.Response = Completed, w.Response
	}
	return s, AlreadyCompleted
}

func (r *Record) addReleasedOwner(o Owner) {
	if !slices.Contains(r.ReleasedOwners, o) {
		r.ReleasedOwners = append(r.ReleasedOwners[:len(r.ReleasedOwners):len(r.ReleasedOwners)], o)
	}
	if len(r.ReleasedOwners) > maxReleasedOwners {
		r.ReleasedOwners = r.ReleasedOwners[1:]
	}
}
